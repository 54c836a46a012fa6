//! Request decisions: routing, admission control, weighted fair queueing and retries.
//!
//! This crate does no I/O and reads no clock: times are passed in as the `Duration` since the start
//! of the process, and random numbers as arguments.
//!
//! - [`route`] chooses a replica, using [`prefix`] for prefix-cache affinity and [`load`] for the
//!   current load.
//! - [`admission`] limits the requests that all nodes together run on one upstream.
//! - [`fair_queue`] divides a node's capacity between teams.
//! - [`attempt`] decides whether a request is retried after a failed attempt.
//! - [`quarantine`] isolates requests that may crash upstreams.
//! - [`outlier`] ejects slow and failing upstreams.
//! - [`stall`] detects connections that have stopped carrying tokens.

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
