//! Routing: chooses the replica that runs a request.
//!
//! A [`Table`] is an immutable snapshot of one failure domain's replicas. [`choose`] filters them by
//! model, version and team and lets a [`policy::Policy`] choose among the remaining ones.

pub mod policy;
pub mod remote;
mod table;

use cuminward_core::id;

pub use self::table::{Candidate, Exclusions, Pool, Registry, Table};
use crate::prefix;

/// Requirements of a request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Model that the caller requested.
    pub model: &'a str,
    /// Version that the caller requested; `None` selects the most preferred version with a usable
    /// replica.
    pub version: Option<&'a str>,
    /// Team of the caller.
    pub team: &'a str,
    /// Ids of the prompt's whole blocks.
    pub prefixes: &'a [prefix::Id],
    /// Groups that the request must avoid, such as those where it failed before.
    pub avoid: &'a [id::Group],
}

/// Replica that runs a request, or the reason why there is none.
#[derive(Debug)]
pub enum Choice<'a> {
    /// The replica to send the request to.
    Replica(&'a Candidate),
    /// The model or version isn't declared.
    NotFound,
    /// The team may not use the model.
    Forbidden,
    /// The model has no usable replica now.
    Unavailable,
}

/// Chooses a replica with the default policy. `random` must be uniformly distributed.
pub fn choose<'a>(
    table: &'a Table,
    query: &Query<'_>,
    load: &impl policy::Load,
    random: u64,
) -> Choice<'a> {
    choose_with(table.policy(), table, query, load, random)
}

/// Chooses a replica with the given policy. `random` must be uniformly distributed.
pub fn choose_with<'a>(
    policy: &impl policy::Policy,
    table: &'a Table,
    query: &Query<'_>,
    load: &impl policy::Load,
    random: u64,
) -> Choice<'a> {
    let Some(services) = table.services(query.model) else { return Choice::NotFound };
    let mut declared = false;
    let mut allowed = false;
    for service in services {
        for pool in service.pools() {
            if query.version.is_some_and(|it| it != pool.version()) {
                continue;
            }
            declared = true;
            if !service.allows(query.team) {
                continue;
            }
            allowed = true;
            if let Some(it) = policy.pick(pool.candidates(), query, load, random) {
                return Choice::Replica(it);
            }
        }
    }
    match (declared, allowed) {
        (false, _) => Choice::NotFound,
        (true, false) => Choice::Forbidden,
        (true, true) => Choice::Unavailable,
    }
}
