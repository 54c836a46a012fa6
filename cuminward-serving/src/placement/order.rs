//! Orders to hosts and their outcomes.

use crate::id;

/// An order to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Host to which the order is sent.
    pub host: id::Host,
    /// Action that the host has to take.
    pub action: Action,
}

/// Action that an order demands of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Become a member of a group.
    Join {
        /// Group.
        group: id::Group,
        /// Number of the formation.
        epoch: id::Epoch,
        /// Model.
        model: id::Model,
        /// Members by rank; the first is the head.
        members: Vec<id::Host>,
    },
    /// As the head, start to accept requests.
    Open(Formation),
    /// As the head, accept no new requests and finish those in flight.
    Close(Formation),
    /// Leave the group at once.
    Leave(Formation),
    /// Load the weights of a model.
    Stage {
        /// Model.
        model: id::Model,
    },
}

/// One formation of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Formation {
    /// Group.
    pub group: id::Group,
    /// Number of the formation.
    pub epoch: id::Epoch,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The host has started to carry out the order, or is already in the ordered state.
    Accepted,
    /// The order doesn't fit the state of the host.
    Refused,
    /// The host has seen a newer fencing token: another steward took over.
    Fenced,
    /// No response arrived: the order may be carried out now, later or never.
    Unanswered,
    /// The order wasn't sent, as the host is in another incarnation or formation than its entry in
    /// the host list shows.
    Outdated,
    /// The order wasn't sent, as the host didn't answer the request for its report.
    Unreachable,
}
