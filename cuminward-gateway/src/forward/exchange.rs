//! One attempt at an upstream, up to the head of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_adapter::header;
use cuminward_event::kind::Kind;
use cuminward_serving::{attempt::Failure, event, request};
use cuminward_upstream::{body, plain};
use http::{HeaderValue, Request, StatusCode, header as names, response::Parts};
use http_body_util::Full;

use super::{job::Job, slot::Slot};
use crate::state::State;

/// Longest time that a kept connection may have been idle, by whether the request may be repeated.
const IDLE: Duration = Duration::from_secs(9);
const IDLE_ONCE: Duration = Duration::from_millis(900);

/// Pause before a host whose connection broke is asked whether it lives.
const CRASH_PAUSE: Duration = Duration::from_millis(40);

/// Longest time for a host to accept a connection.
const CRASH_TIMEOUT: Duration = Duration::from_millis(300);

/// An answer of an upstream.
pub(crate) struct Answer {
    pub(crate) head: Parts,
    pub(crate) body: body::Body<Full<Bytes>>,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(crate) struct Fault {
    pub(crate) failure: Failure,
    pub(crate) cause: String,
}

/// Sends a request to the upstream of a slot and waits for the head of its answer.
pub(crate) async fn send(
    state: &Arc<State>,
    job: &Job,
    slot: &Slot,
    last_event: Option<event::Id>,
    patience: Duration,
) -> Result<Answer, Fault> {
    let request = request(job, slot, last_event);
    let idle = if job.route.retry.is_retryable() { IDLE } else { IDLE_ONCE };
    let address = &slot.upstream.address;
    let before = job.may_have_run();
    job.set_may_have_run(true);
    let sent = state.upstreams.send(address, request, idle, patience).await;
    let response = match sent {
        Ok(it) => it,
        Err(failed) => {
            let is_unsent = failed.request.is_some();
            job.set_may_have_run(before || !is_unsent);
            slot.upstream.stats.record_failure(state.now());
            if !is_unsent {
                suspect_crash(state, job, address);
            } else if slot.upstream.is_replica() {
                slot.upstream.stats.request_health_check();
            }
            let failure = if is_unsent { Failure::NotRun } else { Failure::Unknown };
            return Err(Fault { failure, cause: failed.error.to_string() });
        }
    };
    let (head, body) = response.into_parts();
    let said = header::read_response(head.status, &head.headers);
    match check(job, &head, &said) {
        Ok(()) => Ok(Answer { head, body }),
        Err(fault) => {
            if fault.failure == Failure::NotRun {
                job.set_may_have_run(before);
            }
            slot.upstream.stats.record_failure(state.now());
            Err(fault)
        }
    }
}

/// Checks that an answer is one to this request and vouched for.
fn check(job: &Job, head: &Parts, said: &request::Response) -> Result<(), Fault> {
    let fault = |failure, cause: &str| Err(Fault { failure, cause: cause.to_owned() });
    if said.id.is_some() && said.id != job.meta.id {
        return fault(Failure::Unknown, "the answer belongs to another request");
    }
    if said.is_misdirected {
        return fault(Failure::NotRun, "the host isn't the one that was expected");
    }
    if said.is_not_run {
        return fault(Failure::NotRun, "the upstream refused the request");
    }
    if head.status.is_success() && !said.is_stamped {
        return fault(Failure::Unknown, "the upstream doesn't vouch for the answer");
    }
    if head.status.is_success() && head.headers.contains_key(names::CONTENT_ENCODING) {
        return fault(Failure::Unknown, "the answer is encoded");
    }
    Ok(())
}

fn request(job: &Job, slot: &Slot, last_event: Option<event::Id>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.parts.method.clone();
    *request.uri_mut() = job.parts.uri.clone();
    *request.headers_mut() = job.parts.headers.clone();
    let headers = request.headers_mut();
    plain::strip(headers);
    headers.remove(names::CONTENT_LENGTH);
    headers.remove(names::EXPECT);
    let passage = request::Overrides {
        time_left: job.left(),
        host: slot.upstream.host.clone(),
        team: job.team.as_ref().map(|it| it.name.clone()),
        priority: job.meta.model.as_ref().map(|_| job.priority),
        last_event,
    };
    header::rewrite_for_upstream(headers, &passage, job.hides_key);
    request
}

/// Makes the head of an upstream's answer into that for the caller.
pub(crate) fn head(mut head: Parts) -> Parts {
    plain::strip(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions = http::Extensions::default();
    head
}

/// Tells whether an answer is a stream of events.
pub(crate) fn is_stream(head: &Parts) -> bool {
    let content = head.headers.get(names::CONTENT_TYPE).map(HeaderValue::as_bytes);
    head.status == StatusCode::OK && content.is_some_and(|it| it.starts_with(b"text/event-stream"))
}

/// Counts a crash if the host of a broken connection takes no new one.
pub(crate) fn suspect_crash(state: &Arc<State>, job: &Job, address: &str) {
    let (state, address) = (Arc::clone(state), address.to_owned());
    let (fingerprint, id) = (job.fingerprint, job.id().to_owned());
    tokio::spawn(async move {
        tokio::time::sleep(CRASH_PAUSE).await;
        let connecting = tokio::net::TcpStream::connect(&address);
        let connected = tokio::time::timeout(CRASH_TIMEOUT, connecting).await;
        if !matches!(connected, Ok(Ok(_))) {
            state.events.emit_for(&id, Kind::HostCrashed { address, fingerprint });
            state.crashes().record_crash(state.now(), fingerprint);
        }
    });
}
