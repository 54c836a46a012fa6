//! What a pool does between opening a connection and sending a request, and when it keeps a connection.

use std::{
    io,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cuminward_upstream::{
    connector::{Connected, Connector, Direct},
    discard::Cause,
    error::Error,
    pool::{Options, Pool, Ready},
};
use googletest::prelude::*;
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use tokio::{net::TcpStream, time};

use crate::raw::{Step, Upstream};

/// Time that a slow connection takes to open.
const CONNECT_TIME: Duration = Duration::from_millis(200);

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Header in which these tests hand on the time that is left, in milliseconds.
const TIME_LEFT: &str = "time-left";

/// Connects after [`CONNECT_TIME`].
#[derive(Debug, Clone, Copy)]
struct Slow;

impl Connector for Slow {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<Connected<TcpStream>> {
        time::sleep(CONNECT_TIME).await;
        Direct.connect(address).await
    }
}

/// Guards against upstreams that are handed more time than is left, or a request whose time has passed, as the
/// connection took long to open.
#[gtest]
#[tokio::test]
async fn a_request_is_completed_once_its_connection_is_open() {
    struct Case {
        name: &'static str,
        /// Time that the request has when it is handed to the pool.
        time: Duration,
        is_sent: bool,
    }
    let cases = [
        Case { name: "enough time", time: 5 * CONNECT_TIME, is_sent: true },
        Case { name: "expires while connecting", time: CONNECT_TIME / 2, is_sent: false },
    ];
    for Case { name, time, is_sent } in cases {
        let response = String::from("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let upstream = Upstream::start(vec![vec![Step::Send(response)]]).await;
        let pool: Pool<Full<Bytes>, Slow> = Pool::with_connector(Options::default(), Slow);
        let started = Instant::now();
        let prepared = std::sync::Mutex::new(None);
        let prepare = |request: &mut Request<Full<Bytes>>| {
            let left = time.saturating_sub(started.elapsed());
            request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
            *prepared.lock().expect("no holder panics") = Some(left);
            if left.is_zero() { Ready::Expired } else { Ready::Send }
        };
        let request = Request::new(Full::new(Bytes::new()));
        let sent =
            pool.send_with(&upstream.address, request, IDLE_TIMEOUT, HEADER_TIMEOUT, prepare).await;
        let left = prepared.lock().expect("no holder panics").take();
        expect_that!(left, some(le(time.saturating_sub(CONNECT_TIME))), "{name}");
        let requests = upstream.record.requests.load(Ordering::SeqCst);
        expect_that!(requests, eq(usize::from(is_sent)), "{name}");
        match sent {
            Ok(response) => {
                expect_that!(response.status().as_u16(), eq(200), "{name}");
            }
            Err(failure) => {
                expect_that!(failure.request.is_some(), eq(true), "{name}: it wasn't sent");
                expect_that!(failure.error, matches_pattern!(Error::Timeout { .. }), "{name}");
            }
        }
    }
}

/// What a caller does with the body of a response.
#[derive(Debug, Clone, Copy)]
enum Use {
    Read,
    Drop,
}

/// Guards against connections that carry a request after a response that is refused or wasn't accepted, and against
/// closing those whose response was accepted.
#[gtest]
#[tokio::test]
async fn a_connection_is_kept_only_after_an_accepted_response() {
    struct Case {
        name: &'static str,
        method: Method,
        response: &'static str,
        body: Use,
        /// Why the connection isn't kept; `None` if it is.
        discard: Option<Cause>,
    }
    let case = |name, response, body, discard| Case {
        name,
        method: Method::POST,
        response,
        body,
        discard,
    };
    let (refusal, unread) = (Some(Cause::Refusal), Some(Cause::Unread));
    let cases = [
        case("200", "200 X\r\ncontent-length: 1\r\n\r\na", Use::Read, None),
        case("200, dropped", "200 X\r\ncontent-length: 1\r\n\r\na", Use::Drop, unread),
        case("200, empty", "200 X\r\ncontent-length: 0\r\n\r\n", Use::Read, None),
        case("200, empty, dropped", "200 X\r\ncontent-length: 0\r\n\r\n", Use::Drop, unread),
        case(
            "200, no chunks",
            "200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            Use::Read,
            None,
        ),
        case("202, empty", "202 X\r\ncontent-length: 0\r\n\r\n", Use::Read, None),
        case("204", "204 X\r\n\r\n", Use::Read, None),
        case("204, dropped", "204 X\r\n\r\n", Use::Drop, unread),
        case("304", "304 X\r\n\r\n", Use::Read, None),
        case("404, empty", "404 X\r\ncontent-length: 0\r\n\r\n", Use::Read, None),
        case("500, empty", "500 X\r\ncontent-length: 0\r\n\r\n", Use::Read, None),
        case("408, empty", "408 X\r\ncontent-length: 0\r\n\r\n", Use::Read, refusal),
        case("408", "408 X\r\ncontent-length: 1\r\n\r\na", Use::Read, refusal),
        case("421, empty", "421 X\r\ncontent-length: 0\r\n\r\n", Use::Read, refusal),
        case("421", "421 X\r\ncontent-length: 1\r\n\r\na", Use::Read, refusal),
        case("429, empty", "429 X\r\ncontent-length: 0\r\n\r\n", Use::Read, refusal),
        case("429", "429 X\r\ncontent-length: 1\r\n\r\na", Use::Read, refusal),
        case("503, empty", "503 X\r\ncontent-length: 0\r\n\r\n", Use::Read, refusal),
        case("503, empty, dropped", "503 X\r\ncontent-length: 0\r\n\r\n", Use::Drop, refusal),
        case("503", "503 X\r\ncontent-length: 1\r\n\r\na", Use::Read, refusal),
        Case {
            name: "HEAD",
            method: Method::HEAD,
            response: "200 X\r\ncontent-length: 1\r\n\r\n",
            body: Use::Read,
            discard: None,
        },
    ];
    for Case { name, method, response, body, discard } in cases {
        let step = Step::Send(format!("HTTP/1.1 {response}"));
        let upstream = Upstream::start(vec![vec![step.clone()], vec![step]]).await;
        let pool: Pool<Full<Bytes>> = Pool::new(Options::default());
        for _ in 0..2 {
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.method_mut() = method.clone();
            let sent = pool.send(&upstream.address, request, IDLE_TIMEOUT, HEADER_TIMEOUT).await;
            let received = sent.expect("the upstream responds").into_body();
            if let Use::Read = body {
                expect_that!(received.collect().await, ok(anything()), "{name}");
            }
        }
        let connections = upstream.record.connections.load(Ordering::SeqCst);
        expect_that!(connections, eq(if discard.is_none() { 1 } else { 2 }), "{name}");
        for cause in Cause::ALL {
            let expected = if discard == Some(cause) { 2 } else { 0 };
            expect_that!(pool.discards().count(cause), eq(expected), "{name}, {cause}");
        }
    }
}
