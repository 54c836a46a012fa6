//! Requests while replicas crash, stop responding, slow down or are missing, and while callers
//! disconnect or nodes stop.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cuminward_standin::{engine, environment, hosts};
use cuminward_testkit::{
    caller::{Caller, Response},
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;
use tokio::task::JoinHandle;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which a request without a deadline has to be refused while there is no upstream.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which any other awaited condition has to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of replica crashes by a request that its caller sends repeatedly.
const MAX_CRASHES: u64 = 2;

/// Time after which a leaving upstream must not receive new requests.
const LEAVE_DELAY: Duration = Duration::from_secs(3);

/// Factor by which the slow replica is slower than the others.
const SLOWDOWN: f64 = 30.0;

/// Time within which a slow replica has to be ejected, and time within which it has to be
/// readmitted.
const EJECTION_TIMEOUT: Duration = Duration::from_secs(12);

/// Length of a long reply, in tokens.
const LONG_REPLY: u32 = 180;

/// Number of hosts of each replica.
const HOSTS: u32 = 2;

/// Returns the concurrency limits of a replica of stand-in engines.
fn limits() -> declare::Limits {
    let engine = engine::Options::default();
    declare::Limits { slots: engine.slots, cold_slots: engine.cold_bound, warm_up: engine.warm_up }
}

async fn start(replicas: u32, nodes: u32) -> Cluster {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", replicas * HOSTS)],
            ..environment::Options::default()
        },
        nodes_per_domain: nodes,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    let declared = cluster.declare(replicas, HOSTS, &limits()).await;
    declared.expect("the declarations are valid");
    let formed = cluster.wait_replicas(replicas as usize, FORMATION_TIMEOUT).await;
    formed.expect("the hosts form replicas");
    cluster
}

/// Returns the text of the complete reply to a chat.
fn expected_reply(text: &str, tokens: u32) -> String {
    let prompt = format!("user: {text}\n");
    engine::token::reply_text(declare::VERSION, &prompt, u64::from(tokens))
}

/// Starts `count` chats with the texts `{text} {index}`, spread over the nodes in turn.
fn start_chats(
    nodes: &[SocketAddr],
    text: &str,
    count: usize,
    tokens: u32,
) -> Vec<(String, JoinHandle<std::result::Result<Response, String>>)> {
    let start = |index: usize| {
        let (node, text) = (nodes[index % nodes.len()], format!("{text} {index}"));
        let caller = Caller::new(&declare::TEAMS[index % declare::TEAMS.len()]);
        let sent = text.clone();
        (text, tokio::spawn(async move { caller.chat(node, &sent, tokens).await }))
    };
    (0..count).map(start).collect()
}

/// Returns a text for [`start_chats`] for which all `count` replies have the length [`LONG_REPLY`].
fn long_reply_text(count: usize) -> String {
    let is_long = |text: &String| {
        let prompt = |index: usize| format!("user: {text} {index}\n");
        let length = |index| {
            engine::token::token_count(declare::VERSION, &prompt(index), u64::from(LONG_REPLY))
        };
        (0..count).all(|it| length(it) == u64::from(LONG_REPLY))
    };
    let texts = (0..100_000).map(|it| format!("long {it}"));
    texts.into_iter().find(is_long).expect("some replies are long")
}

/// Waits for all chats and describes those whose reply isn't complete and exactly as expected.
async fn failed_chats(
    chats: Vec<(String, JoinHandle<std::result::Result<Response, String>>)>,
    tokens: u32,
) -> Vec<String> {
    let mut failures = Vec::new();
    for (text, chat) in chats {
        match chat.await.expect("the caller doesn't panic") {
            Ok(it) if it.is_complete_chat() && it.chat_text() == expected_reply(&text, tokens) => {}
            Ok(it) => failures.push(format!("{text}: {} {}", it.status, it.body)),
            Err(error) => failures.push(format!("{text}: {error}")),
        }
    }
    failures
}

