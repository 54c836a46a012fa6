//! Asks hosts for their reports and gives them orders.

use std::time::Duration;

use bytes::Bytes;
use cuminward_adapter::{header, host, order as wire};
use cuminward_serving::{
    id,
    placement::order::{Action, Outcome},
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::state::State;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Longest time that a kept connection may have been idle.
const IDLE: Duration = Duration::from_secs(2);

/// Longest time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a host gave no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// It didn't answer.
    Silent,
    /// Another host answered at its address, or the answer can't be read.
    Wrong,
}

/// Asks a host for its report, and a second time on a new connection, for up to `timeout`, if the first
/// question got no answer in half of that.
pub(crate) async fn report(
    state: &State,
    host: &str,
    address: &str,
    timeout: Duration,
) -> Result<host::Status, Error> {
    match ask(state, host, address, timeout / 2, IDLE).await {
        Err(Error::Silent) => ask(state, host, address, timeout, Duration::ZERO).await,
        other => other,
    }
}

async fn ask(
    state: &State,
    host: &str,
    address: &str,
    timeout: Duration,
    idle: Duration,
) -> Result<host::Status, Error> {
    let request = request(Method::GET, host::REPORT_PATH, host, Bytes::new());
    let answer = exchange(state, address, request, idle, timeout).await;
    let (status, body) = answer.ok_or(Error::Silent)?;
    if status != StatusCode::OK {
        return Err(Error::Wrong);
    }
    host::decode_report(&body).map_err(|error| {
        log::warn!("the report of host {host} can't be read: {error}");
        Error::Wrong
    })
}

/// Gives an order to a host that has accepted `seq` orders so far.
pub(crate) async fn order(
    state: &State,
    host: &str,
    address: &str,
    action: &Action,
    token: id::Token,
    seq: id::Seq,
) -> Outcome {
    let body = wire::encode(action, token, seq);
    let request = request(Method::POST, wire::PATH, host, body.into());
    match exchange(state, address, request, IDLE, ORDER_TIMEOUT).await {
        Some((status, body)) => wire::decode_outcome(status, &body),
        None => Outcome::Unanswered,
    }
}

fn request(method: Method, path: &str, host: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("the paths are constants that parse");
    header::set_host_call_headers(request.headers_mut(), host);
    request
}

async fn exchange(
    state: &State,
    address: &str,
    request: Request<Full<Bytes>>,
    idle: Duration,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let exchange = async {
        let sent = state.upstreams.send(address, request, idle, timeout).await;
        let response = sent.map_err(|it| log::debug!("{address}: {}", it.error)).ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| log::debug!("{address}: {error}")).ok()?;
        Some((status, body.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(None)
}
