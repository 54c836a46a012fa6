//! Inputs and outputs of a steward.

use std::{sync::Arc, time::Duration};

use cuminward_core::{catalog, host, id};

use super::{claim, event};
use crate::order;

/// An input of a steward.
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
        /// Outcome of the append.
        outcome: Append,
    },
    /// This node read a host's state from the host itself.
    Observed {
        /// The host's report and the time of its arrival.
        observation: host::Observation,
        /// When the report was requested, as time since the start of the process.
        asked: Duration,
    },
    /// Another node read a host's state. Such a report never confirms the host's state; if it shows a
    /// change, this node reads the state itself.
    ObservedByPeer(host::Observation),
    /// A host doesn't answer this node or the nodes that probe it.
    Unreachable(id::Host),
    /// An order has ended.
    OrderCompleted {
        /// Host that the order was sent to.
        host: id::Host,
        /// Id of the order.
        order: order::Id,
        /// Outcome of the order.
        outcome: Answer,
    },
    /// The configuration in force.
    Catalog(Arc<catalog::Catalog>),
    /// The platform's host list.
    Hosts(Vec<host::Entry>),
    /// Nodes of the failure domain that answer, this one included.
    Nodes(Vec<id::Node>),
    /// Timer tick; the caller passes several a second.
    Tick,
    /// The node shuts down.
    Shutdown,
}

/// Outcome of an append.
#[cuminward_derive::value]
pub enum Append {
    /// The record was appended.
    Done,
    /// The record wasn't appended.
    Failed,
    /// The record may have been appended.
    Unknown,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The order took effect; the host's state afterwards.
    Accepted(host::Report),
    /// The host has seen a larger fencing token.
    Stale {
        /// The largest number seen.
        fence: id::Fence,
    },
    /// The host refused for another reason, or the order wasn't sent; it has no effect.
    Refused {
        /// Code of the refusal.
        code: String,
    },
    /// The order may have taken effect, or may do so later.
    Unknown,
}

/// An action that the caller of a steward has to take.
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
    /// Drain a whole group: give it no new work from now on. Its release follows.
    Retire {
        /// Name of the group.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// When the group will be released, since the start of the process.
        until: Duration,
    },
    /// Report an event to the time line.
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
    /// Deadline to begin sending, as time since the start of the process; after it the sender reports a
    /// refusal with the code [`EXPIRED_CODE`] instead.
    pub start_before: Duration,
    /// Time without an answer after which the sender reports [`Answer::Unknown`].
    pub timeout: Duration,
}

/// Refusal code of an order that wasn't sent, since its [`Dispatch::start_before`] had passed.
pub const EXPIRED_CODE: &str = "expired";
