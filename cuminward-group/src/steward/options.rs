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
    /// Delay of a node's claim after that of the node ranked before it, against competing claims.
    #[builder(default = "Duration::from_secs(1)")]
    pub claim_stagger: Duration,
    /// Age of the last complete read of the log from which on the log counts as unavailable.
    #[builder(default = "Duration::from_secs(3)")]
    pub max_log_age: Duration,
    /// Time after which the sender of an order stops waiting for the answer.
    #[builder(default = "Duration::from_secs(2)")]
    pub order_timeout: Duration,
    /// Longest time between the sending of an order and its effect on the host.
    #[builder(default = "Duration::from_secs(5)")]
    pub max_order_delay: Duration,
    /// Largest relative difference between the rates of two nodes' clocks, in parts per million.
    #[builder(default = "1000")]
    pub max_drift_ppm: u32,
    /// Time after which a claim, a refused order or a failed read is retried.
    #[builder(default = "Duration::from_secs(1)")]
    pub retry_delay: Duration,
    /// Time for which a host may be unreachable before it counts as lost.
    #[builder(default = "Duration::from_secs(3)")]
    pub lost_after: Duration,
    /// Time after which the steward reads the state of a confirmed host again.
    #[builder(default = "Duration::from_secs(60)")]
    pub reread_interval: Duration,
    /// Time between two plans.
    #[builder(default = "Duration::from_millis(500)")]
    pub plan_interval: Duration,
    /// Longest time for which a retiring group drains before it is released.
    #[builder(default = "Duration::from_secs(30)")]
    pub drain_timeout: Duration,
    /// Time within which all nodes learn that a group retires. A report without load shows that the group is
    /// drained only if it was measured after that.
    #[builder(default = "Duration::from_secs(2)")]
    pub drain_propagation: Duration,
    /// Detection of dark fabric domains.
    #[builder(default)]
    pub fabric_outage: fabric_outage::Options,
    /// Largest number of hosts that one step fences or reads.
    #[builder(default = "64")]
    pub max_requests_per_step: usize,
    /// Placement strategy.
    #[builder(default = "placement::Strategy::Consolidation")]
    pub strategy: placement::Strategy,
    /// Limits of placement.
    #[builder(default)]
    pub limits: placement::Limits,
}

/// Denominator of [`Options::max_drift_ppm`].
const MILLION: u32 = 1_000_000;

/// Access
impl Options {
    /// Returns the margin that is added to the lease of another node, since clocks run at different rates.
    pub fn clock_margin(&self) -> Duration {
        self.lease * self.max_drift_ppm / MILLION
    }
}
