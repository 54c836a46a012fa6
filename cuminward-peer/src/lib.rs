//! Remote procedure calls between nodes.
//!
//! [`service::Peer`] is the interface, served by tarpc over frames of limited length. Each connection
//! starts with a [`handshake`] in which both ends prove that they know the shared secret.
//! [`client::Pool`] keeps one connection to each node; [`server::Server`] accepts connections and
//! passes their calls to a [`handler::Handler`]. Both are generic over the transport ([`stream`]),
//! which may encrypt the connection. [`topology`] selects the nodes to which a node sends hellos, and
//! [`digest`] encodes which nodes are live.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
pub mod count;
pub mod digest;
pub mod handler;
pub mod handshake;
pub mod message;
pub mod server;
pub mod service;
pub mod stream;
pub mod topology;
