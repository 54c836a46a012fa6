//! Slots of upstreams, over all nodes together.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use cuminward_route::admission;
use cuminward_standin::environment;
use cuminward_testkit::{
    caller::Caller,
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Requests that the only replica runs at the same time.
const SLOTS: u32 = 16;

/// Time within which busy nodes have to have all slots of a warm replica.
const GRANTS: Duration = Duration::from_secs(8);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn busy_nodes_get_all_slots_of_a_warm_replica() -> Result<()> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", 4)],
            ..environment::Options::default()
        },
        nodes_per_domain: 3,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.or_fail()?;
    let limits = declare::Limits { slots: SLOTS, ..declare::Limits::default() };
    cluster.declare(1, 4, &limits).await.or_fail()?;
    cluster.wait_replicas(1, GRANTS).await.or_fail()?;
    let callers = cluster.callers();
    let chats = (0..160).map(|index| {
        let node = callers[index % callers.len()];
        let caller = Caller::new(&declare::TEAMS[index % declare::TEAMS.len()]);
        tokio::spawn(async move { caller.chat(node, &format!("kite {index}"), 100).await })
    });
    let chats: Vec<_> = chats.collect();
    let most = AtomicU32::new(0);
    let all =
        cluster::wait(GRANTS, || SLOTS <= most.fetch_max(used(&cluster), Ordering::Relaxed)).await;
    expect_that!(all, eq(true), "{most:?} slots were in use; {}", owners(&cluster));
    for chat in chats {
        let answer = chat.await.or_fail()?.or_fail()?;
        expect_that!(answer.is_complete_chat(), eq(true), "{}", answer.body);
    }
    expect_that!(cluster.environment.fleet().counters().cold_overruns, eq(0));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_granted_right_after_a_regular_replacement() -> Result<()> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", 4)],
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        ..cluster::Options::default()
    };
    let mut cluster = Cluster::start(options).await.or_fail()?;
    let limits = declare::Limits { slots: SLOTS, ..declare::Limits::default() };
    cluster.declare(1, 4, &limits).await.or_fail()?;
    cluster.wait_replicas(1, GRANTS).await.or_fail()?;
    for (old, new) in [("a-0", "a-2"), ("a-1", "a-3")] {
        cluster.add(new, "a").await.or_fail()?;
        cluster.wait_ready().await.or_fail()?;
        expect_that!(cluster.remove(old).or_fail()?.stop().await, eq(true));
        cluster.environment.remove_node(old);
    }
    let informed = || cluster.nodes().any(|(_, it)| is_informed(it));
    expect_that!(cluster::wait(GRANTS, informed).await, eq(true), "{}", owners(&cluster));
    cluster.stop().await;
    Ok(())
}

/// Slots that all nodes use.
fn used(cluster: &Cluster) -> u32 {
    let views = cluster.nodes().map(|(_, it)| it.state().view.load_full());
    views.map(|it| it.slots.values().map(|it| it.in_use()).sum::<u32>()).sum()
}

/// Tells whether a node owns the only replica and knows what all nodes hold.
fn is_informed(node: &cuminward_node::node::Node) -> bool {
    let state = node.state();
    let replicas = state.replicas.load();
    let Some(replica) = replicas.routable.first() else { return false };
    let upstream = admission::replica_upstream(&replica.group, replica.generation);
    state.admission().owner(&upstream).is_some_and(|it| it.all_joined())
}

/// What the owner of the only replica knows.
fn owners(cluster: &Cluster) -> String {
    let describe = |(name, node): (&String, &cuminward_node::node::Node)| {
        let state = node.state();
        let replicas = state.replicas.load();
        let replica = replicas.routable.first()?;
        let upstream = admission::replica_upstream(&replica.group, replica.generation);
        let admission = state.admission();
        let owner = admission.owner(&upstream)?;
        Some(format!(
            "{name}: limit {}, committed {}, informed {}",
            owner.limit(state.now()),
            owner.committed(),
            owner.all_joined()
        ))
    };
    cluster.nodes().filter_map(describe).collect::<Vec<_>>().join("; ")
}
