//! Request decisions: routing, admission, fair shares, retries.
//!
//! Nothing here does I/O or reads a clock: time comes in as the `Duration` since the process
//! started, random numbers as arguments.
//!
//! - [`route`] chooses a replica, with [`prefix`] for cache affinity and [`load`] for live figures.
//! - [`admission`] bounds the work that all nodes together send to one upstream.
//! - [`fair_queue`] divides a node's capacity between teams.
//! - [`attempt`] decides what follows a failed attempt.
//! - [`quarantine`] isolates requests that may crash upstreams; [`outlier`] takes slow and failing
//!   upstreams out of use; [`stall`] bounds the time between tokens.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod fair_queue;
pub mod load;
pub mod outlier;
pub mod prefix;
pub mod quarantine;
pub mod route;
pub mod stall;
