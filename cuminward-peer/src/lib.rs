//! Calls between the nodes.
//!
//! [`service::Peer`] is the interface (tarpc over length-limited frames). A connection begins with
//! [`handshake`], by which both ends prove that they know the shared secret; [`client::Pool`] keeps
//! one connection for each node, and [`server`] passes calls to a [`handler::Handler`]. [`stream`] makes both independent of what
//! encrypts the connection. [`topology`] chooses the
//! nodes to greet, and [`digest`] says who is live.

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
