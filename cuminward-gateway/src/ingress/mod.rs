//! Accepts connections: callers' requests, readiness checks and metrics.

pub(crate) mod connection;
pub(crate) mod listener;
pub(crate) mod metrics;
pub(crate) mod ready;
