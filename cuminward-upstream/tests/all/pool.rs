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

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// A complete response.
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

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
        let upstream = Upstream::start(vec![vec![Step::Send(OK.to_owned())]]).await;
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

/// Sends a request and reads the response. Returns its status; if that failed, for how long a stale connection had been
/// idle, if it was one.
async fn fetch(
    pool: &Pool<Full<Bytes>>,
    upstream: &Upstream,
) -> std::result::Result<u16, Option<Duration>> {
    let request = Request::new(Full::new(Bytes::new()));
    let sent = pool.send(&upstream.address, request, IDLE_TIMEOUT, HEADER_TIMEOUT).await;
    let response = sent.map_err(|it| it.stale_after)?;
    let status = response.status().as_u16();
    response.into_body().collect().await.map_err(|_| None)?;
    Ok(status)
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

/// Guards against requests that one after another are lost on connections which the upstream has dropped while they were
/// idle, after the first of them has shown it.
#[gtest]
#[tokio::test]
async fn connections_idle_for_as_long_as_a_stale_one_are_not_used() {
    const IDLE: Duration = Duration::from_millis(300);
    let respond = || vec![Step::Wait(IDLE / 6), Step::Send(OK.to_owned())];
    // Three connections carry a request each. The first request after that finds its connection stale.
    let responses = [respond(), respond(), respond(), vec![Step::Close]];
    let responses = responses.into_iter().chain((0..5).map(|_| respond())).collect();
    let upstream = Upstream::start(responses).await;
    let pool: Pool<Full<Bytes>> = Pool::new(Options::default());
    let [first, second, third] = [(); 3].map(|()| fetch(&pool, &upstream));
    let responses = futures::future::join3(first, second, third).await;
    expect_that!(responses, (ok(eq(200)), ok(eq(200)), ok(eq(200))));
    time::sleep(IDLE).await;
    let failure = fetch(&pool, &upstream).await;
    expect_that!(failure, err(some(ge(IDLE))), "the connection was stale");
    expect_that!(pool.discards().count(Cause::Stale), eq(1));
    struct Phase {
        name: &'static str,
        idle: Duration,
        opened: u64,
    }
    let steps = [
        Phase { name: "the others were idle for as long", idle: Duration::ZERO, opened: 4 },
        Phase { name: "idle for a shorter time", idle: IDLE / 3, opened: 4 },
        Phase { name: "idle for as long again", idle: IDLE * 3 / 2, opened: 5 },
        Phase { name: "after a while the limit is forgotten", idle: IDLE * 22, opened: 5 },
    ];
    for Phase { name, idle, opened } in steps {
        time::sleep(idle).await;
        expect_that!(
            pool.has_idle(&upstream.address, IDLE_TIMEOUT),
            eq(pool.opened() == opened),
            "{name}"
        );
        expect_that!(fetch(&pool, &upstream).await, ok(eq(200)), "{name}");
        expect_that!(pool.opened(), eq(opened), "{name}");
    }
}

/// Guards against taking a connection for stale, so that the request may be sent again, that wasn't kept or on which a
/// response had begun.
#[gtest]
#[tokio::test]
async fn only_a_kept_connection_without_a_byte_of_a_response_is_stale() {
    struct Case {
        name: &'static str,
        /// Responses to the requests, one after the other.
        responses: Vec<Vec<Step>>,
        is_stale: bool,
    }
    let send = |it: &str| Step::Send(it.to_owned());
    let cases = [
        Case { name: "new", responses: vec![vec![Step::Close]], is_stale: false },
        Case { name: "kept", responses: vec![vec![send(OK)], vec![Step::Close]], is_stale: true },
        Case {
            name: "kept, a part of a head",
            responses: vec![vec![send(OK)], vec![send("HTTP/1.1 2"), Step::Close]],
            is_stale: false,
        },
        Case {
            name: "kept, no head",
            responses: vec![vec![send(OK)], vec![send("no head\r\n"), Step::Close]],
            is_stale: false,
        },
    ];
    for Case { name, responses, is_stale } in cases {
        let requests = responses.len();
        let upstream = Upstream::start(responses).await;
        let pool: Pool<Full<Bytes>> = Pool::new(Options::default());
        for _ in 1..requests {
            expect_that!(fetch(&pool, &upstream).await, ok(eq(200)), "{name}");
        }
        let failure = fetch(&pool, &upstream).await;
        expect_that!(failure.map_err(|it| it.is_some()), err(eq(is_stale)), "{name}");
        expect_that!(pool.discards().count(Cause::Stale), eq(u64::from(is_stale)), "{name}");
    }
}
