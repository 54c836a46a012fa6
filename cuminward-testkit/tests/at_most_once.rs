//! Calls with idempotency keys while answers, nodes and the log are lost.

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

/// Failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Nodes of each failure domain.
const NODES: u32 = 3;

/// Time within which nodes know each other and the hosts.
const MEETING: Duration = Duration::from_secs(10);

/// Time within which keys are recorded again after a fault.
const RECOVERY: Duration = Duration::from_secs(5);

/// Engine hosts of each failure domain.
const HOSTS: u32 = 2;

/// Requests that an upstream bears.
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
    cluster.declare(1, HOSTS, &limits).await.expect("declarations are right");
    cluster.wait_replicas(1, MEETING).await.expect("the hosts form a replica");
    let met = || {
        let met = |it: &cuminward_node::node::Node| {
            let state = it.state();
            let nodes = state.peers.live_nodes_everywhere(state).len();
            nodes == DOMAINS.len() * NODES as usize
                && state.view.load().plains.values().any(|it| !it.is_empty())
        };
        cluster.nodes().all(|(_, it)| met(it))
    };
    assert!(cluster::wait(MEETING, met).await, "the nodes know each other");
    assert!(until_recorded(&cluster, "a-0").await, "keys are recorded");
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

/// Reserves with fresh keys until one is recorded.
async fn until_recorded(cluster: &Cluster, node: &str) -> bool {
    let begun = Instant::now();
    for index in 0.. {
        let call = reservation(&format!("probe {node} {index} {:?}", begun.elapsed()));
        let answer = caller().send(address(cluster, node), &call).await;
        if answer.is_ok_and(|it| it.status == 201) {
            return true;
        }
        if RECOVERY < begun.elapsed() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Sends each key through each node at the same time; the answers that came, by key.
async fn repeat_everywhere(cluster: &Cluster, keys: &[String]) -> BTreeMap<String, Vec<Response>> {
    let caller = caller();
    let nodes = cluster.callers();
    let pairs = keys.iter().flat_map(|key| nodes.iter().map(move |node| (key, *node)));
    let calls = pairs.map(|(key, node)| {
        let caller = caller.clone();
        async move { (key.clone(), caller.send(node, &reservation(key)).await) }
    });
    let mut answers: BTreeMap<String, Vec<Response>> = BTreeMap::new();
    for (key, answer) in future::join_all(calls).await {
        answers.entry(key).or_default().extend(answer);
    }
    answers
}

/// Checks what must hold for all answers: no key ran twice, no refused request ran, and all replies
/// of a key are those of its one run.
fn check(cluster: &Cluster, answers: &BTreeMap<String, Vec<Response>>) -> Result<()> {
    let counters = cluster.environment.plain().counters();
    for (key, runs) in &counters.runs_by_key {
        expect_that!(*runs, le(1), "runs of {key}");
    }
    for (key, answers) in answers {
        let replies: Vec<&Response> = answers.iter().filter(|it| it.status == 201).collect();
        for reply in &replies {
            expect_that!(reply.body, eq(&replies[0].body), "replies of {key}");
        }
        let first = replies.iter().filter(|it| !it.headers.contains_key("cuminward-replayed"));
        expect_that!(first.count(), le(1), "{key}");
        for refusal in answers.iter().filter(|it| it.outcome() == "not-run") {
            let request = refusal.headers.get("cuminward-request").or_fail()?;
            let request = request.to_str().or_fail()?;
            expect_that!(counters.runs_by_request.get(request), none(), "{}", refusal.body);
        }
        if replies.is_empty() && answers.iter().all(|it| it.outcome() == "not-run") {
            expect_that!(counters.runs_by_key.get(key), none(), "{key}");
        }
    }
    Ok(())
}

fn keys(prefix: &str, count: u32) -> Vec<String> {
    (0..count).map(|it| format!("{prefix} {it}")).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_all_domains_get_the_first_reply() -> Result<()> {
    let cluster = start().await;
    let keys = keys("bolt", 20);
    cluster.environment.log().inject(&log::Fault::LoseAnswers { count: 3 });
    for round in 0..2 {
        let answers = repeat_everywhere(&cluster, &keys).await;
        check(&cluster, &answers)?;
        let counters = cluster.environment.plain().counters();
        for (key, answers) in &answers {
            expect_that!(counters.runs_by_key.get(key), some(eq(&1)), "{key}");
            for answer in answers {
                expect_that!(answer.status.as_u16(), eq(201), "{key} {round} {}", answer.body);
            }
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_leave_the_outcome_unknown_and_are_never_repeated() -> Result<()> {
    let cluster = start().await;
    let keys = keys("lost", 12);
    for domain in DOMAINS {
        let fault = plain::Fault::LoseAnswers { host: desk_host(domain), count: 2 };
        cluster.environment.plain().inject(&fault).await;
    }
    let mut unknown = 0;
    for _ in 0..2 {
        let answers = repeat_everywhere(&cluster, &keys).await;
        check(&cluster, &answers)?;
        unknown += answers.values().flatten().filter(|it| it.outcome() == "unknown").count();
    }
    expect_that!(unknown, gt(0));
    let counters = cluster.environment.plain().counters();
    for key in &keys {
        expect_that!(counters.runs_by_key.get(key), some(eq(&1)), "{key}");
    }
    // Without a key: one send, and the answer says that the outcome is unknown.
    let fault = plain::Fault::LoseAnswers { host: desk_host("a"), count: 1 };
    cluster.environment.plain().inject(&fault).await;
    let call = Call { key: None, ..reservation("none") };
    let answer = caller().send(address(&cluster, "a-1"), &call).await.or_fail()?;
    expect_that!(answer.outcome(), eq("unknown"), "{}", answer.body);
    let after = cluster.environment.plain().counters();
    expect_that!(after.reservations, eq(counters.reservations + 1));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_before_its_answer_leaves_the_outcome_unknown() -> Result<()> {
    let mut cluster = start().await;
    let keys = keys("killed", 8);
    let host = desk_host("a");
    let delay_ms = Duration::from_millis(600);
    cluster.environment.plain().inject(&plain::Fault::Slow { host: host.clone(), delay_ms }).await;
    let node = address(&cluster, "a-0");
    let sends = keys
        .iter()
        .cloned()
        .map(|key| tokio::spawn(async move { caller().send(node, &reservation(&key)).await }));
    let sends: Vec<_> = sends.collect();
    let ran = || {
        let runs = cluster.environment.plain().counters().runs_by_key;
        keys.iter().any(|it| runs.contains_key(it))
    };
    expect_that!(cluster::wait(RECOVERY, ran).await, eq(true));
    cluster.remove("a-0").or_fail()?.kill();
    for send in sends {
        let _ = send.await;
    }
    let delay_ms = Duration::ZERO;
    cluster.environment.plain().inject(&plain::Fault::Slow { host, delay_ms }).await;
    let before = cluster.environment.plain().counters().runs_by_key;
    let answers = repeat_everywhere(&cluster, &keys).await;
    check(&cluster, &answers)?;
    for (key, answers) in &answers {
        for answer in answers.iter().filter(|_| before.contains_key(key)) {
            expect_that!(answer.outcome(), eq("unknown"), "{key} {}", answer.body);
            expect_that!(answer.status.as_u16(), eq(409), "{key} {}", answer.body);
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_ledger_is_replaced() -> Result<()> {
    let mut cluster = start().await;
    let ranked = keys::ledger_nodes(cluster.node("a-0").state());
    let ledger = ranked.first().or_fail()?.clone();
    let other = ["a-0", "a-1", "a-2"].into_iter().find(|it| !ranked.contains(&(*it).to_owned()));
    let node = address(&cluster, other.or_fail()?);
    let keys = keys("ledger", 60);
    let sends = keys.iter().cloned().enumerate().map(|(index, key)| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(10) * index as u32).await;
            (key.clone(), caller().send(node, &reservation(&key)).await)
        })
    });
    let sends: Vec<_> = sends.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.remove(&ledger).or_fail()?.kill();
    let mut answers: BTreeMap<String, Vec<Response>> = BTreeMap::new();
    for send in sends {
        let (key, answer) = send.await.or_fail()?;
        answers.entry(key).or_default().extend(answer);
    }
    check(&cluster, &answers)?;
    expect_that!(until_recorded(&cluster, other.or_fail()?).await, eq(true));
    let again = repeat_everywhere(&cluster, &keys).await;
    check(&cluster, &again)?;
    let complete = answers.values().flatten().filter(|it| it.status == 201).count();
    expect_that!(complete, ge(keys.len() / 2));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_only_minted_keys_run() -> Result<()> {
    let cluster = start().await;
    let (own, other) = (address(&cluster, "a-0"), address(&cluster, "a-1"));
    cluster.environment.log().inject(&log::Fault::Down);
    let fresh = caller().send(own, &reservation("fresh")).await.or_fail()?;
    expect_that!(fresh.status.as_u16(), eq(503), "{}", fresh.body);
    expect_that!(fresh.outcome(), eq("not-run"));
    expect_that!(fresh.headers.contains_key("retry-after"), eq(true));
    let path = "/v1/idempotency-keys".to_owned();
    let mint = Call { method: Method::POST, path, ..Call::default() };
    let minted = caller().send(own, &mint).await.or_fail()?;
    expect_that!(minted.status.as_u16(), eq(201), "{}", minted.body);
    let minted: Value = serde_json::from_str(&minted.body).or_fail()?;
    let key = minted["key"].as_str().or_fail()?.to_owned();
    let elsewhere = caller().send(other, &reservation(&key)).await.or_fail()?;
    expect_that!(elsewhere.outcome(), eq("not-run"), "{}", elsewhere.body);
    let mut answers = vec![elsewhere];
    for _ in 0..3 {
        let answer = caller().send(own, &reservation(&key)).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(201), "{}", answer.body);
        answers.push(answer);
    }
    let mut answers = BTreeMap::from([(key, answers), ("fresh".to_owned(), vec![fresh])]);
    check(&cluster, &answers)?;
    cluster.environment.log().inject(&log::Fault::Up);
    expect_that!(until_recorded(&cluster, "a-0").await, eq(true));
    let fresh = caller().send(other, &reservation("fresh")).await.or_fail()?;
    expect_that!(fresh.status.as_u16(), eq(201), "{}", fresh.body);
    answers.entry("fresh".to_owned()).or_default().push(fresh);
    check(&cluster, &answers)?;
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_log_delays_or_refuses() -> Result<()> {
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
        let keys = keys(&format!("slow {index}"), 3);
        let node = address(&cluster, "b-0");
        for key in &keys {
            let first = caller().send(node, &reservation(key)).await.or_fail()?;
            expect_that!(first.outcome(), eq(case.outcome), "{}", first.body);
            check(&cluster, &BTreeMap::from([(key.clone(), vec![first])]))?;
        }
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_serves_one_request() -> Result<()> {
    let cluster = start().await;
    for node in ["a-0", "a-0", "b-1"] {
        let answer = caller().send(address(&cluster, node), &reservation("one")).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(201), "{}", answer.body);
        let other = Call { key: Some("one".to_owned()), ..reservation("two") };
        let answer = caller().send(address(&cluster, node), &other).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(409), "{}", answer.body);
        expect_that!(answer.outcome(), eq("not-run"), "{}", answer.body);
    }
    check(&cluster, &BTreeMap::new())?;
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_did_not_run_may_be_repeated_at_its_node() -> Result<()> {
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
        check(&cluster, &BTreeMap::from([(key, vec![refused, again])]))?;
    }
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_look_up_is_never_an_empty_success() -> Result<()> {
    let cluster = start().await;
    let stock = Call { path: "/services/desk/stock/paper".to_owned(), ..Call::default() };
    let node = address(&cluster, "a-0");
    let empty = |domain: &str, count| plain::Fault::EmptyAnswers { host: desk_host(domain), count };
    cluster.environment.plain().inject(&empty("a", 1)).await;
    let answer = caller().send(node, &stock).await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200), "{}", answer.body);
    expect_that!(answer.body, contains_substring("free"));
    for domain in DOMAINS {
        cluster.environment.plain().inject(&empty(domain, 100)).await;
    }
    let answer = caller().send(node, &stock).await.or_fail()?;
    expect_that!(answer.status.is_success(), eq(false));
    expect_that!(answer.body, not(eq("")));
    cluster.stop().await;
    Ok(())
}
