//! Requests with a single response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::{
    attempt::{self, Failure, Next},
    catalog::Retry,
    queue::Progress,
};
use http::{Response, StatusCode, response::Parts};
use tokio::time;

use super::{
    attempts::Attempts,
    context::Context,
    crash,
    exchange::{self, Fault},
    reply::{self, Body, Rejection},
    report::{self, Completion},
    slot::Slot,
    stall::{Candidate, Reason, Replacement, Stall},
};
use crate::{peer::loan::Grant, state::State};

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Usual time of an attempt, after which an idempotent request moves to another upstream, as a multiple of the
/// route's latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.2;

/// `Retry-After` of a request that upstreams refused.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A response of an upstream that was read completely.
struct BufferedResponse {
    head: Parts,
    body: Bytes,
}

/// Result of an attempt.
enum Outcome {
    Response(BufferedResponse),
    Fault(Fault),
    /// There was no response in the usual time, and another upstream is reserved for the request.
    Stall(Replacement),
}

/// Handles a request with a single response, with retries as its route and the retry budget allow.
pub(crate) async fn run(state: &Arc<State>, context: &Arc<Context>) -> Response<Body> {
    let mut attempts = Attempts::default();
    let mut last_failure: Option<BufferedResponse> = None;
    let mut reserved: Option<Slot> = None;
    // What allowed the next attempt, if it is a retry that may have to wait.
    let mut grant: Option<Grant> = None;
    state.record_request(&context.service);
    loop {
        let acquired = match reserved.take() {
            Some(it) => Ok(it),
            None => attempts.reserve(state, context, Progress::New).await,
        };
        let slot = match acquired {
            Ok(it) => it,
            Err(error) => {
                let (retry_after, cause) = (error.retry_after(), error.to_string());
                let counts = attempts.counts();
                return give_up(state, context, last_failure, counts, retry_after, &cause);
            }
        };
        if let Some(grant) = grant.take()
            && !state.record_retry_sent(&context.service, grant).await
        {
            let cause = "the loan of a retry ran out before a host was free";
            return give_up(state, context, last_failure, attempts.counts(), RETRY_AFTER, cause);
        }
        attempts.begin(&slot.upstream);
        let upstream = slot.upstream.name.clone();
        let counts = attempts.counts();
        let may_move = counts.maybe_ran + 1 < context.route.max_attempts;
        let is_last = !may_move && counts.left == 0;
        let candidate = Candidate { state, context, attempts: &attempts, progress: Progress::New };
        let fault = match send_attempt(&candidate, context, &slot, may_move).await {
            Outcome::Stall(replacement) => {
                let fault = replacement.stall.fault();
                attempts.leave();
                report::record_failed_attempt(state, context, &upstream, &fault, None, Next::Retry);
                reserved = Some(replacement.slot);
                continue;
            }
            Outcome::Response(response) if is_final(context, &response, is_last) => {
                let (status, attempts) = (response.head.status, attempts.number());
                let completion = Completion { status, attempts, first_ms: context.age_ms() };
                report::record_completion(state, context, &completion);
                return into_response(response);
            }
            Outcome::Response(response) => {
                let cause = format!("the upstream responded with status {}", response.head.status);
                last_failure = Some(response);
                Fault { failure: Failure::Unknown, cause }
            }
            Outcome::Fault(fault) => fault,
        };
        drop(slot);
        let next = attempts.record_failure(fault.failure, &context.bounds());
        report::record_failed_attempt(state, context, &upstream, &fault, None, next);
        if matches!(next, Next::Retry | Next::Return) {
            grant = state.try_retry(&context.service).await;
        }
        if grant.is_none() {
            let counts = attempts.counts();
            return give_up(state, context, last_failure, counts, RETRY_AFTER, &fault.cause);
        }
    }
}

/// Returns whether a response goes to the caller: all do except a server error of an idempotent request
/// that may be tried again.
fn is_final(context: &Context, response: &BufferedResponse, is_last: bool) -> bool {
    is_last || context.route.retry != Retry::Idempotent || !response.head.status.is_server_error()
}

/// Sends the request to an upstream and reads the response, and records the result in the statistics of the
/// upstream. After the usual time of an attempt, the request moves to another upstream as soon as one is
/// reserved.
async fn send_attempt(
    candidate: &Candidate<'_>,
    context: &Arc<Context>,
    slot: &Slot,
    may_move: bool,
) -> Outcome {
    let (state, started) = (candidate.state, candidate.state.now());
    let left = context.remaining();
    let may_move = may_move && context.route.retry == Retry::Idempotent;
    let usual = context.route.latency_objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES);
    let reservation = async {
        if !may_move {
            return std::future::pending().await;
        }
        time::sleep(usual).await;
        candidate.reserve().await
    };
    let outcome = tokio::select! {
        biased;
        sent = time::timeout(left, send_and_buffer(state, context, slot, left)) => match sent {
            Ok(Ok(response)) => Outcome::Response(response),
            Ok(Err(fault)) => Outcome::Fault(fault),
            Err(_) => {
                let cause = String::from("no complete response before the deadline");
                Outcome::Fault(Fault { failure: Failure::Unknown, cause })
            }
        },
        slot = reservation => {
            let silence = state.now().saturating_sub(started);
            let stall = Stall { reason: Reason::TimedOut, silence };
            Outcome::Stall(Replacement { stall, slot })
        }
    };
    match &outcome {
        Outcome::Response(_) => {
            slot.upstream.stats.record_success();
            state.quarantine.record_response(state.now(), &context.subjects);
        }
        Outcome::Fault(_) | Outcome::Stall(_) => slot.upstream.stats.record_failure(state.now()),
    }
    outcome
}

/// Sends the request and reads the whole response. An incomplete response may indicate a crash of the host.
async fn send_and_buffer(
    state: &Arc<State>,
    context: &Arc<Context>,
    slot: &Slot,
    timeout: Duration,
) -> Result<BufferedResponse, Fault> {
    let progress = crash::Progress { started: state.now(), events: 0 };
    let response = exchange::send(state, context, slot, None, timeout).await?;
    let body = response.body.read(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| {
        crash::detect(state, context, &slot.upstream, progress);
        Fault { failure: Failure::Unknown, cause: error.to_string() }
    })?;
    Ok(BufferedResponse { head: exchange::response_head(response.head), body })
}

fn into_response(response: BufferedResponse) -> Response<Body> {
    Response::from_parts(response.head, Body::full(response.body))
}

/// Returns the last failed response if there is one, otherwise a rejection: 503 if no attempt was
/// executed, 504 after the deadline, else 502. `retry_after` goes with a 503.
fn give_up(
    state: &State,
    context: &Context,
    last_failure: Option<BufferedResponse>,
    attempts: attempt::Counts,
    retry_after: Duration,
    cause: &str,
) -> Response<Body> {
    if let Some(response) = last_failure {
        return into_response(response);
    }
    let rejection = if attempts.maybe_ran == 0 {
        Rejection::unavailable(retry_after)
    } else if context.remaining().is_zero() {
        Rejection::new(StatusCode::GATEWAY_TIMEOUT)
    } else {
        Rejection::new(StatusCode::BAD_GATEWAY)
    };
    report::record_rejection(
        state,
        context,
        rejection.status,
        cause,
        attempts.maybe_ran + attempts.not_run,
    );
    reply::reject(&rejection, context.meta.id.as_deref())
}
