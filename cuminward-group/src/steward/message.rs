//! What a steward is told and what it says.

use std::{sync::Arc, time::Duration};

use cuminward_core::{catalog, host, id};

use super::{claim, event};
use crate::order;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A record of the stream of claims was read, in the order of offsets.
    Record {
        /// Offset of the record.
        offset: id::Offset,
        /// The record.
        claim: claim::Claim,
    },
    /// The stream of claims was read to its end.
    LogRead,
    /// An append of a claim has ended.
    Appended {
        /// Sequence number of the claim.
        sequence: u64,
        /// What became of it.
        outcome: Append,
    },
    /// This node read a host's state by itself.
    Observed {
        /// What was read.
        observation: host::Observation,
        /// When the reading was asked for, since the start of the process.
        asked: Duration,
    },
    /// Another node read a host's state; it is never used to confirm, only to notice a change.
    ObservedByPeer(host::Observation),
    /// A host doesn't answer, or the nodes that probe it say so.
    Unreachable(id::Host),
    /// An order has ended.
    OrderCompleted {
        /// Host that was ordered.
        host: id::Host,
        /// Id of the order.
        order: order::Id,
        /// What became of it.
        outcome: Answer,
    },
    /// The configuration in force.
    Catalog(Arc<catalog::Catalog>),
    /// The platform's host list.
    Hosts(Vec<host::Entry>),
    /// Nodes of the failure domain that answer, this one included.
    Nodes(Vec<id::Node>),
    /// Time went on; to be given several times a second.
    Tick,
    /// The node shuts down.
    Shutdown,
}

/// What became of an append.
#[cuminward_derive::value]
pub enum Append {
    /// It was appended.
    Done,
    /// It was not appended.
    Failed,
    /// It may have been appended.
    Unknown,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It took effect; the host's state afterwards.
    Accepted(host::Report),
    /// The host has seen a larger fencing number.
    Stale {
        /// The largest number seen.
        fence: id::Fence,
    },
    /// The host refused for another reason; nothing happened.
    Refused {
        /// Code of the refusal.
        code: String,
    },
    /// It may have taken effect, or may do so later.
    Unknown,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append a record to the stream of claims and report with [`Input::Appended`].
    Append(claim::Claim),
    /// Send an order and report with [`Input::OrderCompleted`].
    Send(Dispatch),
    /// Read a host's state now and report with [`Input::Observed`] or [`Input::Unreachable`].
    Read {
        /// The host.
        host: id::Host,
        /// IP address and port of the host.
        address: String,
    },
    /// Give a whole group no new work from now on; its release follows.
    Retire {
        /// Name of the group.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// When the group will be released, since the start of the process.
        until: Duration,
    },
    /// Tell the time line.
    Event(event::Event),
}

/// An order that is to be sent to a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The host.
    pub host: id::Host,
    /// IP address and port of the host.
    pub address: String,
    /// Body of the order.
    pub order: order::Order,
    /// Time since the start of the process at which the sender must not begin to send any more; it then
    /// reports a refusal with the code [`EXPIRED_CODE`].
    pub start_before: Duration,
    /// Time after which the sender gives up waiting and reports [`Answer::Unknown`].
    pub timeout: Duration,
}

/// Code of the refusal of an order that wasn't sent since it was too late.
pub const EXPIRED_CODE: &str = "expired";
