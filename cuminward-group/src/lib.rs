//! Group decisions: which hosts form which replica.
//!
//! - [`assembly`] finds the whole replicas in what the hosts report.
//! - [`placement`] decides which groups to form and which to release.
//! - [`probe`] assigns the probes of hosts to nodes and detects failed hosts.
//! - [`steward`] is the elected leader of one failure domain: it holds a lease and turns placement
//!   decisions into [`order`]s that carry a fencing token.
//!
//! The package does no I/O, reads no clock and draws no random numbers: callers pass the time as the
//! [`std::time::Duration`] since the start of the process.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod assembly;
pub mod order;
pub mod placement;
pub mod probe;
pub mod steward;
