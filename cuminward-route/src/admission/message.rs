//! Admission messages between the nodes of a failure domain.
//!
//! Messages may be lost, delayed, duplicated and reordered. One [`Batch`] carries all messages from
//! one node to another.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

use super::Upstream;

/// Number of an owner's period of ownership; grows with each new period of a node.
pub type Session = u64;

/// Number of a holder's current period under one owner; grows each time the holder switches owners.
pub type Join = u64;

/// Messages from one node to another.
#[record]
#[derive(Default)]
pub struct Batch {
    /// Node that sends the batch.
    pub node: id::Node,
    /// Reports to the receiver as the owner.
    pub holdings: Vec<Holdings>,
    /// Releases to the receiver as the former owner.
    pub releases: Vec<Release>,
    /// Grants to the receiver's holders.
    pub grants: Vec<Grant>,
    /// Invitations to the receiver's holders that haven't joined the sender's session.
    pub invitations: Vec<Invitation>,
}

/// Report of a holder to the owner: the slots that it holds and how many more it could use.
#[serde_as]
#[record]
pub struct Holdings {
    /// The upstream.
    pub upstream: Upstream,
    /// Period of the holder under this owner.
    pub join: Join,
    /// Session that the holder has joined, if any.
    pub session: Option<Session>,
    /// Sequence number of the report; grows with each report of a node.
    pub report: u64,
    /// Sequence number of the last grant that the holder applied.
    pub ack: u64,
    /// Count of lost connections to the upstream, after which the holder fell back to its reserve.
    pub reset: u64,
    /// Slots in use.
    pub in_use: u32,
    /// Slots that the holder may use.
    pub allowance: u32,
    /// Slots that the holder may use without a grant.
    pub reserve: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// When the report was made, by the holder's clock; the grant echoes it.
    #[serde(rename = "sent_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub sent: Duration,
    /// Last start of the upstream that the holder received in a grant.
    pub started: Option<Started>,
}

/// A start of an upstream, from which its slow start counts.
#[serde_as]
#[record]
#[derive(Copy)]
pub struct Started {
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Time since the upstream began to warm up; never longer than the actual time.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Notice to the former owner that a holder has switched to another one.
#[record]
pub struct Release {
    /// The upstream.
    pub upstream: Upstream,
    /// Period of the holder that has ended.
    pub join: Join,
    /// Slots still in use.
    pub in_use: u32,
    /// Slots that the holder may still use without a grant.
    pub reserve: u32,
}

/// Grant of slots to a node, valid for a lease.
#[serde_as]
#[record]
pub struct Grant {
    /// The upstream.
    pub upstream: Upstream,
    /// Session of the owner.
    pub session: Session,
    /// Period of the holder that the grant is for.
    pub join: Join,
    /// Sequence number of the grant; grows with each grant of a session.
    pub seq: u64,
    /// The holder's `reset` count that the grant is for; the holder ignores grants for other counts.
    pub reset: u64,
    /// Slots that the node may use in total.
    pub slots: u32,
    /// Part of `slots` that the node may use without a grant from now on.
    pub reserve: u32,
    /// The `sent` time of the report from which the lease counts.
    #[serde(rename = "echo_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub echo: Duration,
    /// Start of the upstream.
    pub started: Option<Started>,
}

/// Invitation of an owner to a node to join the owner's session.
#[record]
pub struct Invitation {
    /// The upstream.
    pub upstream: Upstream,
    /// Session of the owner.
    pub session: Session,
}
