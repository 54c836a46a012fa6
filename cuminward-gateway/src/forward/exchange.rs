//! One attempt at an upstream, up to the head of its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_adapter::header;
use cuminward_event::kind::Kind;
use cuminward_serving::{attempt::Failure, catalog::Retry, event, quarantine, request};
use cuminward_upstream::{body, connector::Connector, error::Error, plain, pool};
use http::{HeaderValue, Request, StatusCode, header as names, response::Parts};
use http_body_util::Full;
use tokio::time;

use super::{context::Context, slot::Slot};
use crate::state::{State, routing::Upstream};

/// Longest time that a pooled connection may have been idle to be reused for a retryable or for a
/// non-retryable request.
const MAX_IDLE: Duration = Duration::from_secs(9);
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_millis(900);

/// Delay after a broken connection before the host is probed for a crash.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(40);

/// Timeout of the crash probe, which opens a TCP connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A response of an upstream, with a body that hasn't been read yet.
pub(crate) struct Response {
    pub(crate) head: Parts,
    pub(crate) body: body::Body<Full<Bytes>>,
}

/// Why an attempt failed.
#[derive(Debug)]
pub(crate) struct Fault {
    pub(crate) failure: Failure,
    pub(crate) cause: String,
}

/// Returns the longest time that a connection may have been idle to be used for a request.
pub(crate) fn max_idle(retry: Retry) -> Duration {
    if retry.is_retryable() { MAX_IDLE } else { MAX_IDLE_NON_RETRYABLE }
}

/// Sends a request to the upstream of a slot and waits for the head of its response.
///
/// # Errors
///
/// Returns a [`Fault`] if the request can't be sent, if no response arrives within `timeout`, or if the
/// response doesn't pass [`check_response`].
pub(crate) async fn send(
    state: &Arc<State>,
    context: &Arc<Context>,
    slot: &Slot,
    last_event: Option<event::Id>,
    timeout: Duration,
) -> Result<Response, Fault> {
    let request = build_request(context, slot, last_event);
    let idle = max_idle(context.route.retry);
    let address = &slot.upstream.address;
    let started = state.now();
    let may_have_run_before = context.may_have_run();
    context.set_may_have_run(true);
    let notices = &slot.upstream.notices;
    let prepare = |request: &mut Request<_>| match set_time_left(context, request) {
        pool::Ready::Send if !notices.is_open(state.now()) => pool::Ready::Expired,
        it => it,
    };
    let sent = state.upstreams.send_with(address, request, idle, timeout, prepare).await;
    let response = match sent {
        Ok(it) => it,
        Err(failed) => {
            let is_unsent = failed.request.is_some();
            context.set_may_have_run(may_have_run_before || !is_unsent);
            if is_unsent && matches!(failed.error, Error::Timeout { .. }) {
                let cause = if !notices.is_open(state.now()) {
                    "the host took no more requests when the connection was open"
                } else {
                    "its time was up when the connection was open"
                };
                return Err(Fault { failure: Failure::NotRun, cause: cause.to_owned() });
            }
            slot.upstream.stats.record_failure(state.now());
            if !is_unsent {
                detect_crash(state, context, &slot.upstream, Progress { started, events: 0 });
            } else if slot.upstream.is_replica() {
                slot.upstream.stats.request_health_check();
            }
            let failure = if is_unsent { Failure::NotRun } else { Failure::Unknown };
            return Err(Fault { failure, cause: failed.error.to_string() });
        }
    };
    let (head, body) = response.into_parts();
    let metadata = header::read_response(head.status, &head.headers);
    record_notice(state, context, slot, started, &metadata);
    match check_response(context, &head, &metadata) {
        Ok(()) => Ok(Response { head, body }),
        Err(mut fault) => {
            let connection = if body.is_connection_kept() { "kept" } else { "new" };
            fault.cause = format!("{}, on a {connection} connection", fault.cause);
            if fault.failure == Failure::NotRun {
                context.set_may_have_run(may_have_run_before);
            }
            slot.upstream.stats.record_failure(state.now());
            if metadata.is_misdirected {
                slot.upstream.stats.record_misdirection(state.now());
            }
            Err(fault)
        }
    }
}

/// Records what a response to this request says of its host. Only a stamped one can end a limit by not
/// naming it.
fn record_notice(
    state: &State,
    context: &Context,
    slot: &Slot,
    sent_at: Duration,
    response: &request::Response,
) {
    let is_own = response.id.is_some() && response.id == context.meta.id;
    if is_own && !response.is_misdirected {
        let notices = &slot.upstream.notices;
        state.record_notice(notices, sent_at, response.notice, response.is_stamped);
    }
}

