//! Exchange between nodes: small digests as datagrams, and calls that fetch what a digest shows to be
//! newer elsewhere.

pub(crate) mod digest;
pub(crate) mod gossip;
pub(crate) mod pull;
pub(crate) mod register;
