//! Counters of the plain service.

use std::collections::BTreeMap;

use cuminward_core::id;
use cuminward_derive::record;

/// Counters since the start of the service.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Reservations that ran, by idempotency key; without a key, by request id.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Reservations that ran, by request id.
    pub runs_by_request: BTreeMap<id::Request, u64>,
    /// Requests begun, by host.
    pub begun_by_host: BTreeMap<id::Host, u64>,
    /// Requests begun, by failure domain.
    pub begun_by_domain: BTreeMap<id::Domain, u64>,
    /// Reservations that ran.
    pub reservations: u64,
    /// Requests answered.
    pub completed: u64,
    /// Answers lost after the request ran.
    pub lost_answers: u64,
    /// Requests refused without running.
    pub not_run: u64,
    /// Most requests in flight in a host that was still warming up.
    pub cold_most_in_flight: u32,
    /// Concurrency limit of that host at that time.
    pub cold_bound_then: u32,
    /// Times that a host failed all running requests because they exceeded its concurrency limit.
    pub cold_overruns: u64,
}
