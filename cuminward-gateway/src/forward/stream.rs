//! Requests with a streamed response.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::time;

use super::{
    backlog::{self, Stopped},
    context::Context,
    crash, exchange,
    reply::{self, Body, Part, Rejection},
    report::{self, Completion},
    resumable::{self, FirstResponse, Item},
    slot::Slot,
};
use crate::state::State;

/// Largest response that isn't a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Handles a request with a streamed response. The head is held back until the first event, so that
/// until then the request can fail over to another upstream or be rejected.
pub(crate) async fn run(state: &Arc<State>, context: &Arc<Context>) -> Response<Body> {
    let mut stream = resumable::Stream::new(Arc::clone(state), Arc::clone(context));
    let head = match stream.open().await {
        Ok(FirstResponse::Stream(head)) => head,
        Ok(FirstResponse::Other(response, slot)) => {
            let attempts = stream.attempts();
            return forward_buffered(state, context, *response, slot, attempts).await;
        }
        Err(error) => return reject(state, context, &error, stream.attempts()),
    };
    let first = match stream.next().await {
        Ok(Item::Bytes(bytes)) => bytes,
        Ok(Item::End(padding)) => return Response::from_parts(*head, Body::full(padding)),
        Err(error) => return reject(state, context, &error, stream.attempts()),
    };
    let first_ms = context.age_ms();
    let (sender, receiver) = backlog::create(Arc::clone(&state.callers));
    tokio::spawn(forward_events(
        Arc::clone(state),
        Arc::clone(context),
        stream,
        first,
        first_ms,
        sender,
    ));
    Response::from_parts(*head, Body::stream(receiver))
}

/// Forwards events until the stream ends, the deadline passes or the caller disconnects. Only a complete
/// stream is marked as ended.
async fn forward_events(
    state: Arc<State>,
    context: Arc<Context>,
    mut stream: resumable::Stream,
    first: Bytes,
    first_ms: u64,
    sender: backlog::Sender,
) {
    let send = async |part| sender.send(part, state.now(), context.deadline).await;
    let mut part = first;
    let cause = loop {
        match send(Part::Bytes(part)).await {
            Ok(()) => {}
            Err(Stopped::Closed) => return,
            Err(Stopped::Unread) => break String::from("the caller doesn't read the response"),
        }
        let item = tokio::select! {
            item = time::timeout_at(context.deadline, stream.next()) => item,
            () = sender.closed() => return,
        };
        match item {
            Ok(Ok(Item::Bytes(bytes))) => part = bytes,
            Ok(Ok(Item::End(padding))) => {
                let (status, attempts) = (StatusCode::OK, stream.attempts());
                // The upstream is done, so its slot is freed before the caller has read everything.
                drop(stream);
                // Sending fails only if the caller has disconnected or doesn't read.
                if !padding.is_empty() {
                    let _ = send(Part::Bytes(padding)).await;
                }
                let _ = send(Part::End).await;
                let completion = Completion { status, attempts, first_ms };
                report::record_completion(&state, &context, &completion);
                return;
            }
            Ok(Err(resumable::Error::Refused(cause, _) | resumable::Error::Failed(cause))) => {
                break cause;
            }
            Err(_) => break String::from("deadline exceeded"),
        }
    };
    let (last_event, attempts) = (stream.last_event(), stream.attempts());
    report::record_broken_stream(&state, &context, &cause, last_event, attempts);
}

/// Forwards a response that isn't a stream, after reading it completely. An incomplete response may indicate a crash
/// of the host.
async fn forward_buffered(
    state: &Arc<State>,
    context: &Arc<Context>,
    response: exchange::Response,
    slot: Slot,
    attempts: u32,
) -> Response<Body> {
    let progress = crash::Progress { started: state.now(), events: 0 };
    let body = response.body.read(MAX_RESPONSE_BYTES).await;
    if body.is_err() {
        slot.upstream.stats.record_failure(state.now());
        crash::detect(state, context, &slot.upstream, progress);
    }
    drop(slot);
    match body {
        Ok(body) => {
            let head = exchange::response_head(response.head);
            let completion =
                Completion { status: head.status, attempts, first_ms: context.age_ms() };
            report::record_completion(state, context, &completion);
            Response::from_parts(head, Body::full(body))
        }
        Err(error) => {
            reject(state, context, &resumable::Error::Failed(error.to_string()), attempts)
        }
    }
}

/// Rejects a request whose stream yielded no event.
fn reject(
    state: &State,
    context: &Context,
    error: &resumable::Error,
    attempts: u32,
) -> Response<Body> {
    let (rejection, cause) = match error {
        resumable::Error::Refused(cause, after) => (Rejection::unavailable(*after), cause),
        resumable::Error::Failed(cause) => (Rejection::new(StatusCode::BAD_GATEWAY), cause),
    };
    report::record_rejection(state, context, rejection.status, cause, attempts);
    reply::reject(&rejection, context.meta.id.as_deref())
}
