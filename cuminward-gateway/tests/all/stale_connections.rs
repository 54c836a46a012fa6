//! Hosts that drop kept connections without notice, which shows only when the next request on one is lost.

use std::time::Duration;

use cuminward_adapter_fake::{
    catalog::{Retry, Route},
    header,
    host::{self, Behaviour, Host},
};
use futures::future;
use googletest::prelude::*;

use crate::site::{self, EVENTS, Node, Site};

const MODEL: (&str, &str) = (header::MODEL, site::MODEL);

/// Number of requests that are sent at once, so that each host keeps a connection.
const REQUESTS: usize = 8;

/// Silence of a sound host.
const SILENCE: Duration = Duration::from_millis(1200);

/// Number of hosts of a replica.
const SIZE: usize = 2;

/// Sends requests at once, after which each of the hosts keeps connections, and makes the hosts drop these.
async fn keep_and_drop(node: &Node, method: &str, path: &str, hosts: &[Host]) -> Result<()> {
    let headers = if path.starts_with("/long-chat/") { vec![MODEL] } else { Vec::new() };
    let requests = (0..REQUESTS).map(|_| node.send(method, path, &headers, "prompt"));
    for answer in future::join_all(requests).await {
        verify_that!(answer.or_fail()?.status.as_u16(), eq(200))?;
    }
    for host in hosts {
        host.clear_received();
        host.drop_kept_connections(true);
    }
    Ok(())
}

/// Returns how many requests hosts lost with kept connections.
fn lost_requests(hosts: &[Host]) -> usize {
    hosts.iter().map(|it| it.lost_requests()).sum()
}

/// Returns how many requests hosts ran.
fn runs(hosts: &[Host]) -> usize {
    hosts.iter().map(|it| it.received().len()).sum()
}

/// Guards against streams that were cut, or refused, since their attempts met connections which sound hosts had dropped:
/// the case `review/7`.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_lost_on_connections_that_its_hosts_have_dropped() -> Result<()> {
    struct Case {
        name: &'static str,
        /// Behaviours for the requests that are run, one after the other.
        script: Vec<Behaviour>,
        /// Number of runs.
        runs: usize,
    }
    let cases = [
        Case { name: "new stream", script: vec![], runs: 1 },
        Case {
            name: "after a silence",
            script: vec![Behaviour::StreamFallingSilent(3, SILENCE)],
            runs: 2,
        },
        Case {
            name: "after a silence before the first event",
            script: vec![Behaviour::StreamFallingSilent(0, SILENCE)],
            runs: 2,
        },
        Case { name: "after a failure", script: vec![Behaviour::StreamUntil(3)], runs: 2 },
    ];
    for case in cases {
        let site = Site::with_engine_hosts(2 * SIZE).await;
        let route = Route {
            timeout: Duration::from_secs(6),
            latency_objective: Some(Duration::from_millis(300)),
            ..site::route("/long-chat/", Retry::Resumable, site::ENGINE)
        };
        site.join_replicas(1, SIZE, Some(route));
        let node = site.node("stale-stream").await;
        keep_and_drop(&node, "POST", "/long-chat/1", &site.replicas).await?;
        host::share_script(&site.replicas, case.script);
        let headers = [MODEL, (header::DEADLINE_MS, "6000")];
        let answer = node.send("POST", "/long-chat/2", &headers, "prompt").await.or_fail()?;
        expect_that!(answer.is_complete, eq(true), "{}", case.name);
        expect_that!(answer.body, eq(&site::events(1..=EVENTS)), "{}", case.name);
        expect_that!(runs(&site.replicas), eq(case.runs), "{}", case.name);
        expect_that!(lost_requests(&site.replicas), ge(1), "{}", case.name);
    }
    Ok(())
}

/// Guards against idempotent requests that fail as both of their attempts meet dropped connections, and against requests
/// that may run once and are sent again, or refused, after they were lost with a connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_sent_again_on_a_new_connection_only_if_it_may_be_repeated() -> Result<()> {
    struct Case {
        name: &'static str,
        path: &'static str,
        status: u16,
        runs: usize,
    }
    let cases = [
        Case { name: "idempotent", path: "/desk/1", status: 200, runs: 1 },
        Case { name: "not idempotent", path: "/book/1", status: 502, runs: 0 },
    ];
    for case in cases {
        let site = Site::start().await;
        let node = site.node("stale-call").await;
        keep_and_drop(&node, "POST", case.path, &site.plain).await?;
        let answer = node.send("POST", case.path, &[], "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(case.status), "{}", case.name);
        expect_that!(runs(&site.plain), eq(case.runs), "{}", case.name);
        expect_that!(lost_requests(&site.plain), eq(1), "{}", case.name);
    }
    Ok(())
}

/// Guards against a request that is sent to a host a third time, or to a third host, as each host loses it on a kept
/// connection and on a new one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_sent_at_most_twice_to_each_of_its_hosts() -> Result<()> {
    let site = Site::with_hosts(3, 2).await;
    site.configure(1, None);
    let node = site.node("stale-twice").await;
    keep_and_drop(&node, "GET", "/desk/1", &site.plain).await?;
    host::share_script(&site.plain, [const { Behaviour::CloseConnection }; 6]);
    let answer = node.get("/desk/2", &[]).await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(502));
    expect_that!(lost_requests(&site.plain), eq(2), "on kept connections");
    expect_that!(runs(&site.plain), eq(2), "on new connections");
    Ok(())
}

/// Guards against requests that are sent again without being counted as retries.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_again_beyond_the_retry_budget() -> Result<()> {
    // A retry for each five requests, and one for those with which the fixture finds the node ready.
    const MAX_RETRIES: usize = 2 * REQUESTS / 5 + 1;
    let site = Site::start().await;
    let node = site.node_with_reserve("stale-budget", 0).await;
    keep_and_drop(&node, "GET", "/desk/1", &site.plain).await?;
    let requests = (0..REQUESTS).map(|_| node.get("/desk/2", &[]));
    let answers = future::join_all(requests).await;
    let failed = answers.iter().flatten().filter(|it| it.status.as_u16() == 502).count();
    let retries = lost_requests(&site.plain) + runs(&site.plain) - REQUESTS;
    expect_that!(retries, le(MAX_RETRIES));
    expect_that!(failed, ge(1));
    Ok(())
}
