//! Membership and propagation of state in failure domains that have too many nodes for each node to
//! exchange hellos with every other one all the time.

use std::time::Duration;

use cuminward_node::{node, state};
use cuminward_operator::client;
use cuminward_standin::{environment, link};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Number of nodes in each failure domain; more than exchange hellos with each other all the time.
const NODES: u32 = 14;

/// Time within which every node of a failure domain has to notice that a node started or was lost.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a call whose answer is held back. Until the call ends, the peer may still count as
/// live.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which nodes have to find each other after a partition heals, including the pause
/// between attempts.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Time within which every node has to apply an accepted change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Age beyond which the state of another failure domain isn't used.
const MAX_REMOTE_AGE: Duration = Duration::from_secs(2);

/// Time within which all nodes have to see each other after the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

async fn start(views: bool) -> Result<Cluster> {
    let domains = ["a", "b"].map(|it| environment::Domain::new(it, "r", 0)).to_vec();
    let environment = environment::Options { domains, ..environment::Options::default() };
    let options =
        cluster::Options { environment, nodes_per_domain: NODES, views, ..Default::default() };
    let cluster = Cluster::start(options).await.or_fail()?;
    let all_live = || every_node_sees(&cluster, NODES as usize);
    verify_true!(cluster::wait(START_TIMEOUT, all_live).await)?;
    Ok(cluster)
}

/// Returns whether every node sees exactly `count` live nodes in its failure domain.
fn every_node_sees(cluster: &Cluster, count: usize) -> bool {
    cluster.nodes().all(|(_, it)| live_count(it.state()) == count)
}

fn live_count(state: &state::State) -> usize {
    state.peers.live_nodes(state).len()
}

/// Returns the age of the newest status from another failure domain, or [`Duration::MAX`] if there
/// is none.
fn remote_age(state: &state::State) -> Duration {
    let known = state.peers.all();
    let remote = known.values().filter(|it| it.domain != state.settings.domain);
    let newest = remote.filter_map(|it| it.status.as_ref()).map(|it| it.at).max();
    newest.map_or(Duration::MAX, |it| state.now().saturating_sub(it))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_stay_live_and_the_state_of_other_domains_stays_fresh() -> Result<()> {
    let cluster = start(false).await?;
    tokio::time::sleep(MAX_REMOTE_AGE).await;
    let is_violated = || {
        let is_stale = |it: &node::Node| MAX_REMOTE_AGE < remote_age(it.state());
        !every_node_sees(&cluster, NODES as usize) || cluster.nodes().any(|(_, it)| is_stale(it))
    };
    verify_false!(cluster::wait(Duration::from_secs(6), is_violated).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_node_and_its_replacement_are_noticed_in_the_whole_domain() -> Result<()> {
    let mut cluster = start(false).await?;
    cluster.remove("a-3").or_fail()?.kill();
    let is_lost = || {
        let local = cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
        local.map(|(_, it)| live_count(it.state())).all(|it| it == NODES as usize - 1)
    };
    verify_true!(cluster::wait(NOTICE_TIMEOUT, is_lost).await)?;
    cluster.add("a-3", "a").await.or_fail()?;
    verify_true!(cluster::wait(NOTICE_TIMEOUT, || every_node_sees(&cluster, NODES as usize)).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retiring_group_is_announced_in_its_domain_and_expires() -> Result<()> {
    let cluster = start(false).await?;
    let steward = cluster.node("a-5").state();
    let until = steward.now() + Duration::from_secs(4);
    steward.retiring.add(steward.now(), "g".to_owned(), 1, until);
    let is_announced = |it: &state::State| !it.retiring.list(it.now()).is_empty();
    let all_informed = || {
        let mut local = cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
        local.all(|(_, it)| is_announced(it.state()))
    };
    verify_true!(cluster::wait(NOTICE_TIMEOUT, all_informed).await)?;
    let all_expired = || cluster.nodes().all(|(_, it)| !is_announced(it.state()));
    verify_true!(cluster::wait(Duration::from_secs(6), all_expired).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn both_sides_of_a_healed_partition_rejoin() -> Result<()> {
    let cluster = start(true).await?;
    let local: Vec<String> = (0..NODES).map(|it| format!("a-{it}")).collect();
    let (one, other) = local.split_at(local.len() / 2);
    let between = |change: fn(&link::Link)| {
        for (from, to) in one.iter().flat_map(|it| other.iter().map(move |other| (it, other))) {
            cluster.view(from).with_host(to, change);
            cluster.view(to).with_host(from, change);
        }
    };
    let all_see =
        |count: usize| local.iter().all(|it| live_count(cluster.node(it).state()) == count);
    between(link::Link::cut);
    verify_true!(cluster::wait(NOTICE_TIMEOUT + CALL_TIMEOUT, || all_see(one.len())).await)?;
    between(link::Link::heal);
    verify_true!(cluster::wait(REJOIN_TIMEOUT, || all_see(local.len())).await)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_cut_off_from_the_platform_receives_changes_from_other_domains() -> Result<()> {
    let cluster = start(true).await?;
    let local = || cluster.nodes().filter(|(name, _)| name.starts_with("a-"));
    local().for_each(|(name, _)| cluster.view(name).cut_platform());
    let operator = client::OptionsBuilder::default()
        .endpoints(vec![format!("http://{}", cluster.node("b-0").addresses().operators)])
        .token(cluster::OPERATOR_TOKEN.to_owned())
        .build()
        .or_fail()?;
    let operator = client::Client::new(operator).or_fail()?;
    for number in 0..3 {
        let action = declare::domain(&format!("d{number}"), "r");
        let applied = operator.apply(format!("change-{number}"), None, action).await.or_fail()?;
        let has_applied = |it: &node::Node| it.state().catalog.load().revision >= applied.revision;
        verify_true!(
            cluster::wait(APPLY_TIMEOUT, || cluster.nodes().all(|(_, it)| has_applied(it))).await
        )?;
    }
    Ok(())
}
