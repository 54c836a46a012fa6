//! Orders to hosts: the body of `POST /v1/orders`.

use cuminward_core::id;
use cuminward_derive::record;

/// Id of an order, unique among the orders of one failure domain.
pub type Id = String;

/// An order to one host.
#[record]
pub struct Order {
    /// Fencing token of the term under which the order is given.
    pub fence: id::Fence,
    /// Id of the order.
    pub order: Id,
    /// Action that the host has to take.
    #[serde(flatten)]
    pub action: Action,
}

/// Action that an order asks for.
#[record]
#[serde(tag = "action", rename_all = "lowercase")]
pub enum Action {
    /// Join a group and load the weights of a version.
    Form(Form),
    /// Leave a group.
    Release(Release),
    /// Refuse orders with smaller fencing tokens from now on.
    Fence,
}

/// The group that a host has to join.
#[record]
pub struct Form {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Service that the group is formed for.
    pub service: id::Service,
    /// Model to run.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// All members; the first one is the head.
    pub members: Vec<Member>,
}

/// A member of a group that is to be formed.
#[record]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// IP address and port of the host.
    pub address: String,
}

/// The formation that a host has to leave.
#[record]
pub struct Release {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
}
