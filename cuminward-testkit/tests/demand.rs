//! Nodes that begin without a slot get some when requests wait.

use std::{sync::atomic::Ordering, time::Duration};

use cuminward_standin::{engine, environment};
use cuminward_testkit::{
    caller::Caller,
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMING: Duration = Duration::from_secs(15);

/// Time within which a warm replica has to answer a few chats.
const ANSWERS: Duration = Duration::from_secs(5);

/// Limits of which less than one slot a node needs no grant.
const LIMITS: declare::Limits =
    declare::Limits { slots: 16, cold_slots: 2, warm_up: Duration::from_secs(1) };

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn waiting_requests_get_slots_of_every_node() -> Result<()> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", 4)],
            engine: engine::Options {
                slots: LIMITS.slots,
                cold_bound: LIMITS.cold_slots,
                warm_up: LIMITS.warm_up,
                ..engine::Options::default()
            },
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    let known = || cluster.nodes().all(|(_, it)| it.state().configured.load(Ordering::Acquire));
    expect_that!(cluster::wait(FORMING, known).await, eq(true));
    cluster.declare(1, 4, &LIMITS).await.or_fail()?;
    cluster.wait_replicas(1, FORMING).await.or_fail()?;
    tokio::time::sleep(LIMITS.warm_up).await;
    let nodes = cluster.callers();
    let chats = (0..16).map(|index| {
        let node = nodes[index % nodes.len()];
        let caller = Caller::new(&declare::TEAMS[0]);
        tokio::spawn(async move { caller.chat(node, &format!("kite {index}"), 64).await })
    });
    let answers = futures::future::join_all(chats.collect::<Vec<_>>());
    let answers = tokio::time::timeout(ANSWERS, answers).await.or_fail()?;
    for answer in answers {
        let answer = answer.or_fail()?.or_fail()?;
        expect_that!(answer.is_complete_chat(), eq(true), "{}", answer.body);
    }
    cluster.stop().await;
    Ok(())
}
