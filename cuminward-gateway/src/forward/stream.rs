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
        Ok(Opening::Other(answer, slot)) => return pass_whole(job, *answer, slot).await,
        Err(stop) => return refuse(job, &stop),
    };
    let first = match source.next().await {
        Ok(Item::Bytes(bytes)) => bytes,
        Ok(Item::End) => return Response::from_parts(*head, Body::whole(Bytes::new())),
        Err(stop) => return refuse(job, &stop),
    };
    let (sender, receiver) = mpsc::channel(BUFFER);
    tokio::spawn(relay(Arc::clone(job), source, first, sender));
    Response::from_parts(*head, Body::stream(receiver))
}

/// Passes events on until the stream or the time ends, or the caller leaves.
async fn relay(
    job: Arc<Job>,
    mut source: Source,
    first: Bytes,
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
            Ok(Ok(Item::End)) => return,
            Ok(Err(Stop::Refused(cause) | Stop::Failed(cause))) => cause,
            Err(_) => String::from("its time is up"),
        };
        log::info!("request={} broken off: {cause}", job.id());
        // A caller that has left needs no mark of a broken answer.
        let _ = sender.send(Err(Broken)).await;
        return;
    }
}

async fn pass_whole(job: &Job, answer: Answer, slot: Slot) -> Response<Body> {
    let body = Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await;
    drop(slot);
    match body {
        Ok(body) => {
            let head = exchange::head(answer.head);
            log::info!("request={} status={} from the upstream", job.id(), head.status);
            Response::from_parts(head, Body::whole(body.to_bytes()))
        }
        Err(error) => refuse(job, &Stop::Failed(error.to_string())),
    }
}

fn refuse(job: &Job, stop: &Stop) -> Response<Body> {
    let (denial, cause) = match stop {
        Stop::Refused(cause) => (Denial::later(RETRY_AFTER), cause),
        Stop::Failed(cause) => (Denial::of(StatusCode::BAD_GATEWAY), cause),
    };
    log::info!("request={} status={} cause={cause}", job.id(), denial.status);
    reply::refuse(&denial, job.meta.id.as_deref())
}
