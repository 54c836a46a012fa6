//! Nodes that start without any slot of a replica are granted slots once requests wait there.

use std::{sync::atomic::Ordering, time::Duration};

use cuminward_standin::{engine, environment};
use cuminward_testkit::{
    caller::Caller,
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which a warm replica has to respond to all chats.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits that are so low that nodes may use less than one slot each without a grant.
const LIMITS: declare::Limits =
    declare::Limits { slots: 16, cold_slots: 2, warm_up: Duration::from_secs(1) };

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn every_node_is_granted_slots_for_waiting_requests() -> Result<()> {
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
    let all_configured =
        || cluster.nodes().all(|(_, it)| it.state().configured.load(Ordering::Acquire));
    expect_that!(cluster::wait(FORMATION_TIMEOUT, all_configured).await, eq(true));
    cluster.declare(1, 4, &LIMITS).await.or_fail()?;
    cluster.wait_replicas(1, FORMATION_TIMEOUT).await.or_fail()?;
    tokio::time::sleep(LIMITS.warm_up).await;
    let nodes = cluster.callers();
    let chats = (0..16).map(|index| {
        let node = nodes[index % nodes.len()];
        let caller = Caller::new(&declare::TEAMS[0]);
        tokio::spawn(async move { caller.chat(node, &format!("kite {index}"), 64).await })
    });
    let responses = futures::future::join_all(chats.collect::<Vec<_>>());
    let responses = tokio::time::timeout(RESPONSE_TIMEOUT, responses).await.or_fail()?;
    for response in responses {
        let response = response.or_fail()?.or_fail()?;
        expect_that!(response.is_complete_chat(), eq(true), "{}", response.body);
    }
    cluster.stop().await;
    Ok(())
}