/// Sets the time that is left now that a connection is open.
fn set_time_left(context: &Context, request: &mut Request<Full<Bytes>>) -> pool::Ready {
    let time_left = context.remaining();
    header::set_time_left(request.headers_mut(), time_left);
    if time_left.is_zero() { pool::Ready::Expired } else { pool::Ready::Send }
}

/// Checks that a response belongs to this request, that the upstream executed the request, and that a
/// successful response carries the server stamp and no content encoding.
fn check_response(
    context: &Context,
    head: &Parts,
    metadata: &request::Response,
) -> Result<(), Fault> {
    let fault = |failure, cause: &str| Err(Fault { failure, cause: cause.to_owned() });
    // A response without the id may be one that was left over on the connection, so that nothing it
    // says can be taken for this request.
    if context.meta.id.is_some() && metadata.id.is_none() {
        return fault(Failure::Unknown, "the response carries no request id");
    }
    if metadata.id.is_some() && metadata.id != context.meta.id {
        return fault(Failure::Unknown, "the response carries the id of another request");
    }
    if metadata.is_misdirected {
        return fault(Failure::NotRun, "the request reached another host than the intended one");
    }
    if metadata.is_not_run {
        return fault(Failure::NotRun, "the upstream refused to run the request");
    }
    if head.status.is_success() && !metadata.is_stamped {
        return fault(Failure::Unknown, "the successful response carries no server stamp");
    }
    if head.status.is_success() && head.headers.contains_key(names::CONTENT_ENCODING) {
        return fault(Failure::Unknown, "the response has a content encoding");
    }
    Ok(())
}

/// Builds the request for an upstream: without hop-by-hop headers, with the remaining time, the team and
/// the priority.
fn build_request(
    context: &Context,
    slot: &Slot,
    last_event: Option<event::Id>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.parts.method.clone();
    *request.uri_mut() = context.parts.uri.clone();
    *request.headers_mut() = context.parts.headers.clone();
    let headers = request.headers_mut();
    plain::strip_hop_headers(headers);
    headers.remove(names::CONTENT_LENGTH);
    headers.remove(names::EXPECT);
    let overrides = request::Overrides {
        time_left: context.remaining(),
        host: slot.upstream.host.clone(),
        team: context.team.as_ref().map(|it| it.name.clone()),
        priority: context.meta.model.as_ref().map(|_| context.priority),
        last_event,
    };
    header::rewrite_for_upstream(headers, &overrides, context.hides_key);
    request
}

/// Turns the head of an upstream's response into the head for the caller: HTTP/1.1, without hop-by-hop
/// headers.
pub(crate) fn response_head(mut head: Parts) -> Parts {
    plain::strip_hop_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions = http::Extensions::default();
    head
}

/// Returns whether a response is a stream of server-sent events.
pub(crate) fn is_stream(head: &Parts) -> bool {
    let content = head.headers.get(names::CONTENT_TYPE).map(HeaderValue::as_bytes);
    head.status == StatusCode::OK && content.is_some_and(|it| it.starts_with(b"text/event-stream"))
}

/// How far an attempt had come when it was broken off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// When the request was sent, since the node's start.
    pub(crate) started: Duration,
    /// Number of events that had arrived.
    pub(crate) events: u64,
}

/// Probes the host of a broken connection in a task of its own, and records a crash if the host accepts no new
/// connection.
pub(crate) fn detect_crash(
    state: &Arc<State>,
    context: &Arc<Context>,
    upstream: &Arc<Upstream>,
    progress: Progress,
) {
    let (state, context) = (Arc::clone(state), Arc::clone(context));
    let (upstream, broken_at) = (Arc::clone(upstream), state.now());
    tokio::spawn(async move {
        time::sleep(CRASH_PROBE_DELAY).await;
        let connecting = state.upstreams.connector().connect(&upstream.address);
        let connected = time::timeout(CRASH_PROBE_TIMEOUT, connecting).await;
        if !matches!(connected, Ok(Ok(_))) {
            record_crash(&state, &context, &upstream, progress, broken_at);
        }
    });
}

/// Records a crash of an upstream at which a request was in flight. The request may have caused it unless the
/// response had come too far.
fn record_crash(
    state: &State,
    context: &Context,
    upstream: &Upstream,
    progress: Progress,
    broken_at: Duration,
) {
    let parts = &context.prompt_parts;
    let ids: Vec<String> = parts.iter().map(|it| format!("{it:x}")).collect();
    let kind = Kind::HostCrashed {
        address: upstream.address.clone(),
        fingerprint: context.fingerprint,
        parts: ids.join(","),
        events: progress.events,
        after_ms: broken_at.saturating_sub(progress.started).as_millis() as u64,
    };
    state.events.emit_for(context.id(), kind);
    if progress.events < quarantine::HARMLESS_EVENTS {
        state.record_crash(broken_at, &context.subjects, upstream.key);
    }
}