/// Returns the name of a head that has started requests.
fn busy_head(cluster: &Cluster) -> Option<String> {
    cluster.environment.fleet().counters().begun_by_host.into_keys().next()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_when_their_replica_is_killed() -> Result<()> {
    let cluster = start(2, 2).await;
    let running = start_chats(&cluster.callers(), "survive", 6, 150);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let host = busy_head(&cluster).or_fail()?;
    cluster.environment.fleet().inject(&engine::control::Fault::Kill { host }).await;
    expect_that!(failed_chats(running, 150).await, is_empty());
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_at_the_same_replica_after_a_silent_connection() -> Result<()> {
    let cluster = start(1, 1).await;
    let formed = cluster.environment.fleet().counters().formed;
    let running = start_chats(&cluster.callers(), "silent", 3, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let host = busy_head(&cluster).or_fail()?;
    cluster.environment.fleet().inject(&engine::control::Fault::Silence { host }).await;
    expect_that!(failed_chats(running, 200).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().formed, eq(formed));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_replicas_is_refused_and_others_are_answered() -> Result<()> {
    let cluster = start(3, 2).await;
    let nodes = cluster.callers();
    let crashing = "cut !!crash!! kite";
    let unrelated = start_chats(&nodes, "innocent", 6, 100);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let caller = Caller::new(&declare::TEAMS[0]);
    let mut last = None;
    for index in 0..6 {
        last = Some(caller.chat(nodes[index % nodes.len()], crashing, 20).await.or_fail()?);
    }
    let last = last.or_fail()?;
    expect_that!(last.status.as_u16(), eq(422), "{}", last.body);
    expect_that!(last.outcome(), eq("not-run"));
    expect_that!(failed_chats(unrelated, 100).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().crashes, le(MAX_CRASHES));
    expect_that!(failed_chats(start_chats(&nodes, "afterwards", 4, 20), 20).await, is_empty());
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_is_ejected_and_readmitted() -> Result<()> {
    let cluster = start(4, 1).await;
    let nodes = cluster.callers();
    let host = cluster.environment.fleet().ready_heads().into_iter().find_map(|it| {
        let membership = it.membership?;
        (membership.members.first() == Some(&it.host)).then_some(it.host)
    });
    let host = host.or_fail()?;
    let slow = engine::control::Fault::Slow { host: host.clone(), factor: SLOWDOWN };
    cluster.environment.fleet().inject(&slow).await;
    let outliers = &cluster.node("a-0").state().outliers;
    let started = Instant::now();
    while outliers.ejected().is_empty() && started.elapsed() < EJECTION_TIMEOUT {
        expect_that!(failed_chats(start_chats(&nodes, "slow", 8, 4), 4).await, is_empty());
    }
    expect_that!(outliers.ejected().len(), eq(1));
    let count = || cluster.environment.fleet().counters().begun_by_host.get(&host).copied();
    let before = count();
    expect_that!(failed_chats(start_chats(&nodes, "else", 8, 4), 4).await, is_empty());
    expect_that!(count(), eq(before));
    expect_that!(cluster::wait(EJECTION_TIMEOUT, || outliers.ejected().is_empty()).await, eq(true));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_receives_no_new_requests_and_ends_its_running_ones() -> Result<()> {
    let cluster = start(2, 2).await;
    let nodes = cluster.callers();
    let running = start_chats(&nodes, "leaving", 6, LONG_REPLY);
    let fleet = cluster.environment.fleet();
    let is_busy = || busy_head(&cluster).is_some();
    expect_that!(cluster::wait(WAIT_TIMEOUT, is_busy).await, eq(true));
    let host = busy_head(&cluster).or_fail()?;
    let state = cuminward_core::host::State::Leaving;
    cluster
        .environment
        .host_list()
        .change_now(hosts::Change::SetState { host: host.clone(), state });
    tokio::time::sleep(LEAVE_DELAY).await;
    let count = || fleet.counters().begun_by_host.get(&host).copied();
    let before = count();
    expect_that!(failed_chats(start_chats(&nodes, "later", 8, 8), 8).await, is_empty());
    expect_that!(count(), eq(before));
    expect_that!(failed_chats(running, LONG_REPLY).await, is_empty());
    expect_that!(fleet.counters().cut_off, eq(0));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_engine_ends_requests_whose_caller_disconnected() -> Result<()> {
    let cluster = start(1, 1).await;
    let running = start_chats(&cluster.callers(), &long_reply_text(3), 3, LONG_REPLY);
    let fleet = cluster.environment.fleet();
    let all_started = || fleet.counters().begun_by_domain.values().sum::<u64>() == 3;
    expect_that!(cluster::wait(WAIT_TIMEOUT, all_started).await, eq(true));
    running.iter().for_each(|(_, it)| it.abort());
    let all_ended = || fleet.counters().cancelled + fleet.counters().abandoned == 3;
    expect_that!(cluster::wait(WAIT_TIMEOUT, all_ended).await, eq(true), "{:?}", fleet.counters());
    let state = cluster.node("a-0").state();
    let slots_free = || state.view.load().slots.values().all(|it| it.in_use() == 0);
    expect_that!(cluster::wait(WAIT_TIMEOUT, slots_free).await, eq(true));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_completes_its_requests() -> Result<()> {
    let mut cluster = start(2, 2).await;
    let running = start_chats(&cluster.callers(), "stop", 8, 150);
    let all_started =
        || cluster.environment.fleet().counters().begun_by_domain.values().sum::<u64>() == 8;
    expect_that!(cluster::wait(WAIT_TIMEOUT, all_started).await, eq(true));
    let stopping = cluster.remove("a-0").or_fail()?;
    expect_that!(stopping.stop().await, eq(true));
    expect_that!(failed_chats(running, 150).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().cut_off, eq(0));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_any_replica_are_refused_quickly() -> Result<()> {
    let cluster = start(1, 1).await;
    let hosts: Vec<String> =
        cluster.environment.fleet().entries().into_iter().map(|it| it.host).collect();
    for host in hosts {
        cluster.environment.fleet().inject(&engine::control::Fault::Kill { host }).await;
    }
    let none_routable = || cluster.node("a-0").state().view.load().table.candidates().count() == 0;
    expect_that!(cluster::wait(WAIT_TIMEOUT, none_routable).await, eq(true));
    let before = cluster.environment.fleet().counters().begun_by_domain;
    let started = Instant::now();
    let caller = Caller::new(&declare::TEAMS[0]);
    let response = caller.chat(cluster.callers()[0], "nobody", 8).await.or_fail()?;
    expect_that!(started.elapsed(), lt(REFUSAL_TIMEOUT));
    expect_that!(response.status.as_u16(), eq(503), "{}", response.body);
    expect_that!(response.outcome(), eq("not-run"));
    expect_that!(response.headers.contains_key("retry-after"), eq(true));
    expect_that!(cluster.environment.fleet().counters().begun_by_domain, eq(&before));
    cluster.stop().await;
    Ok(())
}
