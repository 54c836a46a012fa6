//! Tests of `router`: responses, error responses, and that refused requests never reach the backend.

use std::{sync::atomic::Ordering, time::Duration};

use axum::body::Body;
use cuminward_caller::{auth, body, router};
use futures::stream;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::BodyExt;
use tower::ServiceExt;

use crate::fake;

/// Largest body that the routes under test accept, in bytes.
const MAX_BODY_BYTES: usize = 1_000;

struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
    status: u16,
    code: &'static str,
}

const CHAT: &str = "/v1/chat/completions";

const GOOD: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;

const BASE: Case = Case {
    name: "",
    method: "POST",
    path: CHAT,
    key: fake::KEY,
    header: None,
    body: GOOD,
    status: 400,
    code: "invalid_request",
};

const CASES: [Case; 13] = [
    Case { name: "no JSON", body: "{", ..BASE },
    Case { name: "no messages", body: r#"{"model":"m","messages":[]}"#, ..BASE },
    Case { name: "no model", body: r#"{"messages":[{"role":"u","content":"x"}]}"#, ..BASE },
    Case {
        name: "too many tokens",
        body: r#"{"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":99999999}"#,
        ..BASE
    },
    Case {
        name: "two answers",
        body: r#"{"model":"m","messages":[{"role":"u","content":"x"}],"n":2}"#,
        ..BASE
    },
    Case { name: "unknown key", key: "other", status: 401, code: "unauthenticated", ..BASE },
    Case { name: "priority", header: Some(("cuminward-priority", "high")), ..BASE },
    Case { name: "deadline", header: Some(("cuminward-deadline-ms", "-1")), ..BASE },
    Case { name: "wrong method", method: "GET", body: "", status: 405, ..BASE },
    Case { name: "no route", path: "/v2/chat", status: 404, code: "not_found", ..BASE },
    Case {
        name: "empty idempotency key",
        path: "/services/orders/reservations",
        header: Some(("idempotency-key", "")),
        ..BASE
    },
    Case {
        name: "too large",
        body: include_str!("router.rs"),
        status: 413,
        code: "too_large",
        ..BASE
    },
    Case {
        name: "relay without the secret",
        key: "not the secret",
        header: Some(("cuminward-team", "committee")),
        status: 401,
        code: "unauthenticated",
        ..BASE
    },
];

#[gtest]
#[tokio::test]
async fn invalid_requests_never_reach_the_backend() -> Result<()> {
    for case in &CASES {
        let backend = fake::Backend::default();
        let response = send(&backend, request(case)).await;
        let headers = response.headers().clone();
        let status = response.status().as_u16();
        let text = text(response).await;
        verify_that!(status, eq(case.status)).with_failure_message(|| case.name.to_owned())?;
        verify_that!(text, contains_substring(format!("\"code\":\"{}\"", case.code)))
            .with_failure_message(|| case.name.to_owned())?;
        verify_that!(headers["cuminward-outcome"].as_bytes(), eq(b"not-run"))?;
        verify_that!(headers.contains_key("cuminward-request"), eq(true))?;
        verify_that!(backend.requests.load(Ordering::Relaxed), eq(0))
            .with_failure_message(|| case.name.to_owned())?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn slow_body_is_refused_with_a_timeout() -> Result<()> {
    let backend = fake::Backend::default();
    let endless = Body::from_stream(stream::pending::<std::result::Result<String, String>>());
    let request = Request::post(CHAT)
        .header("authorization", format!("Bearer {}", fake::KEY))
        .body(endless)
        .or_fail()?;
    let response = send(&backend, request).await;
    verify_that!(response.status().as_u16(), eq(408))?;
    verify_that!(backend.requests.load(Ordering::Relaxed), eq(0))
}

#[gtest]
#[tokio::test]
async fn generation_is_returned_whole_or_streamed() -> Result<()> {
    let backend = fake::Backend::default();
    let response = send(&backend, request(&BASE)).await;
    verify_that!(response.headers()["cuminward-outcome"].as_bytes(), eq(b"complete"))?;
    verify_that!(text(response).await, contains_substring("\"content\":\"red kite\""))?;

    let body = r#"{"model":"m","messages":[{"role":"u","content":"x"}],"stream":true}"#;
    let streamed = send(&backend, request(&Case { body, ..BASE })).await;
    let collected = streamed.into_body().collect().await.or_fail()?;
    let trailers = collected.trailers().cloned().or_fail()?;
    let text = String::from_utf8(collected.to_bytes().to_vec()).or_fail()?;
    verify_that!(trailers["cuminward-outcome"].as_bytes(), eq(b"complete"))?;
    verify_that!(text, contains_substring(r#""content":"red ""#))?;
    verify_that!(text, contains_substring(r#""cuminward_outcome":"complete""#))?;
    verify_that!(text, ends_with("data: [DONE]\n\n"))
}

#[gtest]
#[tokio::test]
async fn truncated_generation_is_never_complete() -> Result<()> {
    let backend = fake::Backend { truncated: true, ..fake::Backend::default() };
    let response = send(&backend, request(&BASE)).await;
    verify_that!(response.status().as_u16(), eq(502))?;
    verify_that!(response.headers()["cuminward-outcome"].as_bytes(), eq(b"unknown"))?;

    let body = r#"{"model":"m","messages":[{"role":"u","content":"x"}],"stream":true}"#;
    let streamed = send(&backend, request(&Case { body, ..BASE })).await;
    let text = text(streamed).await;
    verify_that!(text, not(contains_substring("[DONE]")))?;
    verify_that!(text, contains_substring(r#""code":"upstream_failed""#))
}

#[gtest]
#[tokio::test]
async fn hop_by_hop_and_internal_headers_are_not_forwarded() -> Result<()> {
    let backend = fake::Backend::default();
    let request = Request::put("/services/orders/a/b?c=d")
        .header("authorization", format!("Bearer {}", fake::KEY))
        .header("connection", "x-hop")
        .header("x-hop", "1")
        .body(Body::from("whole"))
        .or_fail()?;
    let response = send(&backend, request).await;
    verify_that!(response.status().as_u16(), eq(201))?;
    verify_that!(response.headers()["x-path"].as_bytes(), eq(b"/a/b?c=d"))?;
    verify_that!(response.headers()["x-leaked"].as_bytes(), eq(b"false"))?;
    verify_that!(text(response).await, eq("whole"))
}

fn request(case: &Case) -> Request<Body> {
    let mut request = Request::builder()
        .method(case.method)
        .uri(case.path)
        .header("authorization", format!("Bearer {}", case.key));
    if let Some((name, value)) = case.header {
        request = request.header(name, value);
    }
    request.body(Body::from(case.body)).expect("the cases are valid requests")
}

async fn send(backend: &fake::Backend, request: Request<Body>) -> Response<Body> {
    let options = router::Options {
        body: body::Options { max_bytes: MAX_BODY_BYTES, timeout: Duration::from_millis(50) },
        relay: auth::Relay { secret: "a shared secret".to_owned() },
    };
    let router = router::build(backend.clone(), options);
    router.oneshot(request).await.unwrap_or_else(|it| match it {})
}

async fn text(response: Response<Body>) -> String {
    let bytes = response.into_body().collect().await.expect("fakes never fail").to_bytes();
    String::from_utf8(bytes.to_vec()).expect("answers are text")
}
