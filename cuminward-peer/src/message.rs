//! Messages between the nodes.
//!
//! Values whose form may differ between versions of the program travel as JSON text, so that a node
//! passes on what it doesn't know.

use std::time::Duration;

use cuminward_core::{hlc, host, id};
use cuminward_derive::record;
use cuminward_route::admission;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::digest;

/// What a node tells about itself.
#[serde_as]
#[record]
pub struct Hello {
    /// Name of the node.
    pub node: id::Node,
    /// Tells this start of the node from others.
    pub incarnation: id::Incarnation,
    /// Revision of the configuration in force at the node.
    pub revision: id::Revision,
    /// Hybrid logical time of the node.
    pub stamp: hlc::Stamp,
    /// Whether the node is shutting down and owns nothing any more.
    pub draining: bool,
    /// IP address and port of the node's HTTP interface towards callers.
    pub callers: String,
    /// Requests that the node's failure domain could take in addition, as far as the node knows.
    pub free: u32,
    /// Groups that the node, as steward, is about to release; they get no new work.
    pub retiring: Vec<Retirement>,
    /// Nodes that have ended and hold no slots.
    pub ended: Vec<Shutdown>,
    /// What the node knows about the nodes of its failure domain; empty towards other domains.
    pub digest: digest::Digest,
}

/// A start of a node that has ended regularly.
#[record]
pub struct Shutdown {
    /// Name of the node.
    pub node: id::Node,
    /// The start that ended.
    pub incarnation: id::Incarnation,
}

/// A group that is about to be released.
#[serde_as]
#[record]
pub struct Retirement {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Time until the release.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
}

/// Records of the configuration stream.
#[record]
#[derive(Default)]
pub struct Config {
    /// The records in offset order, without gaps from the asked revision on.
    pub records: Vec<ConfigRecord>,
    /// Snapshot as JSON, where the records from the asked revision on are not held any more; the
    /// records then follow it.
    pub snapshot: Option<String>,
    /// Revision of the answering node.
    pub revision: id::Revision,
}

/// A record of the configuration stream.
#[record]
pub struct ConfigRecord {
    /// Offset of the record.
    pub offset: id::Offset,
    /// The record as JSON.
    pub text: String,
}

/// Position in the changes of a node's observations; 0 asks for all.
pub type Position = u64;

/// What changed in a node's observations of hosts.
#[record]
pub struct Observations {
    /// Incarnation of the answering node; a position is valid for one incarnation only.
    pub incarnation: id::Incarnation,
    /// Position to ask from next time.
    pub next: Position,
    /// Whether the answer holds every host, because the asked position wasn't valid.
    pub full: bool,
    /// Reports that changed, without the load.
    pub changed: Vec<host::Report>,
    /// Hosts that are not observed any more.
    pub removed: Vec<id::Host>,
    /// Age of the confirmation of each observed host, by the order of the names, in units of 50 ms;
    /// 255 stands for all that are larger.
    pub ages: Vec<u8>,
    /// Hosts that were found silent.
    pub silent: Vec<Silence>,
}

/// A host that was found silent.
#[record]
pub struct Silence {
    /// The host.
    pub host: id::Host,
    /// Age of that finding, in units of 50 ms; 255 stands for all that are larger.
    pub age: u8,
}

/// Messages about the slots of upstreams.
#[record]
pub struct Admission {
    /// The sending node.
    pub from: id::Node,
    /// Incarnation of the sending node.
    pub incarnation: id::Incarnation,
    /// The messages in order.
    pub messages: Vec<admission::message::Batch>,
}

/// Events of a node.
#[record]
pub struct Events {
    /// The events as JSON, in order.
    pub records: Vec<String>,
    /// Index to ask from next time.
    pub next: u64,
}
