//! Hosts that send the copy of a refusal when the next request is under way on the same connection.

use std::{sync::atomic::Ordering, time::Duration};

use cuminward_adapter_fake::{caller::Response, entry::Entry, header};
use googletest::prelude::*;
use tokio::time;

use crate::{
    raw::{self, Host, Step},
    site::{self, Node, Site},
};

/// Prefixes of the routes whose requests may run only once, or on two hosts.
const ONCE: &str = "/book/1";
const IDEMPOTENT: &str = "/desk/1";

/// Number of hosts on which a request of the idempotent route may run.
const MAX_ATTEMPTS: usize = 2;

/// Number of hosts of a replica.
const SIZE: usize = 2;

/// Time for which a host gets no request after it has responded with 421, and a little more.
const MISDIRECTION_PAUSE: Duration = Duration::from_millis(1700);

/// Pause between two looks at a host while a test waits for it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A site whose plain service has raw hosts, and a node.
struct PlainSite {
    _site: Site,
    node: Node,
    hosts: Vec<Host>,
}

/// Life cycle
impl PlainSite {
    /// Starts a site with raw hosts, and a node that knows them.
    async fn start(name: &str, hosts: usize) -> PlainSite {
        let site = Site::start().await;
        let raw = raw::start_hosts(hosts).await;
        for (index, host) in raw.iter().enumerate() {
            let entry = Entry { address: host.address, ..site::plain_entry(&site.plain[0]) };
            site.store.put_entry(&format!("p-{index}"), &entry);
        }
        for unused in site.plain.iter().skip(hosts) {
            let entry = Entry { is_draining: true, ..site::plain_entry(unused) };
            site.store.put_entry(&unused.id, &entry);
        }
        let node = site.node(name).await;
        PlainSite { _site: site, node, hosts: raw }
    }
}

/// Access
impl PlainSite {
    /// Returns how often the request with an id ran.
    fn runs(&self, id: &str) -> usize {
        self.hosts.iter().map(|it| it.runs(id)).sum()
    }

    /// Returns the number of requests that came on a connection on which a request was refused.
    fn followers(&self) -> usize {
        self.hosts.iter().map(|it| it.record.followers.load(Ordering::SeqCst)).sum()
    }
}

/// Calls
impl PlainSite {
    async fn send(&self, path: &str, id: &str) -> std::io::Result<Response> {
        self.node.send("POST", path, &[(header::REQUEST_ID, id)], "body").await
    }
}

/// Returns a response that bears the id of its request.
fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    let id = header::REQUEST_ID;
    format!(
        "HTTP/1.1 {status} X\r\n{id}: {{id}}\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the statement that a request didn't run.
fn refusal(status: u16, body: &str) -> String {
    response(status, &format!("{}: 1\r\n", header::NOT_RUN), body)
}

struct Case {
    name: &'static str,
    /// Number of hosts, all of which refuse the first request.
    hosts: usize,
    refusal: String,
    /// Status of the response to the first request.
    status: u16,
    /// Time between the response to the first request and the next request.
    pause: Duration,
}

fn cases() -> Vec<Case> {
    let case =
        |name, hosts, refusal, status| Case { name, hosts, refusal, status, pause: Duration::ZERO };
    let misdirected = |name, hosts| {
        let refusal = response(421, "", "");
        Case { name, hosts, refusal, status: 503, pause: MISDIRECTION_PAUSE }
    };
    vec![
        case("503, not run", 1, refusal(503, ""), 503),
        case("503, not run, several hosts", 3, refusal(503, ""), 503),
        case("503, not run, with a body", 1, refusal(503, "full"), 503),
        misdirected("421", 1),
        misdirected("421, several hosts", 3),
        case("429, not run", 1, refusal(429, ""), 503),
        case("429, not run, several hosts", 3, refusal(429, ""), 503),
        case("408, not run", 1, refusal(408, ""), 503),
        case("400, not run", 1, refusal(400, ""), 503),
        case("503, no statement", 1, response(503, "", ""), 503),
        case("503, no statement, with a body", 1, response(503, "", "full"), 503),
        case("429, no statement", 1, response(429, "", ""), 429),
        case("429, no statement, with a body", 1, response(429, "", "busy"), 429),
        case("408, no statement", 1, response(408, "", ""), 408),
        case("408, no statement, with a body", 1, response(408, "", "late"), 408),
    ]
}

/// Guards against a request that ran twice, or was refused while it ran, as the copy of its earlier refusal came when
/// its caller had sent it again under the same id.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_is_not_taken_for_the_response_to_the_request_sent_again() -> Result<()> {
    for Case { name, hosts, refusal, status, pause } in cases() {
        let site = PlainSite::start("refused-again", hosts).await;
        raw::play(&site.hosts, vec![vec![Step::SendTwice(refusal)]; hosts]);
        let answer = site.send(ONCE, "first").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(status), "{name}, first");
        expect_that!(site.runs("first"), eq(0), "{name}, first");
        time::sleep(pause).await;
        let answer = site.send(ONCE, "first").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200), "{name}");
        expect_that!(answer.body, eq("sound"), "{name}");
        expect_that!(site.runs("first"), eq(1), "{name}");
        expect_that!(site.followers(), eq(0), "{name}");
    }
    Ok(())
}

