//! Replicas that may be routed to.

use std::time::Duration;

use cuminward_derive::record;

use crate::id;

/// A whole replica: every member confirmed the same formation.
#[record]
pub struct Replica {
    /// Name of the group that forms the replica.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Service that the replica serves.
    pub service: id::Service,
    /// Model that it runs.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// All members; the first one is the head, which takes requests.
    pub members: Vec<id::Host>,
    /// IP address and port of the head.
    pub address: String,
    /// Incarnation of the head, to notice a cold start.
    pub incarnation: id::Incarnation,
    /// When the oldest of the members' confirmations was received, since the start of the process.
    pub confirmed: Duration,
}
