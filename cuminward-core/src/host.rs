//! What the platform lists and what hosts report about themselves.

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
    /// IP address and port of the host's service. For nodes: the address for calls between nodes.
    pub address: String,
    /// What runs on the host.
    pub role: Role,
    /// Plain service that the host runs; empty for other roles.
    #[serde(default)]
    pub service: id::Service,
    /// Whether the host stays.
    pub state: State,
}

/// What runs on a host.
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

/// Whether a host stays in the platform's list.
#[value]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is to be used.
    Live,
    /// The host is about to leave and takes no new work.
    Leaving,
}

/// What a host reports about itself.
#[record]
pub struct Report {
    /// Name of the host.
    pub host: id::Host,
    /// Tells this start of the host from others.
    pub incarnation: id::Incarnation,
    /// Largest fencing number that the host has seen; plain hosts report none.
    #[serde(default)]
    pub fence: id::Fence,
    /// Group that the host belongs to.
    pub membership: Option<Membership>,
    /// Load of the replica, reported by its head only.
    pub load: Option<Load>,
}

/// A host's place in a group.
#[record]
pub struct Membership {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Service that the group was formed for.
    pub service: id::Service,
    /// Model that the group runs.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// All members; the first one is the head, which takes requests.
    pub members: Vec<id::Host>,
    /// How far the member is.
    pub phase: Phase,
}

/// How far a member of a group is.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The member loads weights.
    Loading,
    /// The member is ready to serve.
    Ready,
    /// The member lost another member and can't serve in this formation again.
    Broken,
}

/// Load of a replica, as its head reports it, with a lag.
#[serde_as]
#[record]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub queued: u32,
    /// Used part of the KV cache, in thousandths.
    pub cache_permille: u32,
    /// Age of the figures when they were reported.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A report with the time at which it was received.
#[record]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// When it was received, since the start of the observing process.
    pub at: Duration,
}
