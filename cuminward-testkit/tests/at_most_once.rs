//! Requests with idempotency keys run at most once when responses are lost, nodes are killed or the
//! log fails.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cuminward_node::control::keys;
use cuminward_standin::{environment, log, plain};
use cuminward_testkit::{
    caller::{Call, Caller, Response},
    cluster::{self, Cluster},
    declare,
};
use futures::future;
use googletest::prelude::*;
use http::Method;
use serde_json::Value;

/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Number of nodes in each failure domain.
const NODES: u32 = 3;

/// Time within which the nodes have to discover each other and the hosts.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which keys have to be recorded again after a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of engine hosts in each failure domain.
const HOSTS: u32 = 2;

/// Concurrency limit of each upstream, in requests.
const SLOTS: u32 = 64;

async fn start() -> Cluster {
    let domain = |name: &&str| environment::Domain {
        plains: [(declare::DESK.to_owned(), 1)].into(),
        ..environment::Domain::new(name, "r", HOSTS)
    };
    let options = cluster::Options {
        environment: environment::Options {
            domains: DOMAINS.iter().map(domain).collect(),
            plain: plain::Options { slots: SLOTS, cold_bound: SLOTS, ..plain::Options::default() },
            ..environment::Options::default()
        },
        nodes_per_domain: NODES,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    let limits =
        declare::Limits { slots: SLOTS, cold_slots: SLOTS, warm_up: Duration::from_millis(1) };
    cluster.declare(1, HOSTS, &limits).await.expect("the declarations are valid");
    cluster.wait_replicas(1, DISCOVERY_TIMEOUT).await.expect("the hosts form a replica");
    let all_discovered = || {
        let has_discovered = |it: &cuminward_node::node::Node| {
            let state = it.state();
            let nodes = state.peers.live_nodes_everywhere(state).len();
            nodes == DOMAINS.len() * NODES as usize
                && state.view.load().plains.values().any(|it| !it.is_empty())
        };
        cluster.nodes().all(|(_, it)| has_discovered(it))
    };
    assert!(
        cluster::wait(DISCOVERY_TIMEOUT, all_discovered).await,
        "the nodes didn't discover each other"
    );
    assert!(wait_until_recorded(&cluster, "a-0").await, "no key was recorded");
    cluster
}

fn caller() -> Caller {
    Caller::new(&declare::TEAMS[0])
}

fn address(cluster: &Cluster, node: &str) -> SocketAddr {
    cluster.node(node).addresses().callers
}

fn desk_host(domain: &str) -> String {
    format!("{domain}-{}-0", declare::DESK)
}

fn reservation(key: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/services/desk/reservations".to_owned(),
        body: format!(r#"{{"item":"bolt of {key}","quantity":1}}"#),
        key: Some(key.to_owned()),
    }
}

/// Sends reservations with new keys until one succeeds; returns whether one did in time.
async fn wait_until_recorded(cluster: &Cluster, node: &str) -> bool {
    let started = Instant::now();
    for index in 0.. {
        let call = reservation(&format!("probe {node} {index} {:?}", started.elapsed()));
        let response = caller().send(address(cluster, node), &call).await;
        if response.is_ok_and(|it| it.status == 201) {
            return true;
        }
        if RECOVERY_TIMEOUT < started.elapsed() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Sends a reservation with each key to every node at the same time. Returns the responses by key;
/// calls that failed are left out.
async fn send_to_all_nodes(cluster: &Cluster, keys: &[String]) -> BTreeMap<String, Vec<Response>> {
    let caller = caller();
    let nodes = cluster.callers();
    let pairs = keys.iter().flat_map(|key| nodes.iter().map(move |node| (key, *node)));
    let calls = pairs.map(|(key, node)| {
        let caller = caller.clone();
        async move { (key.clone(), caller.send(node, &reservation(key)).await) }
    });
    let mut responses: BTreeMap<String, Vec<Response>> = BTreeMap::new();
    for (key, response) in future::join_all(calls).await {
        responses.entry(key).or_default().extend(response);
    }
    responses
}

/// Checks that no key ran twice, that no request answered with `not-run` ran, and that all
/// successful responses to a key repeat the reply of its only run.
fn check_at_most_once(
    cluster: &Cluster,
    responses: &BTreeMap<String, Vec<Response>>,
) -> Result<()> {
    let counters = cluster.environment.plain().counters();
    for (key, runs) in &counters.runs_by_key {
        expect_that!(*runs, le(1), "runs of {key}");
    }
    for (key, responses) in responses {
        let replies: Vec<&Response> = responses.iter().filter(|it| it.status == 201).collect();
        for reply in &replies {
            expect_that!(reply.body, eq(&replies[0].body), "replies of {key}");
        }
        let originals = replies.iter().filter(|it| !it.headers.contains_key("cuminward-replayed"));
        expect_that!(originals.count(), le(1), "replies of {key} that aren't replayed");
        for refusal in responses.iter().filter(|it| it.outcome() == "not-run") {
            let request = refusal.headers.get("cuminward-request").or_fail()?;
            let request = request.to_str().or_fail()?;
            expect_that!(counters.runs_by_request.get(request), none(), "{}", refusal.body);
        }
        if replies.is_empty() && responses.iter().all(|it| it.outcome() == "not-run") {
            expect_that!(counters.runs_by_key.get(key), none(), "{key}");
        }
    }
    Ok(())
}

fn numbered_keys(prefix: &str, count: u32) -> Vec<String> {
    (0..count).map(|it| format!("{prefix} {it}")).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_keys_return_the_first_reply_in_every_domain() -> Result<()> {
    let cluster = start().await;
    let keys = numbered_keys("bolt", 20);
    cluster.environment.log().inject(&log::Fault::LoseAnswers { count: 3 });
    for round in 0..2 {
        let responses = send_to_all_nodes(&cluster, &keys).await;
        check_at_most_once(&cluster, &responses)?;
        let counters = cluster.environment.plain().counters();
        for (key, responses) in &responses {
            expect_that!(counters.runs_by_key.get(key), some(eq(&1)), "{key}");
            for response in responses {
                expect_that!(response.status.as_u16(), eq(201), "{key} {round} {}", response.body);
            }
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_lost_answers_have_an_unknown_outcome_and_never_run_again() -> Result<()> {
    let cluster = start().await;
    let keys = numbered_keys("lost", 12);
    for domain in DOMAINS {
        let fault = plain::Fault::LoseAnswers { host: desk_host(domain), count: 2 };
        cluster.environment.plain().inject(&fault).await;
    }
    let mut unknown = 0;
    for _ in 0..2 {
        let responses = send_to_all_nodes(&cluster, &keys).await;
        check_at_most_once(&cluster, &responses)?;
        unknown += responses.values().flatten().filter(|it| it.outcome() == "unknown").count();
    }
    expect_that!(unknown, gt(0));
    let counters = cluster.environment.plain().counters();
    for key in &keys {
        expect_that!(counters.runs_by_key.get(key), some(eq(&1)), "{key}");
    }
    // A request without a key is sent to an upstream once and its outcome is reported as unknown.
    let fault = plain::Fault::LoseAnswers { host: desk_host("a"), count: 1 };
    cluster.environment.plain().inject(&fault).await;
    let call = Call { key: None, ..reservation("none") };
    let response = caller().send(address(&cluster, "a-1"), &call).await.or_fail()?;
    expect_that!(response.outcome(), eq("unknown"), "{}", response.body);
    let after = cluster.environment.plain().counters();
    expect_that!(after.reservations, eq(counters.reservations + 1));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killing_a_node_before_it_answers_leaves_the_outcome_unknown() -> Result<()> {
    let mut cluster = start().await;
    let keys = numbered_keys("killed", 8);
    let host = desk_host("a");
    let delay_ms = Duration::from_millis(600);
    cluster.environment.plain().inject(&plain::Fault::Slow { host: host.clone(), delay_ms }).await;
    let node = address(&cluster, "a-0");
    let sends = keys
        .iter()
        .cloned()
        .map(|key| tokio::spawn(async move { caller().send(node, &reservation(&key)).await }));
    let sends: Vec<_> = sends.collect();
    let any_ran = || {
        let runs = cluster.environment.plain().counters().runs_by_key;
        keys.iter().any(|it| runs.contains_key(it))
    };
    expect_that!(cluster::wait(RECOVERY_TIMEOUT, any_ran).await, eq(true));
    cluster.remove("a-0").or_fail()?.kill();
    for send in sends {
        let _ = send.await;
    }
    let delay_ms = Duration::ZERO;
    cluster.environment.plain().inject(&plain::Fault::Slow { host, delay_ms }).await;
    let ran_before = cluster.environment.plain().counters().runs_by_key;
    let responses = send_to_all_nodes(&cluster, &keys).await;
    check_at_most_once(&cluster, &responses)?;
    for (key, responses) in &responses {
        for response in responses.iter().filter(|_| ran_before.contains_key(key)) {
            expect_that!(response.outcome(), eq("unknown"), "{key} {}", response.body);
            expect_that!(response.status.as_u16(), eq(409), "{key} {}", response.body);
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_ledger_node_is_replaced() -> Result<()> {
    let mut cluster = start().await;
    let ranked = keys::ledger_nodes(cluster.node("a-0").state());
    let ledger = ranked.first().or_fail()?.clone();
    let other = ["a-0", "a-1", "a-2"].into_iter().find(|it| !ranked.contains(&(*it).to_owned()));
    let node = address(&cluster, other.or_fail()?);
    let keys = numbered_keys("ledger", 60);
    let sends = keys.iter().cloned().enumerate().map(|(index, key)| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(10) * index as u32).await;
            (key.clone(), caller().send(node, &reservation(&key)).await)
        })
    });
    let sends: Vec<_> = sends.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.remove(&ledger).or_fail()?.kill();
    let mut responses: BTreeMap<String, Vec<Response>> = BTreeMap::new();
    for send in sends {
        let (key, response) = send.await.or_fail()?;
        responses.entry(key).or_default().extend(response);
    }
    check_at_most_once(&cluster, &responses)?;
    expect_that!(wait_until_recorded(&cluster, other.or_fail()?).await, eq(true));
    let again = send_to_all_nodes(&cluster, &keys).await;
    check_at_most_once(&cluster, &again)?;
    let complete = responses.values().flatten().filter(|it| it.status == 201).count();
    expect_that!(complete, ge(keys.len() / 2));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_issued_keys_run_during_a_log_outage() -> Result<()> {
    let cluster = start().await;
    let (own, other) = (address(&cluster, "a-0"), address(&cluster, "a-1"));
    cluster.environment.log().inject(&log::Fault::Down);
    let fresh = caller().send(own, &reservation("fresh")).await.or_fail()?;
    expect_that!(fresh.status.as_u16(), eq(503), "{}", fresh.body);
    expect_that!(fresh.outcome(), eq("not-run"));
    expect_that!(fresh.headers.contains_key("retry-after"), eq(true));
    let path = "/v1/idempotency-keys".to_owned();
    let issue = Call { method: Method::POST, path, ..Call::default() };
    let issued = caller().send(own, &issue).await.or_fail()?;
    expect_that!(issued.status.as_u16(), eq(201), "{}", issued.body);
    let issued: Value = serde_json::from_str(&issued.body).or_fail()?;
    let key = issued["key"].as_str().or_fail()?.to_owned();
    let from_other = caller().send(other, &reservation(&key)).await.or_fail()?;
    expect_that!(from_other.outcome(), eq("not-run"), "{}", from_other.body);
    let mut responses = vec![from_other];
    for _ in 0..3 {
        let response = caller().send(own, &reservation(&key)).await.or_fail()?;
        expect_that!(response.status.as_u16(), eq(201), "{}", response.body);
        responses.push(response);
    }
    let mut responses = BTreeMap::from([(key, responses), ("fresh".to_owned(), vec![fresh])]);
    check_at_most_once(&cluster, &responses)?;
    cluster.environment.log().inject(&log::Fault::Up);
    expect_that!(wait_until_recorded(&cluster, "a-0").await, eq(true));
    let fresh = caller().send(other, &reservation("fresh")).await.or_fail()?;
    expect_that!(fresh.status.as_u16(), eq(201), "{}", fresh.body);
    responses.entry("fresh".to_owned()).or_default().push(fresh);
    check_at_most_once(&cluster, &responses)?;
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_log_delays_or_refuses_requests() -> Result<()> {
    struct Case {
        delay: Duration,
        outcome: &'static str,
    }
    let cluster = start().await;
    let cases = [
        Case { delay: Duration::from_millis(300), outcome: "complete" },
        Case { delay: Duration::from_secs(6), outcome: "not-run" },
    ];
    for (index, case) in cases.iter().enumerate() {
        cluster.environment.log().inject(&log::Fault::Slow { delay_ms: case.delay });
        let keys = numbered_keys(&format!("slow {index}"), 3);
        let node = address(&cluster, "b-0");
        for key in &keys {
            let first = caller().send(node, &reservation(key)).await.or_fail()?;
            expect_that!(first.outcome(), eq(case.outcome), "{}", first.body);
            check_at_most_once(&cluster, &BTreeMap::from([(key.clone(), vec![first])]))?;
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_refused_for_another_request() -> Result<()> {
    let cluster = start().await;
    for node in ["a-0", "a-0", "b-1"] {
        let response =
            caller().send(address(&cluster, node), &reservation("one")).await.or_fail()?;
        expect_that!(response.status.as_u16(), eq(201), "{}", response.body);
        let other = Call { key: Some("one".to_owned()), ..reservation("two") };
        let response = caller().send(address(&cluster, node), &other).await.or_fail()?;
        expect_that!(response.status.as_u16(), eq(409), "{}", response.body);
        expect_that!(response.outcome(), eq("not-run"), "{}", response.body);
    }
    check_at_most_once(&cluster, &BTreeMap::new())?;
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_did_not_run_may_be_retried_at_the_same_node() -> Result<()> {
    let cluster = start().await;
    for (first, second, status) in [("a-0", "a-0", 201), ("a-0", "b-0", 409)] {
        for domain in DOMAINS {
            let fault = plain::Fault::NotRun { host: desk_host(domain), count: 100 };
            cluster.environment.plain().inject(&fault).await;
        }
        let key = format!("refused {first} {second}");
        let refused =
            caller().send(address(&cluster, first), &reservation(&key)).await.or_fail()?;
        expect_that!(refused.outcome(), eq("not-run"), "{}", refused.body);
        for domain in DOMAINS {
            let fault = plain::Fault::NotRun { host: desk_host(domain), count: 0 };
            cluster.environment.plain().inject(&fault).await;
        }
        let again = caller().send(address(&cluster, second), &reservation(&key)).await.or_fail()?;
        expect_that!(again.status.as_u16(), eq(status), "{}", again.body);
        check_at_most_once(&cluster, &BTreeMap::from([(key, vec![refused, again])]))?;
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn empty_upstream_answers_are_never_returned_as_success() -> Result<()> {
    let cluster = start().await;
    let stock = Call { path: "/services/desk/stock/paper".to_owned(), ..Call::default() };
    let node = address(&cluster, "a-0");
    let empty = |domain: &str, count| plain::Fault::EmptyAnswers { host: desk_host(domain), count };
    cluster.environment.plain().inject(&empty("a", 1)).await;
    let response = caller().send(node, &stock).await.or_fail()?;
    expect_that!(response.status.as_u16(), eq(200), "{}", response.body);
    expect_that!(response.body, contains_substring("free"));
    for domain in DOMAINS {
        cluster.environment.plain().inject(&empty(domain, 100)).await;
    }
    let response = caller().send(node, &stock).await.or_fail()?;
    expect_that!(response.status.is_success(), eq(false));
    expect_that!(response.body, not(eq("")));
    cluster.stop().await;
    Ok(())
}
