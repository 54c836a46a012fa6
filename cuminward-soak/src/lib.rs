//! Development only: runs the daemon as separate processes, injects faults from outside them, and checks
//! the promises to callers and upstreams while it runs.
//!
//! [`site`] holds the store, the hosts and the proxies in front of them, [`node`] the processes,
//! [`caller`] the load, [`judge`] the promises, [`trouble`] the faults, and [`soak`] one run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod judge;
pub mod node;
pub mod site;
pub mod soak;
pub mod trouble;
