//! Use of other failure domains.

use std::time::Duration;

use cuminward_core::{catalog, id};
use cuminward_derive::value;

/// Age of the knowledge about a domain up to which the domain may be used.
pub const DEFAULT_MAX_AGE: Duration = Duration::from_secs(2);

/// State of another failure domain that requests may be sent to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The failure domain.
    pub domain: id::Domain,
    /// When a node there last confirmed the domain's state, since the start of the process.
    pub confirmed: Duration,
    /// Requests that the domain's replicas could take in addition.
    pub free: u32,
    /// Round trip to the domain.
    pub round_trip: Duration,
}

/// Strategy for choosing among the domains that may be used.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// No other domain is used.
    Never,
    /// The nearest domain with free capacity.
    Nearest,
    /// At random, in proportion to the free capacity.
    Weighted,
}

/// Chooses another domain that may be used: it is in service, its state was confirmed within
/// `max_age`, and it has free capacity. `random` is uniform.
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
        Strategy::Weighted => weighted(usable, random),
    }
}

/// Chooses at random, in proportion to the free capacity.
fn weighted<'a>(
    usable: impl Iterator<Item = &'a Candidate> + Clone,
    random: u64,
) -> Option<&'a Candidate> {
    let total: u64 = usable.clone().map(|it| u64::from(it.free)).sum();
    let mut place = random.checked_rem(total)?;
    usable.into_iter().find(|it| {
        let free = u64::from(it.free);
        let found = place < free;
        place = place.saturating_sub(free);
        found
    })
}
