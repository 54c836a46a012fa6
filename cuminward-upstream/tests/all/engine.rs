//! Tests of the engine client and its token streams.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use cuminward_core::outcome::Outcome;
use cuminward_upstream::{engine, error::Error, generate, pool};
use futures::StreamExt;
use googletest::prelude::*;
use tokio::{net::TcpListener, time};

use crate::fake::{self, End, Upstream};

/// Maximum time between bytes in these tests.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time to wait for a cancellation that is sent in the background.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

fn client() -> engine::Client {
    let pool = pool::Options { read_timeout: READ_TIMEOUT, ..pool::Options::default() };
    engine::Client::new(engine::Options {
        pool,
        max_line_bytes: 1000,
        ..engine::Options::default()
    })
}

fn request() -> generate::Request {
    generate::Request {
        request: String::from("r1"),
        group: String::from("g"),
        generation: 1,
        version: String::from("v"),
        prompt: String::from("a kite"),
        max_tokens: 3,
        priority: 0,
        resume_at: 0,
        fingerprint: String::from("00"),
    }
}

/// Runs a request to its end. Returns the texts of its tokens, and the error if it failed.
async fn run(client: &engine::Client, address: &str) -> (Vec<String>, Option<Error>) {
    let mut texts = Vec::new();
    let mut chunks = match client.generate(address, &request(), READ_TIMEOUT).await {
        Ok(it) => it,
        Err(error) => return (texts, Some(error)),
    };
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(generate::Chunk::Token(it)) => texts.push(it.text),
            Ok(generate::Chunk::Finish(_)) => return (texts, None),
            Err(error) => return (texts, Some(error)),
        }
    }
    (texts, None)
}

#[derive(Debug, PartialEq)]
enum Kind {
    Complete,
    Connect,
    Refused,
    Answer,
    Disconnected,
    Truncated,
    Timeout,
    Malformed,
}

fn kind(error: Option<&Error>) -> Kind {
    match error {
        None => Kind::Complete,
        Some(Error::Connect { .. }) => Kind::Connect,
        Some(Error::Refused(_)) => Kind::Refused,
        Some(Error::Answer(_)) => Kind::Answer,
        Some(Error::Disconnected { .. }) => Kind::Disconnected,
        Some(Error::Truncated { .. }) => Kind::Truncated,
        Some(Error::Timeout { .. }) => Kind::Timeout,
        Some(Error::Malformed { .. }) => Kind::Malformed,
    }
}

struct Case {
    name: &'static str,
    reply: String,
    end: End,
    kind: Kind,
    outcome: Outcome,
    tokens: u64,
}

const FINISH: &str = r#"{"finish":"stop","prompt_tokens":2,"cached_tokens":0,"tokens":1}"#;

