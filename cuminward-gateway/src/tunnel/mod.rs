//! Connections to hosts through other nodes.
//!
//! A node that can't reach a host asks another node to connect it. The bytes of the connection pass through that
//! node unchanged; all decisions about requests stay with the node that received them from its caller.
//! [`dialer`] opens connections over the own path or through another node, as [`paths`] knows them; [`server`]
//! connects other nodes to hosts; [`wire`] is what both say to each other; [`watch`] notices when the own paths
//! work again.

pub(crate) mod dialer;
pub(crate) mod paths;
pub(crate) mod server;
pub(crate) mod watch;
mod wire;

pub(crate) use wire::PROTOCOL;
