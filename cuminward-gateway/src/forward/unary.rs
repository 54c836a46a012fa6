//! Requests with a single answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::{
    attempt::{self, Failure, Next},
    catalog::Retry,
    id,
    queue::Progress,
};
use http::{Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Limited};
use tokio::time;

use super::{
    exchange::{self, Fault},
    job::Job,
    reply::{self, Body, Denial},
    report::{self, Course},
    slot::{self, Slot},
};
use crate::state::State;

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time for an attempt after which an idempotent request is sent elsewhere, in objectives of the route.
const ATTEMPT_OBJECTIVES: f64 = 1.2;

/// When callers may come again.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A whole answer of an upstream.
struct Whole {
    head: Parts,
    body: Bytes,
}

/// Answers a request.
pub(crate) async fn run(state: &Arc<State>, job: &Arc<Job>) -> Response<Body> {
    let mut attempts = attempt::Counts::default();
    let mut tried: Vec<id::Host> = Vec::new();
    let mut failed: Option<Whole> = None;
    let budget = state.retry_budget(&job.service);
    budget.deposit();
    loop {
        let Ok(slot) = slot::acquire(state, job, &tried, Progress::New).await else {
            return give_up(state, job, failed, attempts, "no upstream has room");
        };
        tried.push(slot.upstream.host.clone());
        let upstream = slot.upstream.name.clone();
        let is_last = attempts.maybe_ran + 1 >= job.route.max_attempts;
        let fault = match attempt(state, job, &slot, is_last).await {
            Ok(whole) if is_final(job, &whole, is_last) => {
                let (status, attempts) = (whole.head.status, tried.len() as u32);
                let course = Course { status, attempts, first_ms: job.age_ms() };
                report::finished(state, job, &course);
                return answer(whole);
            }
            Ok(whole) => {
                let cause = format!("the upstream answered {}", whole.head.status);
                failed = Some(whole);
                Fault { failure: Failure::Unknown, cause }
            }
            Err(fault) => fault,
        };
        drop(slot);
        attempts.record_failure(fault.failure);
        let next = attempt::decide(attempts, fault.failure, &job.bounds());
        report::failed(state, job, &upstream, &fault, None, next);
        if next != Next::Retry || !budget.withdraw() {
            return give_up(state, job, failed, attempts, &fault.cause);
        }
    }
}

/// An answer is final unless it is a failure of a server that may be tried elsewhere.
fn is_final(job: &Job, whole: &Whole, is_last: bool) -> bool {
    is_last || job.route.retry != Retry::Idempotent || !whole.head.status.is_server_error()
}

async fn attempt(
    state: &Arc<State>,
    job: &Job,
    slot: &Slot,
    is_last: bool,
) -> Result<Whole, Fault> {
    let left = job.left();
    let patience = match job.route.retry {
        Retry::Idempotent if !is_last => {
            left.min(job.route.latency_objective.mul_f64(ATTEMPT_OBJECTIVES))
        }
        _ => left,
    };
    let sent = time::timeout(patience, exchange_whole(state, job, slot, patience)).await;
    let result = sent.unwrap_or_else(|_| {
        let cause = String::from("no whole answer in time");
        Err(Fault { failure: Failure::Unknown, cause })
    });
    match &result {
        Ok(_) => slot.upstream.stats.record_success(),
        Err(_) => slot.upstream.stats.record_failure(state.now()),
    }
    result
}

async fn exchange_whole(
    state: &Arc<State>,
    job: &Job,
    slot: &Slot,
    patience: Duration,
) -> Result<Whole, Fault> {
    let answer = exchange::send(state, job, slot, None, patience).await?;
    let body = Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| {
        exchange::suspect_crash(state, job, &slot.upstream.address);
        Fault { failure: Failure::Unknown, cause: error.to_string() }
    })?;
    Ok(Whole { head: exchange::head(answer.head), body: body.to_bytes() })
}

fn answer(whole: Whole) -> Response<Body> {
    Response::from_parts(whole.head, Body::whole(whole.body))
}

fn give_up(
    state: &State,
    job: &Job,
    failed: Option<Whole>,
    attempts: attempt::Counts,
    cause: &str,
) -> Response<Body> {
    if let Some(whole) = failed {
        return answer(whole);
    }
    let denial = if attempts.maybe_ran == 0 {
        Denial::later(RETRY_AFTER)
    } else if job.left().is_zero() {
        Denial::of(StatusCode::GATEWAY_TIMEOUT)
    } else {
        Denial::of(StatusCode::BAD_GATEWAY)
    };
    report::rejected(state, job, denial.status, cause, attempts.maybe_ran + attempts.not_run);
    reply::refuse(&denial, job.meta.id.as_deref())
}
