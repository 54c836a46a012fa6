//! Orders to hosts, and what came of them.

use crate::id;

/// An order to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Host that gets it.
    pub host: id::Host,
    /// What it is to do.
    pub action: Action,
}

/// What a host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Become a member of a group.
    Join {
        /// Group.
        group: id::Group,
        /// Formation.
        epoch: id::Epoch,
        /// Model.
        model: id::Model,
        /// Members by rank; the first is the head.
        members: Vec<id::Host>,
    },
    /// As head, start to take requests.
    Open(Formation),
    /// As head, take no new requests and finish those under way.
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

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The host began it, or the state already holds.
    Accepted,
    /// The order doesn't fit the state of the host.
    Refused,
    /// The host has seen a newer fencing token: another steward took over.
    Fenced,
    /// No answer came: the order may be carried out now, later or never.
    Unanswered,
    /// The order wasn't sent, as the host is in another life or group than its entry says.
    Outdated,
    /// The host didn't answer a question before the order was sent.
    Unreachable,
}
