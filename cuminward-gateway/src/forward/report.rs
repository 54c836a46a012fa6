//! Events and metrics of requests.

use std::time::Duration;

use cuminward_event::kind::Kind;
use cuminward_serving::{
    attempt::{Failure, Next},
    event,
};
use http::StatusCode;

use super::{exchange::Fault, job::Job, reply::Denial};
use crate::state::{State, routing::Upstream};

/// Requests by how they ended.
const REQUESTS: &str = "cuminward_gateway_requests_total";

/// Attempts that brought no answer, by what is known about their execution.
const FAILED_ATTEMPTS: &str = "cuminward_gateway_failed_attempts_total";

/// Seconds from the arrival of a request to the first part of its answer.
const FIRST_PART: &str = "cuminward_gateway_first_part_seconds";

/// Seconds that a request waited for an upstream.
const WAIT: &str = "cuminward_gateway_wait_seconds";

/// How an answer came about.
#[derive(Debug, Clone, Copy)]
pub(super) struct Course {
    pub(super) status: StatusCode,
    pub(super) attempts: u32,
    /// Milliseconds to the first part of the answer.
    pub(super) first_ms: u64,
}

/// An upstream was chosen after a wait.
pub(super) fn chosen(state: &State, job: &Job, upstream: &Upstream, waited: Duration) {
    metrics::histogram!(WAIT).record(waited.as_secs_f64());
    if !job.is_sampled() {
        return;
    }
    let kind = Kind::UpstreamChosen {
        route: job.route.name.clone(),
        version: job.version,
        upstream: upstream.name.clone(),
        own: upstream.stats.in_flight().into(),
        load: upstream.stats.load().into(),
        waited_ms: waited.as_millis() as u64,
        left_ms: job.left().as_millis() as u64,
    };
    state.events.emit_for(job.id(), kind);
}

/// An attempt brought no answer.
pub(super) fn failed(
    state: &State,
    job: &Job,
    upstream: &str,
    fault: &Fault,
    last_event: Option<event::Id>,
    next: Next,
) {
    let failure = match fault.failure {
        Failure::NotRun => "not-run",
        Failure::Unknown => "unknown",
    };
    metrics::counter!(FAILED_ATTEMPTS, "failure" => failure).increment(1);
    let next = match next {
        Next::Retry => "again",
        Next::Refuse => "refuse",
        Next::Fail => "fail",
    };
    let kind = Kind::AttemptFailed {
        upstream: upstream.to_owned(),
        failure: failure.to_owned(),
        cause: fault.cause.clone(),
        last_event: last_event.unwrap_or(0),
        next: next.to_owned(),
    };
    state.events.emit_for(job.id(), kind);
}

/// A request was answered. Those that were late or needed several attempts are always logged.
pub(super) fn finished(state: &State, job: &Job, course: &Course) {
    metrics::counter!(REQUESTS, "end" => "answered").increment(1);
    metrics::histogram!(FIRST_PART).record(Duration::from_millis(course.first_ms).as_secs_f64());
    let is_late = Duration::from_millis(course.first_ms) > job.route.latency_objective;
    if !is_late && course.attempts <= 1 && !job.is_sampled() {
        return;
    }
    let kind = Kind::RequestFinished {
        route: job.route.name.clone(),
        status: course.status.as_u16().into(),
        attempts: course.attempts.into(),
        first_ms: course.first_ms,
        total_ms: job.age_ms(),
    };
    state.events.emit_for(job.id(), kind);
}

/// A request was refused or failed by this node.
pub(super) fn rejected(state: &State, job: &Job, status: StatusCode, cause: &str, attempts: u32) {
    let end = if status == StatusCode::SERVICE_UNAVAILABLE { "refused" } else { "failed" };
    metrics::counter!(REQUESTS, "end" => end).increment(1);
    let kind = Kind::RequestRejected {
        route: job.route.name.clone(),
        status: status.as_u16().into(),
        cause: cause.to_owned(),
        attempts: attempts.into(),
        after_ms: job.age_ms(),
    };
    state.events.emit_for(job.id(), kind);
}

/// A request wasn't admitted.
pub(super) fn denied(state: &State, id: Option<&str>, denial: &Denial) {
    metrics::counter!(REQUESTS, "end" => "refused").increment(1);
    let kind = Kind::RequestDenied {
        status: denial.status.as_u16().into(),
        retry_ms: denial.retry_after.unwrap_or_default().as_millis() as u64,
        cause: denial.cause.to_owned(),
    };
    state.events.emit_for(id.unwrap_or("-"), kind);
}

/// A stream broke off before its end.
pub(super) fn broken(
    state: &State,
    job: &Job,
    cause: &str,
    last_event: Option<event::Id>,
    attempts: u32,
) {
    metrics::counter!(REQUESTS, "end" => "broken").increment(1);
    let kind = Kind::StreamBroken {
        route: job.route.name.clone(),
        cause: cause.to_owned(),
        last_event: last_event.unwrap_or(0),
        attempts: attempts.into(),
        after_ms: job.age_ms(),
    };
    state.events.emit_for(job.id(), kind);
}
