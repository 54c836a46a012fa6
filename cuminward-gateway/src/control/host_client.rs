//! Calls to hosts: fetches their reports and sends them orders.

use std::time::Duration;

use bytes::Bytes;
use cuminward_adapter::{header, host, order as wire};
use cuminward_serving::{
    id,
    placement::order::{Action, Outcome},
};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::state::State;

/// Largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Longest idle time of a connection that is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(9);

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Why no report of a host could be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The host didn't answer in time, or its connection broke.
    Silent,
    /// Nothing accepts connections at the host's address.
    Refused,
    /// The host wants no requests from this node for a time, so that none was sent.
    Paused,
    /// Another host answered at the address, or the report is malformed.
    Wrong,
}

/// Fetches the report of a host. The first try, on a kept connection if there is one, takes up to half
/// of `timeout`; if it gets no answer or a wrong one, which may have been left over on the connection, a
/// second one on a new connection takes up to `timeout`.
///
/// # Errors
///
/// [`Error`] tells whether the host didn't answer or the answer was wrong.
pub(crate) async fn fetch_report(
    state: &State,
    host: &str,
    address: &str,
    timeout: Duration,
) -> Result<host::Status, Error> {
    match fetch_report_once(state, host, address, timeout / 2, IDLE_TIMEOUT).await {
        Ok(it) => Ok(it),
        Err(_) => fetch_report_once(state, host, address, timeout, Duration::ZERO).await,
    }
}

async fn fetch_report_once(
    state: &State,
    host: &str,
    address: &str,
    timeout: Duration,
    idle: Duration,
) -> Result<host::Status, Error> {
    let request = build_request(Method::GET, host::REPORT_PATH, host, Bytes::new());
    let (status, body) = exchange(state, host, address, request, idle, timeout).await?;
    if status != StatusCode::OK {
        return Err(Error::Wrong);
    }
    host::decode_report(&body).map_err(|error| {
        log::warn!("can't decode the report of host {host} at {address}: {error}");
        Error::Wrong
    })
}

/// Sends an order to a host that has accepted `seq` orders so far. Returns the host's decision, or
/// [`Outcome::Unanswered`] if no complete response arrived.
pub(crate) async fn send_order(
    state: &State,
    host: &str,
    address: &str,
    action: &Action,
    token: id::Token,
    seq: id::Seq,
) -> Outcome {
    let body = wire::encode(action, token, seq);
    let request = build_request(Method::POST, wire::PATH, host, body.into());
    match exchange(state, host, address, request, IDLE_TIMEOUT, ORDER_TIMEOUT).await {
        Ok((status, body)) => wire::decode_outcome(status, &body),
        Err(_) => Outcome::Unanswered,
    }
}

fn build_request(method: Method, path: &str, host: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("the paths are constants and valid URIs");
    header::set_host_call_headers(request.headers_mut(), host);
    request
}

/// Sends a request and reads the response, and records what it says of the host. A response to a request of a caller,
/// which was left over on the connection, counts as none. Nothing is sent to a host that wants no requests.
///
/// # Errors
///
/// [`Error::Refused`], [`Error::Silent`] and [`Error::Paused`].
async fn exchange(
    state: &State,
    host: &str,
    address: &str,
    request: Request<Full<Bytes>>,
    idle: Duration,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let notices = state.cluster().listed_notices(host);
    let sent_at = state.now();
    if notices.as_ref().is_some_and(|it| it.is_paused(sent_at)) {
        return Err(Error::Paused);
    }
    let exchange = async {
        let sent = state.upstreams.send(address, request, idle, timeout).await;
        let response = sent.map_err(|it| {
            log::debug!("request to host {address} failed: {}", it.error);
            if it.error.is_connection_refused() { Error::Refused } else { Error::Silent }
        })?;
        let status = response.status();
        let metadata = header::read_response(status, response.headers());
        if metadata.id.is_some() {
            log::debug!("host {address} sent the response to a request of a caller");
            return Err(Error::Silent);
        }
        if let Some(it) = notices.as_ref().filter(|_| !metadata.is_misdirected) {
            state.record_notice(it, sent_at, metadata.notice, false);
        }
        let mut body = response.into_body();
        if !status.is_success() {
            // The responses to these calls bear no id.
            body.record_refusal();
        }
        let body = body.read(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| {
            log::debug!("can't read the response of host {address}: {error}");
            Error::Silent
        })?;
        Ok((status, body))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::Silent))
}
