//! Clusters of real nodes over stand-ins, for examples, experiments and failure tests.
//!
//! [`cluster::Cluster`] runs the daemon's own code: each node has its own sockets, and everything
//! outside it is a stand-in of `cuminward-standin`.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod cluster;
pub mod cpu;
pub mod declare;
pub mod experiment;
