//! Events and metrics of requests.

use std::time::Duration;

use cuminward_event::kind::Kind;
use cuminward_serving::{
    attempt::{Failure, Next},
    event,
};
use cuminward_upstream::body;
use http::StatusCode;

use super::{context::Context, exchange::Fault, reply::Rejection, slot::Slot};
use crate::state::{State, routing::Upstream};

/// Requests, by how they ended.
const REQUESTS: &str = "cuminward_gateway_requests_total";

/// Failed attempts, by what is known about their execution.
const FAILED_ATTEMPTS: &str = "cuminward_gateway_failed_attempts_total";

/// Streams that upstreams ended without an error, by framing and by whether bytes followed the last event.
const STREAM_ENDS: &str = "cuminward_gateway_stream_ends_total";

/// Seconds from the arrival of a request to the first part of its response.
const FIRST_PART: &str = "cuminward_gateway_first_part_seconds";

/// Seconds that a request waited for an upstream.
const WAIT: &str = "cuminward_gateway_wait_seconds";

/// End of a stream that an upstream ended without an error.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamEnd {
    pub(super) framing: body::Framing,
    /// Id of the last event sent to the caller.
    pub(super) last_event: Option<event::Id>,
    /// Number of bytes that followed the last complete event.
    pub(super) remainder: usize,
}

/// Outcome of a request that was answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Completion {
    pub(super) status: StatusCode,
    pub(super) attempts: u32,
    /// Milliseconds from the arrival of the request to the first part of the response.
    pub(super) first_ms: u64,
}

/// Records that an upstream was chosen after a wait. The event is written for sampled requests only.
pub(super) fn record_choice(
    state: &State,
    context: &Context,
    upstream: &Upstream,
    waited: Duration,
) {
    metrics::histogram!(WAIT).record(waited.as_secs_f64());
    if !context.is_sampled() {
        return;
    }
    let kind = Kind::UpstreamChosen {
        route: context.route.name.clone(),
        version: context.version,
        upstream: upstream.name.clone(),
        own: upstream.stats.in_flight().into(),
        load: upstream.stats.load().into(),
        waited_ms: waited.as_millis() as u64,
        left_ms: context.remaining().as_millis() as u64,
    };
    state.events.emit_for(context.id(), kind);
}

/// Records that a connection to the upstream of a slot was stale after it had been idle for a time.
pub(super) fn record_stale_connection(
    state: &State,
    context: &Context,
    slot: &Slot,
    idle: Duration,
    is_resent: bool,
) {
    let kind = Kind::ConnectionStale {
        upstream: slot.upstream.name.clone(),
        idle_ms: idle.as_millis() as u64,
        next: if is_resent { "again" } else { "fail" }.to_owned(),
    };
    state.events.emit_for(context.id(), kind);
}

/// Records a failed attempt and what follows it.
pub(super) fn record_failed_attempt(
    state: &State,
    context: &Context,
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
        Next::Return => "return",
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
    state.events.emit_for(context.id(), kind);
}

/// Records that a request was answered. The event is written for requests that exceeded the latency
/// objective or needed several attempts, and for sampled ones.
pub(super) fn record_completion(state: &State, context: &Context, completion: &Completion) {
    metrics::counter!(REQUESTS, "end" => "answered").increment(1);
    metrics::histogram!(FIRST_PART)
        .record(Duration::from_millis(completion.first_ms).as_secs_f64());
    let is_late = Duration::from_millis(completion.first_ms) > context.route.latency_objective;
    if !is_late && completion.attempts <= 1 && !context.is_sampled() {
        return;
    }
    let kind = Kind::RequestFinished {
        route: context.route.name.clone(),
        status: completion.status.as_u16().into(),
        attempts: completion.attempts.into(),
        first_ms: completion.first_ms,
        total_ms: context.age_ms(),
    };
    state.events.emit_for(context.id(), kind);
}

/// Records that an upstream ended a stream without an error.
pub(super) fn record_stream_end(state: &State, context: &Context, upstream: &str, end: &StreamEnd) {
    let framing = end.framing.to_string();
    let has_remainder = if end.remainder > 0 { "yes" } else { "no" };
    let labels = [("framing", framing.clone()), ("remainder", has_remainder.to_owned())];
    metrics::counter!(STREAM_ENDS, &labels).increment(1);
    if end.remainder == 0 && !context.is_sampled() {
        return;
    }
    let kind = Kind::StreamEnded {
        upstream: upstream.to_owned(),
        framing,
        last_event: end.last_event.unwrap_or(0),
        remainder: end.remainder as u64,
    };
    state.events.emit_for(context.id(), kind);
}

/// Records that an admitted request was refused or failed by this node.
pub(super) fn record_rejection(
    state: &State,
    context: &Context,
    status: StatusCode,
    cause: &str,
    attempts: u32,
) {
    let end = if status == StatusCode::SERVICE_UNAVAILABLE { "refused" } else { "failed" };
    metrics::counter!(REQUESTS, "end" => end).increment(1);
    let kind = Kind::RequestRejected {
        route: context.route.name.clone(),
        status: status.as_u16().into(),
        cause: cause.to_owned(),
        attempts: attempts.into(),
        after_ms: context.age_ms(),
    };
    state.events.emit_for(context.id(), kind);
}

/// Records that a request wasn't admitted.
pub(super) fn record_denial(state: &State, id: Option<&str>, rejection: &Rejection) {
    metrics::counter!(REQUESTS, "end" => "refused").increment(1);
    let kind = Kind::RequestDenied {
        status: rejection.status.as_u16().into(),
        retry_ms: rejection.retry_after.unwrap_or_default().as_millis() as u64,
        cause: rejection.cause.to_owned(),
    };
    state.events.emit_for(id.unwrap_or("-"), kind);
}

/// Records that a stream ended before it was complete.
pub(super) fn record_broken_stream(
    state: &State,
    context: &Context,
    cause: &str,
    last_event: Option<event::Id>,
    attempts: u32,
) {
    metrics::counter!(REQUESTS, "end" => "broken").increment(1);
    let kind = Kind::StreamBroken {
        route: context.route.name.clone(),
        cause: cause.to_owned(),
        last_event: last_event.unwrap_or(0),
        attempts: attempts.into(),
        after_ms: context.age_ms(),
    };
    state.events.emit_for(context.id(), kind);
}
