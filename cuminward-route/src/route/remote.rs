//! Use of other failure domains.

use std::time::Duration;

use cuminward_core::{catalog, id};

/// Age of the knowledge about a domain up to which the domain may be used.
pub const DEFAULT_MAX_AGE: Duration = Duration::from_secs(2);

/// What is known about another failure domain.
#[derive(Debug, Clone)]
pub struct Knowledge {
    /// The failure domain.
    pub domain: id::Domain,
    /// When a node there last confirmed the domain's state, since the start of the process.
    pub confirmed: Duration,
    /// Requests that the domain's replicas could take in addition.
    pub free: u32,
    /// Round trip to the domain.
    pub round_trip: Duration,
}

/// Chooses another domain that may be used, the nearest with free capacity first.
pub fn choose<'a>(
    known: &'a [Knowledge],
    catalog: &catalog::Catalog,
    now: Duration,
    max_age: Duration,
) -> Option<&'a Knowledge> {
    let usable = |it: &&Knowledge| {
        now.saturating_sub(it.confirmed) <= max_age && catalog.in_service(&it.domain) && it.free > 0
    };
    known.iter().filter(usable).min_by_key(|it| (it.round_trip, std::cmp::Reverse(it.free)))
}
