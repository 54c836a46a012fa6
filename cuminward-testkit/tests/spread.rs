//! What nodes know of each other in failure domains where they don't greet each other all the time.

use std::time::Duration;

use cuminward_node::{node, state};
use cuminward_standin::world;
use cuminward_testkit::cluster::{self, Cluster};
use googletest::prelude::*;

/// Nodes of each failure domain; more than greet each other all the time.
const NODES: u32 = 14;

/// Time within which a node is found or lost everywhere in its failure domain.
const NOTICED: Duration = Duration::from_secs(3);

/// Age beyond which another failure domain isn't trusted.
const FRESH: Duration = Duration::from_secs(2);

/// Time that nodes get to start.
const START: Duration = Duration::from_secs(10);

async fn start() -> Result<Cluster> {
    let domains = ["a", "b"].map(|it| world::Domain::new(it, "r", 0)).to_vec();
    let world = world::Options { domains, ..world::Options::default() };
    let options = cluster::Options { world, nodes_per_domain: NODES, ..Default::default() };
    let cluster = Cluster::start(options).await.or_fail()?;
    let all_live = || live_everywhere(&cluster, NODES as usize);
    verify_true!(cluster::wait(START, all_live).await)?;
    Ok(cluster)
}

/// Tells whether every node knows so many live nodes of its failure domain.
fn live_everywhere(cluster: &Cluster, count: usize) -> bool {
    cluster.nodes().all(|(_, it)| live(it.state()) == count)
}

fn live(state: &state::State) -> usize {
    state.peers.live(state).len()
}

/// Age of the newest word from another failure domain.
fn remote_age(state: &state::State) -> Duration {
    let known = state.peers.known();
    let remote = known.values().filter(|it| it.domain != state.settings.domain);
    let newest = remote.filter_map(|it| it.word.as_ref()).map(|it| it.at).max();
    newest.map_or(Duration::MAX, |it| state.now().saturating_sub(it))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn live_nodes_stay_live_and_other_domains_fresh() -> Result<()> {
    let cluster = start().await?;
    tokio::time::sleep(FRESH).await;
    let is_wrong = || {
        let is_old = |it: &node::Node| FRESH < remote_age(it.state());
        !live_everywhere(&cluster, NODES as usize) || cluster.nodes().any(|(_, it)| is_old(it))
    };
    verify_false!(cluster::wait(Duration::from_secs(6), is_wrong).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dead_node_is_lost_and_its_successor_found() -> Result<()> {
    let mut cluster = start().await?;
    cluster.take("a-3").or_fail()?.kill();
    let rest = || {
        let near = cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
        near.map(|(_, it)| live(it.state())).all(|it| it == NODES as usize - 1)
    };
    verify_true!(cluster::wait(NOTICED, rest).await)?;
    cluster.add("a-3", "a").await.or_fail()?;
    verify_true!(cluster::wait(NOTICED, || live_everywhere(&cluster, NODES as usize)).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retired_group_is_known_in_its_domain_and_forgotten() -> Result<()> {
    let cluster = start().await?;
    let steward = cluster.node("a-5").state();
    let until = steward.now() + Duration::from_secs(4);
    steward.retiring.add(steward.now(), "g".to_owned(), 1, until);
    let told = |it: &state::State| !it.retiring.list(it.now()).is_empty();
    let all_told = || {
        let mut near = cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
        near.all(|(_, it)| told(it.state()))
    };
    verify_true!(cluster::wait(NOTICED, all_told).await)?;
    let forgotten = || cluster.nodes().all(|(_, it)| !told(it.state()));
    verify_true!(cluster::wait(Duration::from_secs(6), forgotten).await)
}
