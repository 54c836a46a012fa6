//! What nodes know of each other in failure domains where they don't greet each other all the time.

use std::time::Duration;

use cuminward_node::{node, state};
use cuminward_operator::client;
use cuminward_standin::{environment, link};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Nodes of each failure domain; more than greet each other all the time.
const NODES: u32 = 14;

/// Time within which a node is found or lost everywhere in its failure domain.
const NOTICED: Duration = Duration::from_secs(3);

/// Longest time that a call takes whose answer is held back; what it brought may count until then.
const CUT: Duration = Duration::from_secs(1);

/// Time within which nodes find each other after a cut, the pause between attempts included.
const HEALED: Duration = Duration::from_secs(6);

/// Time within which an accepted change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Age beyond which another failure domain isn't trusted.
const FRESH: Duration = Duration::from_secs(2);

/// Time that nodes get to start.
const START: Duration = Duration::from_secs(10);

async fn start(views: bool) -> Result<Cluster> {
    let domains = ["a", "b"].map(|it| environment::Domain::new(it, "r", 0)).to_vec();
    let environment = environment::Options { domains, ..environment::Options::default() };
    let options =
        cluster::Options { environment, nodes_per_domain: NODES, views, ..Default::default() };
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
    state.peers.live_nodes(state).len()
}

/// Age of the newest word from another failure domain.
fn remote_age(state: &state::State) -> Duration {
    let known = state.peers.all();
    let remote = known.values().filter(|it| it.domain != state.settings.domain);
    let newest = remote.filter_map(|it| it.status.as_ref()).map(|it| it.at).max();
    newest.map_or(Duration::MAX, |it| state.now().saturating_sub(it))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn live_nodes_stay_live_and_other_domains_fresh() -> Result<()> {
    let cluster = start(false).await?;
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
    let mut cluster = start(false).await?;
    cluster.remove("a-3").or_fail()?.kill();
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
    let cluster = start(false).await?;
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

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_sides_of_a_healed_cut_find_each_other() -> Result<()> {
    let cluster = start(true).await?;
    let near: Vec<String> = (0..NODES).map(|it| format!("a-{it}")).collect();
    let (one, other) = near.split_at(near.len() / 2);
    let between = |change: fn(&link::Link)| {
        for (from, to) in one.iter().flat_map(|it| other.iter().map(move |other| (it, other))) {
            cluster.view(from).with_host(to, change);
            cluster.view(to).with_host(from, change);
        }
    };
    let all_see = |count: usize| near.iter().all(|it| live(cluster.node(it).state()) == count);
    between(link::Link::cut);
    verify_true!(cluster::wait(NOTICED + CUT, || all_see(one.len())).await)?;
    between(link::Link::heal);
    verify_true!(cluster::wait(HEALED, || all_see(near.len())).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_without_the_platform_follows_the_others() -> Result<()> {
    let cluster = start(true).await?;
    let near = || cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
    near().for_each(|(name, _)| cluster.view(name).cut_platform());
    let operator = client::OptionsBuilder::default()
        .endpoints(vec![format!("http://{}", cluster.node("b-0").addresses().operators)])
        .token(cluster::OPERATOR_TOKEN.to_owned())
        .build()
        .or_fail()?;
    let operator = client::Client::new(operator).or_fail()?;
    for number in 0..3 {
        let action = declare::domain(&format!("d{number}"), "r");
        let applied = operator.apply(format!("change-{number}"), None, action).await.or_fail()?;
        let follows = |it: &node::Node| it.state().catalog.load().revision >= applied.revision;
        verify_true!(cluster::wait(IN_FORCE, || cluster.nodes().all(|(_, it)| follows(it))).await)?;
    }
    Ok(())
}
