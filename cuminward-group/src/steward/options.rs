//! Settings of a steward.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

use crate::{placement, probe::fabric_outage};

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
    pub renew_interval: Duration,
    /// Time by which a node claims later than the node ranked before it.
    #[builder(default = "Duration::from_secs(1)")]
    pub claim_stagger: Duration,
    /// Age of the last complete reading of the log from which on the log counts as away.
    #[builder(default = "Duration::from_secs(3)")]
    pub max_log_age: Duration,
    /// Time after which an order without an answer is given up by its sender.
    #[builder(default = "Duration::from_secs(2)")]
    pub order_timeout: Duration,
    /// Longest time between the sending of an order and its effect.
    #[builder(default = "Duration::from_secs(5)")]
    pub max_order_delay: Duration,
    /// Largest relative difference between the rates of two nodes' clocks, in parts per million.
    #[builder(default = "1000")]
    pub max_drift_ppm: u32,
    /// Time after which a refused order or a failed reading is tried again.
    #[builder(default = "Duration::from_secs(1)")]
    pub retry_delay: Duration,
    /// Time for which a host may be unreachable before it counts as lost.
    #[builder(default = "Duration::from_secs(3)")]
    pub lost_after: Duration,
    /// Time after which the steward reads a host's state again without another cause.
    #[builder(default = "Duration::from_secs(60)")]
    pub reread_interval: Duration,
    /// Time between two plans.
    #[builder(default = "Duration::from_millis(500)")]
    pub plan_interval: Duration,
    /// Longest time for which a whole group finishes its work before it is released.
    #[builder(default = "Duration::from_secs(30)")]
    pub drain_timeout: Duration,
    /// Time after which all nodes know that a group retires; a load of zero counts from then on.
    #[builder(default = "Duration::from_secs(2)")]
    pub drain_propagation: Duration,
    /// Detection of dark fabric domains.
    #[builder(default)]
    pub fabric_outage: fabric_outage::Options,
    /// Largest number of orders and readings that one step sends.
    #[builder(default = "64")]
    pub max_requests_per_step: usize,
    /// Way of placing groups.
    #[builder(default = "placement::Strategy::Consolidation")]
    pub strategy: placement::Strategy,
    /// Bounds of the placement.
    #[builder(default)]
    pub limits: placement::Limits,
}

/// Parts in the whole of `Options::max_drift_ppm`.
const MILLION: u32 = 1_000_000;

/// Access
impl Options {
    /// Time by which the end of a lease of another node is taken to be later, for clocks that run at
    /// different rates.
    pub fn clock_margin(&self) -> Duration {
        self.lease * self.max_drift_ppm / MILLION
    }
}
