//! Requests with a single response: retries, forwarding, rejections and deadlines.

use std::time::Duration;

use cuminward_adapter_fake::{
    entry::Entry,
    header,
    host::{self, Behaviour},
};
use googletest::prelude::*;
use tokio::time;

use crate::site::{self, Site};

struct Case {
    name: &'static str,
    path: &'static str,
    /// Behaviour of the first and the second host that receives the request.
    script: [Option<Behaviour>; 2],
    status: u16,
    /// Number of hosts that receive the request.
    attempts: usize,
}

/// Returns a case in which the first host behaves as given and one attempt is expected.
fn case(name: &'static str, path: &'static str, first: Behaviour, status: u16) -> Case {
    Case { name, path, script: [Some(first), None], status, attempts: 1 }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_retried_only_as_their_route_allows() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("calls").await;
    let again = |it: Case| Case { attempts: 2, ..it };
    let cases = [
        case("answered", "/book/1", Behaviour::Respond(String::from("ok")), 200),
        case("lost, not retryable", "/book/2", Behaviour::CloseConnection, 502),
        again(case("lost, retryable", "/desk/3", Behaviour::CloseConnection, 200)),
        again(case("refused, not retryable", "/book/4", Behaviour::Refuse, 200)),
        again(case("misdirected", "/book/5", Behaviour::Misdirect, 200)),
        case("failed, not retryable", "/book/6", Behaviour::Fail(500), 500),
        again(case("failed, retryable", "/desk/7", Behaviour::Fail(500), 200)),
        case("wrong request id", "/book/8", Behaviour::RespondWrongId, 502),
        again(case("wrong request id, retryable", "/desk/9", Behaviour::RespondWrongId, 200)),
        case("not stamped", "/book/10", Behaviour::RespondUnstamped, 502),
        case("cut off", "/book/11", Behaviour::Truncate, 502),
        again(case("cut off, retryable", "/desk/12", Behaviour::Truncate, 200)),
        Case {
            name: "refused by all",
            path: "/book/13",
            script: [Some(Behaviour::Refuse), Some(Behaviour::Refuse)],
            status: 503,
            attempts: 2,
        },
    ];
    for case in cases {
        let before = site.plain_requests();
        // The hosts share the script, as either may be chosen first.
        let script = case.script.clone();
        host::share_script(&site.plain, script.into_iter().flatten());
        let answer = node.send("POST", case.path, &[], "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(case.status), "{}", case.name);
        expect_that!(site.plain_requests() - before, eq(case.attempts), "{}", case.name);
        if case.status == 503 {
            expect_that!(answer.headers.contains_key("retry-after"), eq(true), "{}", case.name);
        }
        // A host that failed is avoided until its backoff ends; the next case needs both hosts.
        tokio::time::sleep(Duration::from_millis(1100)).await;
    }
    Ok(())
}

/// Guards against a third run of an idempotent request that two hosts have lost. Their connections are new, as a request
/// that is lost on a kept one is sent again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_lost_at_two_hosts_fails() -> Result<()> {
    /// More than the requests with which the fixture finds the node ready.
    const RESPONSES: usize = 200;
    let site = Site::start().await;
    for host in &site.plain {
        for _ in 0..RESPONSES {
            let response = Behaviour::Respond(String::from("ends with its connection"));
            host.enqueue(Behaviour::Unframed(Box::new(response)));
        }
    }
    let node = site.node("lost-twice").await;
    host::share_script(&site.plain, [Behaviour::CloseConnection, Behaviour::CloseConnection]);
    let answer = node.send("POST", "/desk/1", &[], "body").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(502));
    for host in &site.plain {
        expect_that!(host.received().len(), eq(1), "{}", host.id);
    }
    Ok(())
}

