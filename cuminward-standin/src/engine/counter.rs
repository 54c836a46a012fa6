//! Counters of a fleet.

use std::collections::BTreeMap;

use cuminward_core::{host, id};
use cuminward_derive::record;

use crate::starts;

/// Counters since the start of the fleet.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Requests begun, by the head of the group.
    pub begun_by_host: BTreeMap<id::Host, u64>,
    /// Requests begun, by formation as `group@generation`.
    pub begun_by_replica: BTreeMap<String, u64>,
    /// Requests begun, by failure domain.
    pub begun_by_domain: BTreeMap<id::Domain, u64>,
    /// Requests answered completely.
    pub completed: u64,
    /// Requests that ended early for any reason except a call that cancels them.
    pub cut_off: u64,
    /// Of the requests cut off, those whose caller closed the stream.
    pub abandoned: u64,
    /// Requests cancelled by `DELETE /v1/generate/{request}`.
    pub cancelled: u64,
    /// Requests refused because the group wasn't ready in the requested formation and version.
    pub not_whole: u64,
    /// Requests refused because the queue was full.
    pub overloaded: u64,
    /// Requests refused because the replica was loading weights.
    pub starting: u64,
    /// Requests begun while a member was missing.
    pub partial_begun: u64,
    /// Replies completed while a member was missing.
    pub partial_answers: u64,
    /// Most requests in flight in a replica that was still warming up.
    pub cold_most_in_flight: u32,
    /// Concurrency limit of that replica at that time.
    pub cold_bound_then: u32,
    /// Highest ratio of requests in flight to the concurrency limit at the start of a request, in
    /// thousandths.
    pub most_load_permille: u32,
    /// Times that a replica failed all running requests because they exceeded its limit.
    pub cold_overruns: u64,
    /// Orders that were accepted.
    pub orders_accepted: u64,
    /// Orders that were refused.
    pub orders_refused: u64,
    /// Orders refused for an old fencing number.
    pub orders_stale: u64,
    /// Orders that a host accepted despite an old fencing number.
    pub orders_stale_accepted: u64,
    /// Times that a host became a ready member of a group while another ready group listed it.
    pub host_in_two_groups: u64,
    /// `form` orders accepted while another formation, loading or ready at a running host, listed
    /// the host.
    pub claimed_twice: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Replicas that became ready.
    pub formed: u64,
    /// Replicas that a request crashed.
    pub crashes: u64,
    /// Time that accelerators of running hosts spent outside any ready group, in seconds, by
    /// failure domain.
    pub stranded_seconds: BTreeMap<id::Domain, f64>,
    /// Time that expected groups were not ready, in seconds, by failure domain.
    pub group_down_seconds: BTreeMap<id::Domain, f64>,
}

/// Counters and the times at which requests began.
#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) counters: Counters,
    pub(super) begun_in_domain: starts::Times,
    /// Times at which requests began, recorded for each member of the replica.
    pub(super) begun_with_member: starts::Times,
    /// Requests begun, by request id; a resumed request counts again.
    pub(super) requests: BTreeMap<id::Request, u64>,
}

/// Mutation
impl Stats {
    /// Counts a request that begins, by failure domain, host and replica.
    pub(super) fn record_begin(
        &mut self,
        domain: &str,
        formation: &host::Membership,
        replica: &str,
    ) {
        let counters = &mut self.counters;
        *counters.begun_by_domain.entry(domain.to_owned()).or_default() += 1;
        let head = formation.members.first().cloned().unwrap_or_default();
        *counters.begun_by_host.entry(head).or_default() += 1;
        *counters.begun_by_replica.entry(replica.to_owned()).or_default() += 1;
        self.begun_in_domain.record(domain);
        formation.members.iter().for_each(|it| self.begun_with_member.record(it));
    }

    /// Counts a request that begins, by its id.
    pub(super) fn record_request(&mut self, request: &str) {
        *self.requests.entry(request.to_owned()).or_default() += 1;
    }
}
