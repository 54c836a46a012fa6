//! Spillover of requests to other failure domains.

use std::time::Duration;

use cuminward_core::{catalog, id};
use cuminward_derive::value;

/// Default age of a domain's last confirmed state up to which the domain may be used.
pub const DEFAULT_MAX_AGE: Duration = Duration::from_secs(2);

/// Another failure domain to which requests may be sent.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The failure domain.
    pub domain: id::Domain,
    /// When a node of the domain last confirmed the domain's state, since the start of the process.
    pub confirmed: Duration,
    /// Number of further requests that the domain's replicas could run.
    pub free: u32,
    /// Round-trip time to the domain.
    pub round_trip: Duration,
}

/// Strategy for choosing another failure domain.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// No other domain is used.
    Never,
    /// The domain with free capacity that has the shortest round-trip time is used.
    Nearest,
    /// A domain is chosen at random, in proportion to the free capacity.
    Weighted,
}

/// Chooses another domain that is in service, has free capacity and whose state was confirmed within
/// `max_age`. Returns `None` if there is none. `random` must be uniformly distributed.
pub fn choose<'a>(
    strategy: Strategy,
    candidates: &'a [Candidate],
    catalog: &catalog::Catalog,
    now: Duration,
    max_age: Duration,
    random: u64,
) -> Option<&'a Candidate> {
    let usable = |it: &&Candidate| {
        now.saturating_sub(it.confirmed) <= max_age && catalog.in_service(&it.domain) && it.free > 0
    };
    let usable = candidates.iter().filter(usable);
    match strategy {
        Strategy::Never => None,
        Strategy::Nearest => usable.min_by_key(|it| (it.round_trip, std::cmp::Reverse(it.free))),
        Strategy::Weighted => choose_weighted(usable, random),
    }
}

/// Chooses a domain at random, in proportion to the free capacity. Returns `None` if no
/// capacity is free.
fn choose_weighted<'a>(
    usable: impl Iterator<Item = &'a Candidate> + Clone,
    random: u64,
) -> Option<&'a Candidate> {
    let total: u64 = usable.clone().map(|it| u64::from(it.free)).sum();
    let mut position = random.checked_rem(total)?;
    usable.into_iter().find(|it| {
        let free = u64::from(it.free);
        let found = position < free;
        position = position.saturating_sub(free);
        found
    })
}
