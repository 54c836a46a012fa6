//! Requests while replicas crash, fall silent or are missing, and callers or nodes leave.

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
const FORMING: Duration = Duration::from_secs(15);

/// Time within which a request without a deadline is refused while there is no upstream.
const REFUSAL: Duration = Duration::from_secs(2);

/// Time within which something that a test waits for has to happen.
const LIMIT: Duration = Duration::from_secs(10);

/// Most times that a request may crash replicas when its caller sends it again and again.
const MOST_CRASHES: u64 = 2;

/// Time after which a leaving upstream may receive no new request.
const LEAVING: Duration = Duration::from_secs(3);

/// How many times slower the slow replica is.
const SLOW: f64 = 30.0;

/// Time within which a slow replica is ejected, and after which it gets work again.
const EJECTION: Duration = Duration::from_secs(12);

/// Tokens of a long reply.
const LONG: u32 = 180;

/// Hosts of a replica.
const HOSTS: u32 = 2;

/// What the stand-ins' replicas bear.
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
    declared.expect("declarations are right");
    let formed = cluster.wait_replicas(replicas as usize, FORMING).await;
    formed.expect("the hosts form replicas");
    cluster
}

/// Text of the whole reply to a chat.
fn expected(text: &str, tokens: u32) -> String {
    let prompt = format!("user: {text}\n");
    engine::token::reply_text(declare::VERSION, &prompt, u64::from(tokens))
}

/// Begins chats `{text} {index}`, in turn at the nodes.
fn chats(
    nodes: &[SocketAddr],
    text: &str,
    count: usize,
    tokens: u32,
) -> Vec<(String, JoinHandle<std::result::Result<Response, String>>)> {
    let begin = |index: usize| {
        let (node, text) = (nodes[index % nodes.len()], format!("{text} {index}"));
        let caller = Caller::new(&declare::TEAMS[index % declare::TEAMS.len()]);
        let sent = text.clone();
        (text, tokio::spawn(async move { caller.chat(node, &sent, tokens).await }))
    };
    (0..count).map(begin).collect()
}

/// Beginning of chats whose replies are all [`LONG`].
fn long(count: usize) -> String {
    let is_long = |text: &String| {
        let prompt = |index: usize| format!("user: {text} {index}\n");
        let length =
            |index| engine::token::token_count(declare::VERSION, &prompt(index), u64::from(LONG));
        (0..count).all(|it| length(it) == u64::from(LONG))
    };
    let texts = (0..100_000).map(|it| format!("long {it}"));
    texts.into_iter().find(is_long).expect("some replies are long")
}

/// Counts the chats that were not answered whole and exactly.
async fn wrong(
    chats: Vec<(String, JoinHandle<std::result::Result<Response, String>>)>,
    tokens: u32,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for (text, chat) in chats {
        match chat.await.expect("the caller doesn't panic") {
            Ok(it) if it.is_complete_chat() && it.chat_text() == expected(&text, tokens) => {}
            Ok(it) => wrong.push(format!("{text}: {} {}", it.status, it.body)),
            Err(error) => wrong.push(format!("{text}: {error}")),
        }
    }
    wrong
}

