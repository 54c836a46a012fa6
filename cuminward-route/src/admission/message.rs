//! Messages between the nodes of a failure domain about slots.
//!
//! Messages may be lost, delayed, doubled and reordered. One [`Batch`] carries everything that a
//! node has for another one.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

use super::Upstream;

/// Number of an owner's period of ownership; later ones of a node are larger.
pub type Session = u64;

/// Number of a holder's turn to an owner; later ones of a node are larger.
pub type Join = u64;

/// Everything that one node has for another.
#[record]
#[derive(Default)]
pub struct Batch {
    /// Node that sends.
    pub node: id::Node,
    /// For the owner.
    pub holdings: Vec<Holdings>,
    /// For the former owner.
    pub releases: Vec<Release>,
    /// For holders.
    pub grants: Vec<Grant>,
    /// For holders that haven't joined the owner's session.
    pub invitations: Vec<Invitation>,
}

/// What a node holds of an upstream, and how much more it could use.
#[serde_as]
#[record]
pub struct Holdings {
    /// The upstream.
    pub upstream: Upstream,
    /// Turn of the holder to this owner.
    pub join: Join,
    /// Session that the holder has joined, if any.
    pub session: Option<Session>,
    /// Number of the report; later reports of a node have larger numbers.
    pub report: u64,
    /// Number of the last grant that the holder took over.
    pub ack: u64,
    /// Number of times that the holder fell back to its reserve.
    pub reset: u64,
    /// Slots in use.
    pub in_use: u32,
    /// Slots that the holder may use.
    pub allowance: u32,
    /// Slots that the holder may use without a grant.
    pub reserve: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// When the report was made, by the holder's clock; the grant gives it back.
    #[serde(rename = "sent_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub sent: Duration,
    /// Start of the upstream that the holder last heard of, with the time since then.
    pub started: Option<Started>,
}

/// A start of an upstream.
#[serde_as]
#[record]
#[derive(Copy)]
pub struct Started {
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Time since the upstream began to warm up; never more than it really is.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A holder has turned to another owner.
#[record]
pub struct Release {
    /// The upstream.
    pub upstream: Upstream,
    /// Turn that has ended.
    pub join: Join,
    /// Slots still in use.
    pub in_use: u32,
    /// Slots that the holder goes on to use without a grant.
    pub reserve: u32,
}

/// Slots that a node may use.
#[serde_as]
#[record]
pub struct Grant {
    /// The upstream.
    pub upstream: Upstream,
    /// Session of the owner.
    pub session: Session,
    /// Turn of the holder that the grant is for.
    pub join: Join,
    /// Number of the grant; later grants of a session have larger numbers.
    pub seq: u64,
    /// The holder's count of falls that the grant is for.
    pub reset: u64,
    /// Slots that the node may use in all.
    pub slots: u32,
    /// Slots among them that the node may use without a grant from now on.
    pub reserve: u32,
    /// The `sent` of the report that the lease counts from.
    #[serde(rename = "echo_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub echo: Duration,
    /// Start of the upstream.
    pub started: Option<Started>,
}

/// An owner asks a node to join its session.
#[record]
pub struct Invitation {
    /// The upstream.
    pub upstream: Upstream,
    /// Session of the owner.
    pub session: Session,
}
