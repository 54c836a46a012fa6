//! Entries of the platform's host list, and status reports of hosts.

use std::time::Duration;

use cuminward_derive::{record, value};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id;

/// An entry of the platform's host list.
#[record]
pub struct Entry {
    /// Name of the host.
    pub host: id::Host,
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Fabric domain of the host; empty for hosts without a fabric.
    pub fabric: id::Fabric,
    /// IP address and port of the host's service; for a node, the address for calls between nodes.
    pub address: String,
    /// Kind of process that runs on the host.
    pub role: Role,
    /// Plain service that the host runs; empty for other roles.
    #[serde(default)]
    pub service: id::Service,
    /// Whether the host may take new work.
    pub state: State,
}

/// The kind of process that runs on a host.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
    /// A node of cuminward.
    Node,
}

/// Whether the platform keeps a host or is about to remove it.
#[value]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host may be used.
    Live,
    /// The host is about to be removed and must not receive new work.
    Leaving,
}

/// Status report of a host.
#[record]
pub struct Report {
    /// Name of the host.
    pub host: id::Host,
    /// Identifies the current start of the host's process.
    pub incarnation: id::Incarnation,
    /// Largest fencing number that the host has seen; 0 for hosts of plain services, which report
    /// none.
    #[serde(default)]
    pub fence: id::Fence,
    /// Membership of the host in a group; `None` if the host belongs to no group.
    pub membership: Option<Membership>,
    /// Load of the replica; only the head reports it.
    pub load: Option<Load>,
}

/// Membership of a host in a group.
#[record]
pub struct Membership {
    /// Name of the group.
    pub group: id::Group,
    /// Formation number of the group.
    pub generation: id::Generation,
    /// Service that the group was formed for.
    pub service: id::Service,
    /// Model that the group runs.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// All members; the first one is the head, which receives the requests.
    pub members: Vec<id::Host>,
    /// Progress of the member towards serving.
    pub phase: Phase,
}

/// Progress of a group member towards serving.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The member is loading the model's weights.
    Loading,
    /// The member is ready to serve.
    Ready,
    /// The member lost another member and can no longer serve in this formation.
    Broken,
}

/// Load of a replica, reported by its head with a delay.
#[serde_as]
#[record]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait in the engine's queue.
    pub queued: u32,
    /// Used share of the KV cache, in thousandths.
    pub cache_permille: u32,
    /// Age of these values when they were reported.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A host's report together with the time at which it was received.
#[record]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// Time of receipt, measured from the start of the receiving process.
    pub at: Duration,
}