/// Guards against idempotent requests that fail since they had left a slow sound host for one that then failed, and
/// against a run at a third host.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_returns_to_a_slow_host_if_the_next_one_fails() -> Result<()> {
    /// Longer than the usual time of an attempt.
    const DELAY: Duration = Duration::from_secs(1);
    struct Case {
        name: &'static str,
        /// Behaviours for the requests after the first one, which is answered late.
        script: Vec<Behaviour>,
        /// Number of hosts that receive the request.
        hosts: usize,
    }
    let cases = [
        Case { name: "failed elsewhere", script: vec![Behaviour::Fail(500)], hosts: 2 },
        Case { name: "cut off elsewhere", script: vec![Behaviour::Truncate], hosts: 2 },
        Case { name: "refused elsewhere", script: vec![const { Behaviour::Refuse }; 2], hosts: 3 },
    ];
    for case in cases {
        let site = Site::with_hosts(3, 2).await;
        site.configure(1, None);
        let node = site.node("return-call").await;
        let before = site.plain.iter().map(|it| it.received().len()).collect::<Vec<_>>();
        let late = Behaviour::RespondAfter(DELAY, String::from("late"));
        host::share_script(&site.plain, [late].into_iter().chain(case.script));
        let answer = node.send("POST", "/desk/1", &[], "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", case.name);
        let runs = site.plain.iter().zip(before).map(|(it, before)| it.received().len() - before);
        expect_that!(runs.filter(|it| *it > 0).count(), eq(case.hosts), "{}", case.name);
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn method_path_query_body_and_headers_are_forwarded_unchanged() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("unchanged").await;
    let headers =
        [("x-own", "1"), (header::TEAM, "another"), ("connection", "x-hop"), ("x-hop", "1")];
    let answer = node.send("PATCH", "/book/a%20b?x=1&y=%2F", &headers, "body").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(answer.headers.contains_key(header::STAMP), eq(true));
    let received = site.plain.iter().flat_map(|it| it.received()).next().or_fail()?;
    expect_that!(received.request_line, eq("PATCH /book/a%20b?x=1&y=%2F"));
    expect_that!(received.body.as_ref(), eq(b"body"));
    let value = |name: &str| received.headers.get(name).and_then(|it| it.to_str().ok());
    expect_that!(value("x-own"), some(eq("1")));
    expect_that!(value("host"), some(eq("a.example")));
    expect_that!(value(header::TEAM), some(eq("team")));
    expect_that!(value(header::REQUEST_ID), some(eq("9c41")));
    expect_that!(value("authorization"), none());
    expect_that!(value("x-hop"), none());
    let left: u64 = value(header::DEADLINE_MS).and_then(|it| it.parse().ok()).or_fail()?;
    expect_that!(left, all!(gt(1000), lt(2000)));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_route_or_valid_key_are_rejected_and_not_forwarded() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("denied").await;
    let cases = [
        ("no route", "/other/1", vec![], 404),
        ("no such host", "/book/1", vec![("host", "b.example")], 404),
        ("no key", "/book/1", vec![("authorization", "")], 401),
        ("unknown key", "/book/1", vec![("authorization", "Bearer other")], 401),
    ];
    for (name, path, headers, status) in cases {
        let answer = node.send("POST", path, &headers, "").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(status), "{name}");
    }
    expect_that!(site.plain_requests(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_the_callers_deadline() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("deadline").await;
    for host in &site.plain {
        let slow = Behaviour::RespondAfter(Duration::from_secs(5), String::from("late"));
        host.enqueue(slow);
    }
    let started = std::time::Instant::now();
    let headers = [(header::DEADLINE_MS, "400")];
    let answer = node.send("POST", "/book/1", &headers, "").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(504));
    expect_that!(started.elapsed(), lt(Duration::from_millis(600)));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_not_the_intended_one_gets_no_further_requests() -> Result<()> {
    let site = Site::start().await;
    let [first, second] = &site.plain[..] else { return fail!("the site has two plain hosts") };
    let node = site.node("misdirected").await;
    let drained = Entry { is_draining: true, ..site::plain_entry(second) };
    site.store.put_entry(&second.id, &drained);
    time::sleep(Duration::from_millis(1500)).await;
    host::share_script(&site.plain, [Behaviour::Misdirect]);
    for _ in 0..3 {
        let answer = node.get("/desk/1", &[]).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(503));
    }
    expect_that!(first.received().len(), eq(1), "only the first request was sent");
    expect_that!(second.received(), is_empty());
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_the_id_of_the_request_proves_nothing() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("leftover").await;
    host::share_script(&site.plain, [Behaviour::RespondLeftover]);
    let answer = node.send("POST", "/book/1", &[], "").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(502));
    expect_that!(site.plain_requests(), eq(1), "the request may have run");
    Ok(())
}