fn cases() -> Vec<Case> {
    let case = |name, reply, end, kind, tokens| {
        let not_run = matches!(kind, Kind::Connect | Kind::Refused);
        let outcome = match kind {
            Kind::Complete => Outcome::Complete,
            _ if not_run => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        Case { name, reply, end, kind, outcome, tokens }
    };
    let token = |n: u64| format!(r#"{{"token":{n},"text":"t{n}"}}"#);
    let error = |code: &str| format!(r#"{{"error":{{"code":"{code}","message":"m"}}}}"#);
    let long = format!(r#"{{"token":0,"text":"{}"}}"#, "x".repeat(2000));
    vec![
        case(
            "complete",
            fake::chunked(&[&token(0), FINISH], true),
            End::KeepOpen,
            Kind::Complete,
            1,
        ),
        case(
            "group not complete",
            fake::json(409, &error("not-whole")),
            End::KeepOpen,
            Kind::Refused,
            0,
        ),
        case("overloaded", fake::json(429, &error("overloaded")), End::KeepOpen, Kind::Refused, 0),
        case("starting", fake::json(503, &error("starting")), End::KeepOpen, Kind::Refused, 0),
        case("503 of a proxy", fake::json(503, "down"), End::KeepOpen, Kind::Answer, 0),
        case("500", fake::json(500, &error("bug")), End::KeepOpen, Kind::Answer, 0),
        case("closed before a response", String::new(), End::Close, Kind::Disconnected, 0),
        case("partial head", String::from("HTTP/1.1 200"), End::Close, Kind::Disconnected, 0),
        case("not HTTP", String::from("hello\r\n\r\n"), End::Close, Kind::Disconnected, 0),
        case("stall before the response head", String::new(), End::Stall, Kind::Timeout, 0),
        case(
            "stall after the response head",
            fake::chunked(&[], false),
            End::Stall,
            Kind::Timeout,
            0,
        ),
        case(
            "stall within a stream",
            fake::chunked(&[&token(0)], false),
            End::Stall,
            Kind::Timeout,
            1,
        ),
        case(
            "closed within a stream",
            fake::chunked(&[&token(0), &token(1)], false),
            End::Close,
            Kind::Truncated,
            2,
        ),
        case(
            "no finish chunk",
            fake::chunked(&[&token(0)], true),
            End::KeepOpen,
            Kind::Truncated,
            1,
        ),
        case(
            "missing token",
            fake::chunked(&[&token(0), &token(2)], true),
            End::KeepOpen,
            Kind::Malformed,
            1,
        ),
        case(
            "repeated token",
            fake::chunked(&[&token(0), &token(0)], true),
            End::KeepOpen,
            Kind::Malformed,
            1,
        ),
        case("not JSON", fake::chunked(&["{"], true), End::KeepOpen, Kind::Malformed, 0),
        case("empty object", fake::chunked(&["{}"], true), End::KeepOpen, Kind::Malformed, 0),
        case(
            "line over the limit",
            fake::chunked(&[&long], true),
            End::KeepOpen,
            Kind::Malformed,
            0,
        ),
        case(
            "error within a stream",
            fake::chunked(&[&token(0), &error("oom")], true),
            End::KeepOpen,
            Kind::Answer,
            1,
        ),
    ]
}

#[gtest]
#[tokio::test]
async fn errors_are_classified() {
    for case in cases() {
        let upstream = Upstream::start(&case.reply, case.end).await;
        let (texts, error) = run(&client(), &upstream.address).await;
        expect_that!(kind(error.as_ref()), eq(&case.kind), "{}: {error:?}", case.name);
        let outcome = error.as_ref().map_or(Outcome::Complete, Error::outcome);
        expect_that!(outcome, eq(case.outcome), "{}", case.name);
        expect_that!(texts.len() as u64, eq(case.tokens), "{}", case.name);
        let tokens = error.as_ref().map_or(case.tokens, Error::tokens);
        expect_that!(tokens, eq(case.tokens), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn refused_connection_means_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    drop(listener);
    let (_, error) = run(&client(), &address).await;
    expect_that!(kind(error.as_ref()), eq(&Kind::Connect));
}

#[gtest]
#[tokio::test]
async fn connections_are_reused_only_after_complete_responses() {
    let client = client();
    let complete = Upstream::start(
        &fake::chunked(&[r#"{"token":0,"text":"a"}"#, FINISH], true),
        End::KeepOpen,
    )
    .await;
    for _ in 0..10 {
        let (_, error) = run(&client, &complete.address).await;
        expect_that!(error, none());
        time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(complete.connections.load(Ordering::SeqCst), eq(1));

    let stalled = Upstream::start("", End::Stall).await;
    for _ in 0..3 {
        let (_, error) = run(&client, &stalled.address).await;
        expect_that!(kind(error.as_ref()), eq(&Kind::Timeout));
    }
    let requests = stalled.request_lines().iter().filter(|it| it.starts_with("POST")).count();
    expect_that!(requests, eq(3));
    expect_that!(client.streams().timeouts(), eq(3));
}

#[gtest]
#[tokio::test]
async fn dropped_stream_is_cancelled() {
    let client = client();
    let reply = fake::chunked(&[r#"{"token":0,"text":"a"}"#], false);
    let upstream = Upstream::start(&reply, End::Stall).await;
    let mut chunks = client
        .generate(&upstream.address, &request(), READ_TIMEOUT)
        .await
        .expect("the response head arrives");
    let first = chunks.next().await;
    expect_that!(first, some(ok(anything())));
    drop(chunks);
    let start = Instant::now();
    let cancel = String::from("DELETE /v1/generate/r1 HTTP/1.1");
    while !upstream.request_lines().contains(&cancel) && start.elapsed() < CANCEL_TIMEOUT {
        time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(upstream.request_lines(), contains(eq(&cancel)));
}

#[gtest]
#[tokio::test]
async fn order_errors_tell_refusals_from_lost_responses() {
    struct Case {
        reply: String,
        end: End,
        kind: Kind,
        fence: Option<u64>,
    }
    let report = r#"{"host":"h","incarnation":1,"fence":7,"membership":null,"load":null}"#;
    let stale = r#"{"error":{"code":"stale-fence","message":"m"},"fence":9}"#;
    let cases = [
        Case {
            reply: fake::json(200, report),
            end: End::KeepOpen,
            kind: Kind::Complete,
            fence: None,
        },
        Case {
            reply: fake::json(409, stale),
            end: End::KeepOpen,
            kind: Kind::Refused,
            fence: Some(9),
        },
        Case { reply: String::new(), end: End::Close, kind: Kind::Disconnected, fence: None },
        Case {
            reply: fake::json(200, "{}"),
            end: End::KeepOpen,
            kind: Kind::Malformed,
            fence: None,
        },
    ];
    for case in cases {
        let upstream = Upstream::start(&case.reply, case.end).await;
        let order = serde_json::json!({"fence": 7, "order": "o", "action": "fence"});
        let answer = client().send_order(&upstream.address, &order).await;
        expect_that!(kind(answer.as_ref().err()), eq(&case.kind));
        let fence = answer.err().and_then(|it| it.answer().and_then(|it| it.fence));
        expect_that!(fence, eq(case.fence));
    }
}

/// Guards against the copy of a refused order that is taken for the outcome of the next one, as responses bear no id.
#[gtest]
#[tokio::test]
async fn no_order_follows_a_refused_one_on_its_connection() {
    struct Case {
        name: &'static str,
        reply: String,
        connections: usize,
    }
    let report = r#"{"host":"h","incarnation":1,"fence":7,"membership":null,"load":null}"#;
    let stale = r#"{"error":{"code":"stale-fence","message":"m"},"fence":9}"#;
    let case = |name, reply, connections| Case { name, reply, connections };
    let cases = [
        case("accepted", fake::json(200, report), 1),
        case("stale fence", fake::json(409, stale), 2),
        case("409, empty", fake::json(409, ""), 2),
        case("500", fake::json(500, "{}"), 2),
        case("503, empty", fake::json(503, ""), 2),
    ];
    for Case { name, reply, connections } in cases {
        let upstream = Upstream::start(&reply, End::KeepOpen).await;
        let client = client();
        for _ in 0..2 {
            let _ = client.send_order(&upstream.address, &serde_json::json!({})).await;
        }
        expect_that!(upstream.request_lines().len(), eq(2), "{name}");
        expect_that!(upstream.connections.load(Ordering::SeqCst), eq(connections), "{name}");
    }
}
