//! Tests of the client of plain services.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use cuminward_core::outcome::Outcome;
use cuminward_upstream::{body, error::Error, plain, pool};
use googletest::prelude::*;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};

use crate::fake::{self, End, Upstream};

const TIMEOUT: Duration = Duration::from_millis(200);

fn client(idle_timeout_unsafe: Duration) -> plain::Client<Full<Bytes>> {
    let read_timeout = TIMEOUT;
    let options = pool::Options { read_timeout, idle_timeout_unsafe, ..pool::Options::default() };
    plain::Client::new(options)
}

fn request(method: Method) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri("/reservations?x=1")
        .header("connection", "x-private")
        .header("x-private", "1")
        .body(Full::new(Bytes::from_static(b"{}")))
        .expect("the parts are valid")
}

#[gtest]
#[tokio::test]
async fn responses_are_forwarded_or_classified() {
    struct Case {
        name: &'static str,
        reply: String,
        end: End,
        /// Status and body length of the response, or the outcome if the call fails.
        expected: std::result::Result<(u16, usize), Outcome>,
    }
    let not_run = "HTTP/1.1 503 X\r\ncuminward-not-run: true\r\ncontent-length: 0\r\n\r\n";
    let unframed = "HTTP/1.1 200 X\r\n\r\nabc";
    let truncated = "HTTP/1.1 200 X\r\ncontent-length: 10\r\n\r\nabc";
    let cases = [
        Case {
            name: "complete",
            reply: fake::json(201, "abc"),
            end: End::KeepOpen,
            expected: Ok((201, 3)),
        },
        Case {
            name: "404",
            reply: fake::json(404, ""),
            end: End::KeepOpen,
            expected: Ok((404, 0)),
        },
        Case {
            name: "503",
            reply: fake::json(503, "x"),
            end: End::KeepOpen,
            expected: Ok((503, 1)),
        },
        Case {
            name: "marked 503",
            reply: not_run.to_owned(),
            end: End::KeepOpen,
            expected: Err(Outcome::NotRun),
        },
        Case {
            name: "closed before a response",
            reply: String::new(),
            end: End::Close,
            expected: Err(Outcome::Unknown),
        },
        Case {
            name: "stall before the response head",
            reply: String::new(),
            end: End::Stall,
            expected: Err(Outcome::Unknown),
        },
        Case {
            name: "closed within the body",
            reply: truncated.to_owned(),
            end: End::Close,
            expected: Err(Outcome::Unknown),
        },
        Case {
            name: "stall within the body",
            reply: truncated.to_owned(),
            end: End::Stall,
            expected: Err(Outcome::Unknown),
        },
        Case {
            name: "neither length nor chunks, closed",
            reply: unframed.to_owned(),
            end: End::Close,
            expected: Ok((200, 3)),
        },
        Case {
            name: "neither length nor chunks, reset",
            reply: unframed.to_owned(),
            end: End::Reset,
            expected: Err(Outcome::Unknown),
        },
        Case {
            name: "neither length nor chunks, stall",
            reply: unframed.to_owned(),
            end: End::Stall,
            expected: Err(Outcome::Unknown),
        },
    ];
    for case in cases {
        let upstream = Upstream::start(&case.reply, case.end).await;
        let client = client(TIMEOUT);
        let outcome = match client.call(&upstream.address, request(Method::POST), TIMEOUT).await {
            Ok(response) => read(response).await.map_err(|it| it.outcome()),
            Err(failure) => Err(failure.error.outcome()),
        };
        expect_that!(outcome, eq(case.expected), "{}", case.name);
        expect_that!(
            upstream.request_lines(),
            elements_are![eq("POST /reservations?x=1 HTTP/1.1")]
        );
    }
}

async fn read(
    response: Response<cuminward_upstream::body::Body<Full<Bytes>>>,
) -> std::result::Result<(u16, usize), Error> {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await?;
    Ok((status, body.to_bytes().len()))
}

#[gtest]
#[tokio::test]
async fn unsent_request_is_returned() {
    let failure = client(TIMEOUT)
        .call("127.0.0.1:1", request(Method::POST), TIMEOUT)
        .await
        .err()
        .expect("nothing listens on port 1");
    expect_that!(failure.error.outcome(), eq(Outcome::NotRun));
    expect_that!(failure.request.is_some(), eq(true));
}

#[gtest]
#[tokio::test]
async fn unsafe_methods_use_a_fresh_connection() {
    let upstream = Upstream::start(&fake::json(200, "x"), End::KeepOpen).await;
    let client = client(Duration::ZERO);
    let cases = [(Method::GET, 1), (Method::GET, 1), (Method::POST, 2), (Method::GET, 2)];
    for (method, connections) in cases {
        let response = client.call(&upstream.address, request(method), TIMEOUT).await;
        let response = response.map_err(|it| it.error).expect("the upstream answers");
        expect_that!(read(response).await, ok(eq(&(200, 1))));
        expect_that!(upstream.connections.load(Ordering::SeqCst), eq(connections));
    }
}

#[gtest]
#[tokio::test]
async fn body_tells_how_its_end_is_marked() {
    struct Case {
        reply: String,
        end: End,
        framing: body::Framing,
    }
    let cases = [
        Case { reply: fake::json(200, "abc"), end: End::KeepOpen, framing: body::Framing::Length },
        Case {
            reply: fake::chunked(&["abc"], true),
            end: End::KeepOpen,
            framing: body::Framing::Chunked,
        },
        Case {
            reply: String::from("HTTP/1.1 200 X\r\n\r\nabc"),
            end: End::Close,
            framing: body::Framing::Connection,
        },
        Case {
            reply: String::from("HTTP/1.1 200 X\r\ntransfer-encoding: identity\r\n\r\nabc"),
            end: End::Close,
            framing: body::Framing::Connection,
        },
    ];
    for case in cases {
        let upstream = Upstream::start(&case.reply, case.end).await;
        let sent = client(TIMEOUT).call(&upstream.address, request(Method::POST), TIMEOUT).await;
        let response = sent.map_err(|it| it.error).expect("the upstream answers");
        expect_that!(response.body().framing(), eq(case.framing), "{}", case.reply);
        expect_that!(read(response).await, ok(anything()), "{}", case.reply);
    }
}

/// Guards against the copy of a refusal that is taken for the response to the next call.
#[gtest]
#[tokio::test]
async fn no_call_follows_a_refused_one_on_its_connection() {
    let not_run = "HTTP/1.1 503 X\r\ncuminward-not-run: true\r\ncontent-length: 0\r\n\r\n";
    let upstream = Upstream::start(not_run, End::KeepOpen).await;
    let client = client(TIMEOUT);
    for connections in 1..=3 {
        let response = client.call(&upstream.address, request(Method::GET), TIMEOUT).await;
        let outcome = response.err().map(|it| it.error.outcome());
        expect_that!(outcome, some(eq(Outcome::NotRun)));
        expect_that!(upstream.connections.load(Ordering::SeqCst), eq(connections));
    }
}
