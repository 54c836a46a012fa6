//! Exchange between nodes: gossip of small digests in datagrams, and calls that fetch the records that
//! other nodes have and this node lacks.

mod clients;
pub(crate) mod datagram;
pub(crate) mod digest;
pub(crate) mod discovery;
pub(crate) mod feature;
pub(crate) mod gossip;
pub(crate) mod loan;
pub(crate) mod pull;
pub(crate) mod unreadable;
