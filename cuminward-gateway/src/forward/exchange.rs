//! One attempt at an upstream, up to the head of its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_adapter::header;
use cuminward_serving::{attempt::Failure, catalog::Retry, event, request};
use cuminward_upstream::{body, error::Error, plain, pool};
use http::{HeaderValue, Request, StatusCode, header as names, response::Parts};
use http_body_util::Full;

use super::{context::Context, crash, report, resend, slot::Slot};
use crate::state::State;

/// Longest time that a pooled connection may have been idle to be reused for a retryable or for a
/// non-retryable request.
const MAX_IDLE: Duration = Duration::from_secs(9);
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_millis(900);

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

/// Sends a request to the upstream of a slot and waits for the head of its response. A request that may be repeated is
/// sent once more, on a new connection, if a stale one has lost it.
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
    let started = state.now();
    let call = Call { state, context, slot, last_event, until: started + timeout };
    let stale = match call.send(max_idle(context.route.retry), || {}).await {
        Ok(it) => return Ok(it),
        Err(Failed::Other(fault)) => return Err(fault),
        Err(Failed::Stale(it)) => it,
    };
    let progress = crash::Progress { started, events: 0 };
    let probe = crash::detect(state, context, &slot.upstream, progress);
    let is_resent = resend::is_allowed(state, context, slot).await;
    report::record_stale_connection(state, context, slot, stale.idle, is_resent);
    if !is_resent {
        slot.upstream.stats.record_failure(state.now());
        return Err(stale.fault);
    }
    // A host that accepts a connection hasn't crashed.
    let sent = call.send(Duration::ZERO, || probe.abort()).await;
    // Whatever becomes of the second sending, the first one may have run.
    sent.map_err(|it| Fault { failure: Failure::Unknown, ..it.into_fault() })
}

/// A request on its way to the upstream of a slot.
struct Call<'a> {
    state: &'a Arc<State>,
    context: &'a Arc<Context>,
    slot: &'a Slot,
    last_event: Option<event::Id>,
    /// Until when the head of the response must arrive, since the node's start.
    until: Duration,
}

/// Why a call failed.
enum Failed {
    /// The connection was stale.
    Stale(Stale),
    Other(Fault),
}

/// A connection that the upstream closed without a byte of a response.
struct Stale {
    fault: Fault,
    /// For how long the connection had been idle.
    idle: Duration,
}

impl Failed {
    fn into_fault(self) -> Fault {
        match self {
            Failed::Stale(it) => it.fault,
            Failed::Other(it) => it,
        }
    }
}

impl Call<'_> {
    /// Sends the request on a connection that was idle for at most `idle`, or on a new one, and calls `on_connected` once
    /// the connection is open.
    async fn send(
        &self,
        idle: Duration,
        on_connected: impl Fn() + Send + Sync,
    ) -> Result<Response, Failed> {
        let Call { state, context, slot, last_event, until } = *self;
        let request = build_request(context, slot, last_event);
        let address = &slot.upstream.address;
        let started = state.now();
        let may_have_run_before = context.may_have_run();
        context.set_may_have_run(true);
        let notices = &slot.upstream.notices;
        let prepare = |request: &mut Request<_>| {
            on_connected();
            match set_time_left(context, request) {
                pool::Ready::Send if !notices.is_open(state.now()) => pool::Ready::Expired,
                it => it,
            }
        };
        let timeout = until.saturating_sub(started);
        let sent = state.upstreams.send_with(address, request, idle, timeout, prepare).await;
        let response = sent.map_err(|failed| {
            let is_unsent = failed.request.is_some();
            context.set_may_have_run(may_have_run_before || !is_unsent);
            self.judge_failure(failed, started)
        })?;
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
                Err(Failed::Other(fault))
            }
        }
    }

    /// Returns why a call failed to which no response arrived, and records what that says of the upstream. A stale
    /// connection alone says nothing of it.
    fn judge_failure(&self, failed: pool::Failure<Full<Bytes>>, started: Duration) -> Failed {
        let Call { state, context, slot, .. } = *self;
        let upstream = &slot.upstream;
        let pool::Failure { error, request, stale_after } = failed;
        let is_unsent = request.is_some();
        if is_unsent && matches!(error, Error::Timeout { .. }) {
            let cause = if !upstream.notices.is_open(state.now()) {
                "the host took no more requests when the connection was open"
            } else {
                "its time was up when the connection was open"
            };
            return Failed::Other(Fault { failure: Failure::NotRun, cause: cause.to_owned() });
        }
        let failure = if is_unsent { Failure::NotRun } else { Failure::Unknown };
        let fault = Fault { failure, cause: error.to_string() };
        if let Some(idle) = stale_after {
            return Failed::Stale(Stale { fault, idle });
        }
        upstream.stats.record_failure(state.now());
        if !is_unsent {
            crash::detect(state, context, upstream, crash::Progress { started, events: 0 });
        } else if upstream.is_replica() {
            upstream.stats.request_health_check();
        }
        Failed::Other(fault)
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