/// Guards against requests that failed as they got the copy of another request's refusal.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_does_not_fail_another_request() -> Result<()> {
    for Case { name, hosts, refusal, status, pause } in cases() {
        let site = PlainSite::start("refused-other", hosts).await;
        raw::play(&site.hosts, vec![vec![Step::SendTwice(refusal)]; hosts]);
        let answer = site.send(ONCE, "first").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(status), "{name}, first");
        time::sleep(pause).await;
        let answer = site.send(ONCE, "second").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200), "{name}");
        expect_that!(answer.body, eq("sound"), "{name}");
        expect_that!(site.runs("second"), eq(1), "{name}");
        expect_that!(site.followers(), eq(0), "{name}");
    }
    Ok(())
}

/// Guards against requests that ran on more hosts than their route allows, as runs were taken for refusals.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_does_not_hide_a_run_from_the_limit_of_attempts() -> Result<()> {
    const HOSTS: usize = MAX_ATTEMPTS + 1;
    let cases = [
        ("503, not run", refusal(503, ""), Duration::ZERO),
        ("421", response(421, "", ""), MISDIRECTION_PAUSE),
        ("429, not run", refusal(429, ""), Duration::ZERO),
    ];
    for (name, refusal, pause) in cases {
        let site = PlainSite::start("refused-attempts", HOSTS).await;
        raw::play(&site.hosts, vec![vec![Step::SendTwice(refusal)]; HOSTS]);
        let answer = site.send(IDEMPOTENT, "first").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(503), "{name}, first");
        time::sleep(pause).await;
        let failure = Step::Send(response(500, "", "failed"));
        raw::play(&site.hosts, vec![vec![failure]; HOSTS]);
        let answer = site.send(IDEMPOTENT, "first").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(500), "{name}");
        expect_that!(site.runs("first"), eq(MAX_ATTEMPTS), "{name}");
        expect_that!(site.followers(), eq(0), "{name}");
    }
    Ok(())
}

/// Guards against streams that were refused while they ran, or ran on several replicas, after the copy of a refusal.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_is_not_taken_for_the_stream_sent_again() -> Result<()> {
    for (name, replicas, refusal) in [
        ("503, not run", 1, refusal(503, "")),
        ("503, not run, several replicas", 2, refusal(503, "")),
        ("429, not run", 1, refusal(429, "")),
        ("429, no statement, with a body", 1, response(429, "", "busy")),
    ] {
        let (site, hosts) = start_replicas(replicas).await;
        let node = site.node("refused-stream").await;
        raw::play(&hosts, vec![vec![Step::SendTwice(refusal)]; replicas]);
        let headers = [(header::MODEL, site::MODEL), (header::REQUEST_ID, "first")];
        let answer = node.send("POST", "/chat/1", &headers, "prompt").await.or_fail()?;
        expect_that!(answer.status.as_u16(), any![eq(503), eq(429)], "{name}, first");
        let answer = node.send("POST", "/chat/1", &headers, "prompt").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200), "{name}");
        expect_that!(answer.body, eq(&site::events(1..=site::EVENTS)), "{name}");
        let runs: usize = hosts.iter().map(|it| it.runs("first")).sum();
        expect_that!(runs, eq(1), "{name}");
        let followers = hosts.iter().map(|it| it.record.followers.load(Ordering::SeqCst));
        expect_that!(followers.sum::<usize>(), eq(0), "{name}");
    }
    Ok(())
}

/// Starts a site whose replicas are raw hosts, each of one host.
async fn start_replicas(count: usize) -> (Site, Vec<Host>) {
    let site = Site::with_engine_hosts(count).await;
    site.join_replicas(1, 1, None);
    let hosts = raw::start_hosts(count).await;
    for (index, (host, raw)) in site.replicas.iter().zip(&hosts).enumerate() {
        let entry = Entry { address: raw.address, ..site::member_entry(host, index, 1) };
        site.store.put_entry(&host.id, &entry);
    }
    (site, hosts)
}

/// Guards against the copy of a refused call to a host that is taken for the outcome of the next order, or for a report.
/// The responses to such calls bear no id.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_call_follows_a_refused_one_on_its_connection() -> Result<()> {
    struct Case {
        name: &'static str,
        status: &'static str,
        body: &'static str,
    }
    let case = |name, status, body| Case { name, status, body };
    let cases = [
        case("400", "400 X", ""),
        case("409", "409 X", ""),
        case("409 with a body", "409 X", r#"{"seq":0}"#),
        case("412, token", "412 X", ""),
        case("412, epoch", "412 X", r#"{"reason":"epoch"}"#),
        case("421", "421 X", ""),
        case("429", "429 X", ""),
        case("500", "500 X", ""),
        case("503", "503 X", ""),
    ];
    for Case { name, status, body } in cases {
        let length = body.len();
        let refused = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
        let (site, hosts) = raw::start_free_hosts(SIZE).await;
        for host in &hosts {
            host.play_orders(vec![vec![Step::SendTwice(refused.clone())]]);
            host.play_reports(vec![vec![Step::SendTwice(refused.clone())]]);
        }
        let _node = site.node("refused-calls").await;
        for host in &hosts {
            expect_that!(has_more_calls(host).await, eq(true), "{name}");
            expect_that!(host.record.followers.load(Ordering::SeqCst), eq(0), "{name}");
        }
    }
    Ok(())
}

/// Waits until a host has received orders and reports after the refused ones; returns whether that was the case in time.
async fn has_more_calls(host: &Host) -> bool {
    for _ in 0..500 {
        if host.orders().len() >= 2 && host.record.reports_asked.load(Ordering::SeqCst) >= 3 {
            return true;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    false
}
