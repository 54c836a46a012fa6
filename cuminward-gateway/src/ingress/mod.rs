//! Accepts connections: callers' requests, readiness checks and metrics.

mod activity;
mod body;
pub(crate) mod connection;
mod ending;
pub(crate) mod listener;
pub(crate) mod metrics;
pub(crate) mod ready;
mod socket;
