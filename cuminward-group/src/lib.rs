//! Group decisions: which hosts form which replica.
//!
//! - [`assembly`] finds the whole replicas in what the hosts report.
//! - [`placement`] decides which groups to form and which to release.
//! - [`probe`] divides the probes of hosts and judges what they show.
//! - [`steward`] holds the term of one failure domain and turns decisions into fenced [`order`]s.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: time is the [`std::time::Duration`]
//! since the start of the process and comes in as an argument.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod assembly;
pub mod order;
pub mod placement;
pub mod probe;
pub mod steward;
