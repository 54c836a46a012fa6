//! Replicas to which requests may be routed.

use std::time::Duration;

use cuminward_derive::record;

use crate::id;

/// A complete replica, all of whose members confirmed the same formation.
#[record]
pub struct Replica {
    /// Name of the group that forms the replica.
    pub group: id::Group,
    /// Formation number of the group.
    pub generation: id::Generation,
    /// Service that the replica serves.
    pub service: id::Service,
    /// Model that the replica runs.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// All members; the first one is the head, which receives the requests.
    pub members: Vec<id::Host>,
    /// IP address and port of the head.
    pub address: String,
    /// Incarnation of the head; a change of it shows a cold start.
    pub incarnation: id::Incarnation,
    /// Time of receipt of the oldest member confirmation, measured from the start of the process.
    pub confirmed: Duration,
}
