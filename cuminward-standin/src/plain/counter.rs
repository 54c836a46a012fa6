//! Figures of the order desk.

use std::collections::BTreeMap;

use cuminward_core::id;
use cuminward_derive::record;

/// Figures since the start of the desk.
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
    /// Requests refused with nothing run.
    pub not_run: u64,
    /// Most requests in flight in a host that was still warming up.
    pub cold_most_in_flight: u32,
    /// Bound of that host at that time.
    pub cold_bound_then: u32,
    /// Times a host failed everything because it ran more than it bore.
    pub cold_overruns: u64,
}
