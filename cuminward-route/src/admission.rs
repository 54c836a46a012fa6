//! Bounds the work that all nodes of a failure domain together send to one upstream.
//!
//! Each upstream, a replica or a plain host, has one [`Owner`] among the domain's nodes, chosen by
//! rendezvous hash. Each node has a [`Holder`] for each upstream, which hands out slots to requests
//! without a message as long as it has some.
//!
//! - A node always may use its [`reserve`]: shares whose sum can't exceed what a cold upstream
//!   bears. This needs no message and holds for every split of the nodes.
//! - Everything above it is granted by the owner, with a lease. A node follows one owner at a time
//!   and gives up its grants when it turns to another.
//! - An owner grants above the reserves only after every listed node has told it, in this session,
//!   what it holds. The owner's own node follows it for as long as the session lives, so that two
//!   owners never can be in that state together.
//! - A holder whose connection to the upstream was lost falls back to its reserve, since the
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

/// Name of an upstream: that of a host, or of a group and its formation.
pub type Upstream = String;

/// Time for which a grant is valid without renewal.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(30);

/// Part of a cold upstream's limit that nodes may use without a grant, in thousandths.
pub const DEFAULT_RESERVE_PERMILLE: u32 = 500;

/// Longest time for which a request may run.
pub const DEFAULT_MAX_RUN_TIME: Duration = Duration::from_secs(600);

/// What an upstream bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that the warm upstream may run at the same time.
    pub slots: u32,
    /// Requests that it may run at the same time right after its start.
    pub cold_slots: u32,
    /// Time over which the limit rises.
    pub warm_up: Duration,
}

/// Access
impl Limits {
    /// Requests that the upstream may run at the same time, so long after its start.
    pub fn limit_at(&self, age: Duration) -> u32 {
        let cold = self.cold_slots.min(self.slots);
        if age >= self.warm_up {
            return self.slots;
        }
        let rise = u128::from(self.slots - cold) * age.as_nanos() / self.warm_up.as_nanos().max(1);
        cold + rise as u32
    }
}

/// Settings that all nodes have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// What the upstream bears.
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
    /// Makes the usual settings for an upstream.
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
    /// Slots that all nodes together may use without a grant.
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

/// Node that owns an upstream, among the live nodes of the domain.
pub fn owner<'a>(live: impl IntoIterator<Item = &'a str>, upstream: &str) -> Option<&'a str> {
    rendezvous::owner(live, upstream)
}

/// Name of a replica's formation as an upstream; a new formation is a new, cold upstream.
pub fn replica_upstream(group: &str, generation: id::Generation) -> Upstream {
    format!("{group}#{generation}")
}
