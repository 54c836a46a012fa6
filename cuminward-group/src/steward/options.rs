//! Settings of a steward.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

use crate::{placement, probe::dark};

/// Settings of a steward.
#[derive(Debug, Clone, Builder)]
#[builder(pattern = "owned")]
pub struct Options {
    /// Node that runs the steward.
    #[builder(setter(into))]
    pub node: id::Node,
    /// Start of the node; differs between any two starts of one node.
    pub incarnation: id::Incarnation,
    /// Failure domain of the node.
    #[builder(setter(into))]
    pub domain: id::Domain,
    /// Length of the lease.
    #[builder(default = "Duration::from_secs(10)")]
    pub lease: Duration,
    /// Time between renewals of the lease.
    #[builder(default = "Duration::from_secs(3)")]
    pub renew_every: Duration,
    /// Time by which a node claims later than the node ranked before it.
    #[builder(default = "Duration::from_secs(1)")]
    pub stagger: Duration,
    /// Age of the last complete reading of the log from which on the log counts as away.
    #[builder(default = "Duration::from_secs(3)")]
    pub log_fresh: Duration,
    /// Time after which an order without an answer is given up by its sender.
    #[builder(default = "Duration::from_secs(2)")]
    pub order_timeout: Duration,
    /// Longest time between the sending of an order and its effect.
    #[builder(default = "Duration::from_secs(5)")]
    pub order_bound: Duration,
    /// Largest relative difference between the rates of two nodes' clocks, in parts per million.
    #[builder(default = "1000")]
    pub drift_ppm: u32,
    /// Time after which a refused order or a failed reading is tried again.
    #[builder(default = "Duration::from_secs(1)")]
    pub retry_after: Duration,
    /// Time for which a host may be unreachable before it counts as lost.
    #[builder(default = "Duration::from_secs(3)")]
    pub dead_after: Duration,
    /// Time after which the steward reads a host's state again without another cause.
    #[builder(default = "Duration::from_secs(60)")]
    pub sweep_every: Duration,
    /// Time between two plans.
    #[builder(default = "Duration::from_millis(500)")]
    pub plan_every: Duration,
    /// Longest time for which a whole group finishes its work before it is released.
    #[builder(default = "Duration::from_secs(30)")]
    pub drain_for: Duration,
    /// Time after which all nodes know that a group retires; a load of zero counts from then on.
    #[builder(default = "Duration::from_secs(2)")]
    pub drain_notice: Duration,
    /// Detection of dark fabric domains.
    #[builder(default)]
    pub dark: dark::Options,
    /// Largest number of orders and readings that one step sends.
    #[builder(default = "64")]
    pub burst: usize,
    /// Way of placing groups.
    #[builder(default = "placement::Strategy::Consolidation")]
    pub strategy: placement::Strategy,
    /// Bounds of the placement.
    #[builder(default)]
    pub limits: placement::Limits,
}

/// Parts in the whole of `Options::drift_ppm`.
const MILLION: u32 = 1_000_000;

/// Access
impl Options {
    /// Time by which the end of a lease of another node is taken to be later, for clocks that run at
    /// different rates.
    pub fn margin(&self) -> Duration {
        self.lease * self.drift_ppm / MILLION
    }
}
