//! Requests that are answered with a stream of events.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::{sync::mpsc, time};

use super::{
    exchange::{self, Answer},
    job::Job,
    reply::{self, Body, Broken, Denial},
    report::{self, Course},
    slot::Slot,
    source::{Item, Opening, Source, Stop},
};
use crate::state::State;

/// Events that wait for the caller to read.
const BUFFER: usize = 16;

/// Largest answer that isn't a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// When callers may come again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Answers a request. The head of the answer waits for the first event, so that until then another
/// upstream can take the request, or it can be refused.
pub(crate) async fn run(state: &Arc<State>, job: &Arc<Job>) -> Response<Body> {
    let mut source = Source::new(Arc::clone(state), Arc::clone(job));
    let head = match source.open().await {
        Ok(Opening::Stream(head)) => head,
        Ok(Opening::Other(answer, slot)) => {
            let attempts = source.attempts();
            return pass_whole(state, job, *answer, slot, attempts).await;
        }
        Err(stop) => return refuse(state, job, &stop, source.attempts()),
    };
    let first = match source.next().await {
        Ok(Item::Bytes(bytes)) => bytes,
        Ok(Item::End) => return Response::from_parts(*head, Body::whole(Bytes::new())),
        Err(stop) => return refuse(state, job, &stop, source.attempts()),
    };
    let first_ms = job.age_ms();
    let (sender, receiver) = mpsc::channel(BUFFER);
    tokio::spawn(relay(Arc::clone(state), Arc::clone(job), source, first, first_ms, sender));
    Response::from_parts(*head, Body::stream(receiver))
}

/// Passes events on until the stream or the time ends, or the caller leaves.
async fn relay(
    state: Arc<State>,
    job: Arc<Job>,
    mut source: Source,
    first: Bytes,
    first_ms: u64,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
) {
    if sender.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let item = tokio::select! {
            item = time::timeout_at(job.limit, source.next()) => item,
            () = sender.closed() => return,
        };
        let cause = match item {
            Ok(Ok(Item::Bytes(bytes))) => {
                if sender.send(Ok(bytes)).await.is_err() {
                    return;
                }
                continue;
            }
            Ok(Ok(Item::End)) => {
                let (status, attempts) = (StatusCode::OK, source.attempts());
                report::finished(&state, &job, &Course { status, attempts, first_ms });
                return;
            }
            Ok(Err(Stop::Refused(cause) | Stop::Failed(cause))) => cause,
            Err(_) => String::from("its time is up"),
        };
        report::broken(&state, &job, &cause, source.last_event(), source.attempts());
        // A caller that has left needs no mark of a broken answer.
        let _ = sender.send(Err(Broken)).await;
        return;
    }
}

async fn pass_whole(
    state: &State,
    job: &Job,
    answer: Answer,
    slot: Slot,
    attempts: u32,
) -> Response<Body> {
    let body = Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await;
    drop(slot);
    match body {
        Ok(body) => {
            let head = exchange::head(answer.head);
            let course = Course { status: head.status, attempts, first_ms: job.age_ms() };
            report::finished(state, job, &course);
            Response::from_parts(head, Body::whole(body.to_bytes()))
        }
        Err(error) => refuse(state, job, &Stop::Failed(error.to_string()), attempts),
    }
}

fn refuse(state: &State, job: &Job, stop: &Stop, attempts: u32) -> Response<Body> {
    let (denial, cause) = match stop {
        Stop::Refused(cause) => (Denial::later(RETRY_AFTER), cause),
        Stop::Failed(cause) => (Denial::of(StatusCode::BAD_GATEWAY), cause),
    };
    report::rejected(state, job, denial.status, cause, attempts);
    reply::refuse(&denial, job.meta.id.as_deref())
}
