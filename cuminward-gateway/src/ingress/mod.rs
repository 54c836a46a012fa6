//! Accepts the connections of callers and of readiness checks.

pub(crate) mod connection;
pub(crate) mod listener;
pub(crate) mod metrics;
pub(crate) mod ready;
