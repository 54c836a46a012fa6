//! Admission control: enforces one concurrency limit per upstream across all nodes of a failure
//! domain.
//!
//! Each upstream, a replica or a plain host, has one [`Owner`] among the domain's nodes, chosen by
//! rendezvous hashing. Each node has a [`Holder`] per upstream, which hands out concurrency slots to
//! requests and needs no message for that while it has free slots.
//!
//! - A node may always use its [`reserve`]. The reserves of all nodes add up to at most the limit of
//!   a cold upstream, so they need no message and stay safe in every network partition.
//! - Slots above the reserve are granted by the owner under a lease. A node follows one owner at a
//!   time and gives up its grants when it switches to another.
//! - An owner grants slots above the reserves only after every listed node has reported its holdings
//!   in the current session. The holder on the owner's own node follows that owner for the whole
//!   session, so two owners can never have all reports at the same time.
//! - A holder that loses its connection to the upstream falls back to its reserve, since the
//!   upstream may have restarted cold.

mod account;
mod controller;
mod holder;
pub mod message;
mod owner;
mod ramp;
pub mod reserve;

use std::time::Duration;

use cuminward_core::{catalog, id, rendezvous};

pub use self::{
    controller::{Controller, Work},
    holder::{Holder, Slot},
    owner::{Input, Output, Owner},
    ramp::Ramp,
};

/// Name of an upstream: a host name, or a group with the generation of its formation.
pub type Upstream = String;

/// Default time for which a grant is valid without renewal.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(30);

/// Default part of a cold upstream's limit that nodes may use without a grant, in thousandths.
pub const DEFAULT_RESERVE_PERMILLE: u32 = 500;

/// Default of the longest time for which a request may run.
pub const DEFAULT_MAX_RUN_TIME: Duration = Duration::from_secs(600);

/// Concurrency limits of an upstream, with a slow start after it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that the warm upstream may run at the same time.
    pub slots: u32,
    /// Requests that the upstream may run at the same time right after its start.
    pub cold_slots: u32,
    /// Time over which the limit rises from `cold_slots` to `slots`.
    pub warm_up: Duration,
}

/// Access
impl Limits {
    /// Returns the number of requests that the upstream may run at the same time when `age` has
    /// passed since its start. The limit rises linearly during the warm-up.
    pub fn limit_at(&self, age: Duration) -> u32 {
        let cold = self.cold_slots.min(self.slots);
        if age >= self.warm_up {
            return self.slots;
        }
        let rise = u128::from(self.slots - cold) * age.as_nanos() / self.warm_up.as_nanos().max(1);
        cold + rise as u32
    }
}

/// Settings of one upstream's admission, the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Concurrency limits of the upstream.
    pub limits: Limits,
    /// Time for which a grant is valid without renewal.
    pub lease: Duration,
    /// Longest time for which a request may run.
    pub max_run_time: Duration,
    /// Part of the cold limit that nodes may use without a grant, in thousandths.
    pub reserve_permille: u32,
}

/// Life cycle
impl Options {
    /// Creates settings with the default lease, run time and reserve.
    pub fn new(limits: Limits) -> Options {
        Options {
            limits,
            lease: DEFAULT_LEASE,
            max_run_time: DEFAULT_MAX_RUN_TIME,
            reserve_permille: DEFAULT_RESERVE_PERMILLE,
        }
    }
}

/// Access
impl Options {
    /// Returns the number of slots that all nodes together may use without a grant.
    pub fn reserved(&self) -> u32 {
        let cold = u64::from(self.limits.cold_slots.min(self.limits.slots));
        (cold * u64::from(self.reserve_permille.min(1000)) / 1000) as u32
    }
}

impl From<&catalog::Model> for Limits {
    fn from(it: &catalog::Model) -> Limits {
        Limits { slots: it.slots, cold_slots: it.cold_slots, warm_up: it.warm_up }
    }
}

impl From<&catalog::Plain> for Limits {
    fn from(it: &catalog::Plain) -> Limits {
        Limits { slots: it.slots, cold_slots: it.cold_slots, warm_up: it.warm_up }
    }
}

/// Returns the node that owns an upstream among the live nodes of the domain, or `None` if there
/// are no live nodes.
pub fn owner<'a>(live: impl IntoIterator<Item = &'a str>, upstream: &str) -> Option<&'a str> {
    rendezvous::owner(live, upstream)
}

/// Returns the upstream name of a replica's formation. Each formation has a name of its own, since a
/// new formation starts cold.
pub fn replica_upstream(group: &str, generation: id::Generation) -> Upstream {
    format!("{group}#{generation}")
}
