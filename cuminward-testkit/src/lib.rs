//! Clusters of real nodes on stand-ins of their environment, for examples, experiments and failure
//! tests.
//!
//! [`cluster::Cluster`] runs the code of the daemon: each node has its own sockets, and the
//! services that the nodes use are stand-ins from `cuminward-standin`.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod cluster;
pub mod cpu;
pub mod declare;
pub mod experiment;
