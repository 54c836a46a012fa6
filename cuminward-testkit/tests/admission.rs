//! Admission: how the nodes of a cluster share the slots of an upstream.

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

/// Concurrency limit of the only replica, in requests.
const SLOTS: u32 = 16;

/// Time within which the nodes have to hold all slots of a warm replica.
const GRANT_TIMEOUT: Duration = Duration::from_secs(8);

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
    cluster.wait_replicas(1, GRANT_TIMEOUT).await.or_fail()?;
    let callers = cluster.callers();
    let chats = (0..160).map(|index| {
        let node = callers[index % callers.len()];
        let caller = Caller::new(&declare::TEAMS[index % declare::TEAMS.len()]);
        tokio::spawn(async move { caller.chat(node, &format!("kite {index}"), 100).await })
    });
    let chats: Vec<_> = chats.collect();
    let peak = AtomicU32::new(0);
    let all_granted = cluster::wait(GRANT_TIMEOUT, || {
        SLOTS <= peak.fetch_max(slots_in_use(&cluster), Ordering::Relaxed)
    })
    .await;
    expect_that!(
        all_granted,
        eq(true),
        "at most {peak:?} of {SLOTS} slots were in use; owners: {}",
        describe_owners(&cluster)
    );
    for chat in chats {
        let response = chat.await.or_fail()?.or_fail()?;
        expect_that!(response.is_complete_chat(), eq(true), "{}", response.body);
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
    cluster.wait_replicas(1, GRANT_TIMEOUT).await.or_fail()?;
    for (old, new) in [("a-0", "a-2"), ("a-1", "a-3")] {
        cluster.add(new, "a").await.or_fail()?;
        cluster.wait_ready().await.or_fail()?;
        expect_that!(cluster.remove(old).or_fail()?.stop().await, eq(true));
        cluster.environment.remove_node(old);
    }
    let any_owner_has_all_nodes = || cluster.nodes().any(|(_, it)| owner_has_all_nodes(it));
    expect_that!(
        cluster::wait(GRANT_TIMEOUT, any_owner_has_all_nodes).await,
        eq(true),
        "{}",
        describe_owners(&cluster)
    );
    cluster.stop().await;
    Ok(())
}

/// Returns the number of slots in use at all nodes.
fn slots_in_use(cluster: &Cluster) -> u32 {
    let views = cluster.nodes().map(|(_, it)| it.state().view.load_full());
    views.map(|it| it.slots.values().map(|it| it.in_use()).sum::<u32>()).sum()
}

/// Returns whether a node owns the slots of the only replica and every node has joined its session.
fn owner_has_all_nodes(node: &cuminward_node::node::Node) -> bool {
    let state = node.state();
    let replicas = state.replicas.load();
    let Some(replica) = replicas.routable.first() else { return false };
    let upstream = admission::replica_upstream(&replica.group, replica.generation);
    state.admission().owner(&upstream).is_some_and(|it| it.all_joined())
}

/// Describes the admission state at the owner of the only replica.
fn describe_owners(cluster: &Cluster) -> String {
    let describe = |(name, node): (&String, &cuminward_node::node::Node)| {
        let state = node.state();
        let replicas = state.replicas.load();
        let replica = replicas.routable.first()?;
        let upstream = admission::replica_upstream(&replica.group, replica.generation);
        let admission = state.admission();
        let owner = admission.owner(&upstream)?;
        Some(format!(
            "{name}: limit {}, committed {}, all joined {}",
            owner.limit(state.now()),
            owner.committed(),
            owner.all_joined()
        ))
    };
    cluster.nodes().filter_map(describe).collect::<Vec<_>>().join("; ")
}
