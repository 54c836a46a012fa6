//! Messages between nodes.
//!
//! Values whose schema may differ between versions of the program are sent as JSON text, so that a
//! node can forward fields that its own version doesn't know.

use std::time::Duration;

use cuminward_core::{hlc, host, id};
use cuminward_derive::record;
use cuminward_route::admission;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::digest;

/// State of a node, exchanged periodically between nodes.
#[serde_as]
#[record]
pub struct Hello {
    /// Name of the node.
    pub node: id::Node,
    /// Incarnation of the node, which identifies one start of its process.
    pub incarnation: id::Incarnation,
    /// Revision of the configuration that the node has applied.
    pub revision: id::Revision,
    /// Reading of the node's hybrid logical clock.
    pub stamp: hlc::Stamp,
    /// Whether the node is shutting down and has given up everything that it owned.
    pub draining: bool,
    /// IP address and port of the node's HTTP interface for callers.
    pub callers: String,
    /// Number of additional requests that the node's failure domain can accept, as estimated by the
    /// node.
    pub free: u32,
    /// Groups that the node, as steward, will release soon; they get no new requests.
    pub retiring: Vec<Retirement>,
    /// Nodes that have shut down and hold no slots.
    pub ended: Vec<Shutdown>,
    /// Liveness of the nodes in the sender's failure domain; empty if the receiver is in another
    /// domain.
    pub digest: digest::Digest,
}

/// An orderly shutdown of one incarnation of a node.
#[record]
pub struct Shutdown {
    /// Name of the node.
    pub node: id::Node,
    /// Incarnation that shut down.
    pub incarnation: id::Incarnation,
}

/// A group that will be released soon.
#[serde_as]
#[record]
pub struct Retirement {
    /// Name of the group.
    pub group: id::Group,
    /// Generation of the group, which identifies one formation of it.
    pub generation: id::Generation,
    /// Time until the release, encoded in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
}

/// Records of the configuration stream.
#[record]
#[derive(Default)]
pub struct Config {
    /// Records from the requested revision on, in the order of their offsets and without gaps.
    pub records: Vec<ConfigRecord>,
    /// Snapshot as JSON, if the node no longer has all records from the requested revision on;
    /// `records` then continue from the snapshot.
    pub snapshot: Option<String>,
    /// Revision of the configuration at the responding node.
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

/// Position in the sequence of changes to a node's observations; 0 requests all of them.
pub type Position = u64;

/// Changes in a node's observations of hosts since a position.
#[record]
pub struct Observations {
    /// Incarnation of the responding node; a position is valid for one incarnation only.
    pub incarnation: id::Incarnation,
    /// Position from which to request the next changes.
    pub next: Position,
    /// Whether the response covers every host, because the requested position wasn't valid.
    pub full: bool,
    /// Reports that changed in anything but the load.
    pub changed: Vec<host::Report>,
    /// Hosts that are no longer observed.
    pub removed: Vec<id::Host>,
    /// Time since each observed host was last confirmed, in the order of the host names, in units of
    /// 50 ms; 255 stands for 255 units or more.
    pub ages: Vec<u8>,
    /// Hosts that were found not to respond.
    pub silent: Vec<Silence>,
}

/// A host that was found not to respond.
#[record]
pub struct Silence {
    /// The host.
    pub host: id::Host,
    /// Time since the host was found not to respond, in units of 50 ms; 255 stands for 255 units or
    /// more.
    pub age: u8,
}

/// Admission control messages about the slots of upstreams.
#[record]
pub struct Admission {
    /// The sending node.
    pub from: id::Node,
    /// Incarnation of the sending node.
    pub incarnation: id::Incarnation,
    /// Messages in the order in which they were sent.
    pub messages: Vec<admission::message::Batch>,
}

/// Events of a node.
#[record]
pub struct Events {
    /// The events as JSON, in order.
    pub records: Vec<String>,
    /// Index from which to request the next events.
    pub next: u64,
}