/// Name of a head that runs requests.
fn busy_head(cluster: &Cluster) -> Option<String> {
    cluster.environment.fleet().counters().begun_by_host.into_keys().next()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_death_of_their_replica() -> Result<()> {
    let cluster = start(2, 2).await;
    let running = chats(&cluster.callers(), "survive", 6, 150);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let host = busy_head(&cluster).or_fail()?;
    cluster.environment.fleet().inject(&engine::control::Fault::Kill { host }).await;
    expect_that!(wrong(running, 150).await, is_empty());
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_silent_connections_go_on_at_the_same_replica() -> Result<()> {
    let cluster = start(1, 1).await;
    let formed = cluster.environment.fleet().counters().formed;
    let running = chats(&cluster.callers(), "silent", 3, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let host = busy_head(&cluster).or_fail()?;
    cluster.environment.fleet().inject(&engine::control::Fault::Silence { host }).await;
    expect_that!(wrong(running, 200).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().formed, eq(formed));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_replicas_is_refused_and_others_are_answered() -> Result<()> {
    let cluster = start(3, 2).await;
    let nodes = cluster.callers();
    let culprit = "cut !!crash!! kite";
    let innocent = chats(&nodes, "innocent", 6, 100);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let caller = Caller::new(&declare::TEAMS[0]);
    let mut last = None;
    for index in 0..6 {
        last = Some(caller.chat(nodes[index % nodes.len()], culprit, 20).await.or_fail()?);
    }
    let last = last.or_fail()?;
    expect_that!(last.status.as_u16(), eq(422), "{}", last.body);
    expect_that!(last.outcome(), eq("not-run"));
    expect_that!(wrong(innocent, 100).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().crashes, le(MOST_CRASHES));
    expect_that!(wrong(chats(&nodes, "afterwards", 4, 20), 20).await, is_empty());
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_gets_no_new_work_and_comes_back() -> Result<()> {
    let cluster = start(4, 1).await;
    let nodes = cluster.callers();
    let host = cluster.environment.fleet().ready_heads().into_iter().find_map(|it| {
        let membership = it.membership?;
        (membership.members.first() == Some(&it.host)).then_some(it.host)
    });
    let host = host.or_fail()?;
    let slow = engine::control::Fault::Slow { host: host.clone(), factor: SLOW };
    cluster.environment.fleet().inject(&slow).await;
    let outliers = &cluster.node("a-0").state().outliers;
    let begun = Instant::now();
    while outliers.ejected().is_empty() && begun.elapsed() < EJECTION {
        expect_that!(wrong(chats(&nodes, "slow", 8, 4), 4).await, is_empty());
    }
    expect_that!(outliers.ejected().len(), eq(1));
    let count = || cluster.environment.fleet().counters().begun_by_host.get(&host).copied();
    let before = count();
    expect_that!(wrong(chats(&nodes, "else", 8, 4), 4).await, is_empty());
    expect_that!(count(), eq(before));
    expect_that!(cluster::wait(EJECTION, || outliers.ejected().is_empty()).await, eq(true));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_gets_no_new_work_and_is_not_cut_off() -> Result<()> {
    let cluster = start(2, 2).await;
    let nodes = cluster.callers();
    let running = chats(&nodes, "leaving", 6, LONG);
    let fleet = cluster.environment.fleet();
    let used = || busy_head(&cluster).is_some();
    expect_that!(cluster::wait(LIMIT, used).await, eq(true));
    let host = busy_head(&cluster).or_fail()?;
    let state = cuminward_core::host::State::Leaving;
    cluster
        .environment
        .host_list()
        .change_now(hosts::Change::SetState { host: host.clone(), state });
    tokio::time::sleep(LEAVING).await;
    let count = || fleet.counters().begun_by_host.get(&host).copied();
    let before = count();
    expect_that!(wrong(chats(&nodes, "later", 8, 8), 8).await, is_empty());
    expect_that!(count(), eq(before));
    expect_that!(wrong(running, LONG).await, is_empty());
    expect_that!(fleet.counters().cut_off, eq(0));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_engine_ends_what_its_caller_left() -> Result<()> {
    let cluster = start(1, 1).await;
    let running = chats(&cluster.callers(), &long(3), 3, LONG);
    let fleet = cluster.environment.fleet();
    let begun = || fleet.counters().begun_by_domain.values().sum::<u64>() == 3;
    expect_that!(cluster::wait(LIMIT, begun).await, eq(true));
    running.iter().for_each(|(_, it)| it.abort());
    let ended = || fleet.counters().cancelled + fleet.counters().abandoned == 3;
    expect_that!(cluster::wait(LIMIT, ended).await, eq(true), "{:?}", fleet.counters());
    let state = cluster.node("a-0").state();
    let free = || state.view.load().slots.values().all(|it| it.in_use() == 0);
    expect_that!(cluster::wait(LIMIT, free).await, eq(true));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_cuts_nothing_off() -> Result<()> {
    let mut cluster = start(2, 2).await;
    let running = chats(&cluster.callers(), "stop", 8, 150);
    let begun =
        || cluster.environment.fleet().counters().begun_by_domain.values().sum::<u64>() == 8;
    expect_that!(cluster::wait(LIMIT, begun).await, eq(true));
    let leaving = cluster.remove("a-0").or_fail()?;
    expect_that!(leaving.stop().await, eq(true));
    expect_that!(wrong(running, 150).await, is_empty());
    expect_that!(cluster.environment.fleet().counters().cut_off, eq(0));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_any_replica_are_refused_soon() -> Result<()> {
    let cluster = start(1, 1).await;
    let fabric: Vec<String> =
        cluster.environment.fleet().entries().into_iter().map(|it| it.host).collect();
    for host in fabric {
        cluster.environment.fleet().inject(&engine::control::Fault::Kill { host }).await;
    }
    let gone = || cluster.node("a-0").state().view.load().table.candidates().count() == 0;
    expect_that!(cluster::wait(LIMIT, gone).await, eq(true));
    let before = cluster.environment.fleet().counters().begun_by_domain;
    let begun = Instant::now();
    let caller = Caller::new(&declare::TEAMS[0]);
    let answer = caller.chat(cluster.callers()[0], "nobody", 8).await.or_fail()?;
    expect_that!(begun.elapsed(), lt(REFUSAL));
    expect_that!(answer.status.as_u16(), eq(503), "{}", answer.body);
    expect_that!(answer.outcome(), eq("not-run"));
    expect_that!(answer.headers.contains_key("retry-after"), eq(true));
    expect_that!(cluster.environment.fleet().counters().begun_by_domain, eq(&before));
    cluster.stop().await;
    Ok(())
}
