//! Configuration changes in clusters of real nodes with lost answers, restarts, log outages, log
//! trimming and network partitions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use cuminward_config::{fold, record};
use cuminward_core::{catalog, change, id};
use cuminward_node::{node, state};
use cuminward_operator::{client, server, status};
use cuminward_standin::{environment, log};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;

/// Time within which every node has to apply an accepted change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which every connected node has to learn that a domain was taken out of service.
const TAKE_OUT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which nodes have to become ready and a snapshot has to be written to the log.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Result that an operator gets for a submitted change.
type Answer = std::result::Result<server::Receipt, status::Error>;

async fn start(domains: &[&str], nodes_per_domain: u32, views: bool) -> Result<Cluster> {
    let domain = |it: &&str| environment::Domain::new(it, "r", 0);
    let domains = domains.iter().map(domain).collect();
    let environment = environment::Options { domains, ..environment::Options::default() };
    let options = cluster::Options { environment, nodes_per_domain, views, ..Default::default() };
    let cluster = Cluster::start(options).await.or_fail()?;
    verify_true!(wait_all(&cluster, START_TIMEOUT, |it| it.check_ready().is_ok()).await)?;
    Ok(cluster)
}

/// Waits until a condition holds at every node; returns whether it did within the limit.
async fn wait_all(
    cluster: &Cluster,
    limit: Duration,
    holds: impl Fn(&state::State) -> bool,
) -> bool {
    cluster::wait(limit, || cluster.nodes().all(|(_, it)| holds(it.state()))).await
}

fn revision(state: &state::State) -> id::Revision {
    state.catalog.load().revision
}

fn team(name: &str, in_flight: u32) -> change::Action {
    let keys = BTreeSet::new();
    change::Action::DeclareTeam(catalog::Team { name: name.to_owned(), keys, weight: 1, in_flight })
}

fn change_record(id: &str, action: change::Action) -> serde_json::Value {
    let (change, operator) = (id.to_owned(), "operator".to_owned());
    record::from_change(change::Record { change, operator, expected: None, action })
}

/// Creates an operator client that tries `nodes` in their order.
fn operator(nodes: &[&node::Node], rounds: u32) -> Result<client::Client> {
    let endpoints = nodes.iter().map(|it| format!("http://{}", it.addresses().operators));
    let options = client::OptionsBuilder::default()
        .endpoints(endpoints.collect::<Vec<_>>())
        .token(cluster::OPERATOR_TOKEN.to_owned())
        .rounds(rounds)
        .build()
        .or_fail()?;
    client::Client::new(options).or_fail()
}

/// Waits until the log holds a snapshot; returns whether it did in time.
async fn wait_snapshot(cluster: &Cluster) -> bool {
    let is_snapshot = |it: &serde_json::Value| it["kind"] == "snapshot";
    let log = cluster.environment.log();
    cluster::wait(START_TIMEOUT, || log.records(record::STREAM).iter().any(is_snapshot)).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_node_is_not_configured_before_it_has_read_the_whole_log() -> Result<()> {
    const RECORDS: u32 = 1_300;
    let mut cluster = start(&["a"], 0, false).await?;
    let log = cluster.environment.log();
    log.append(record::STREAM, change_record("domain", declare::domain("a", "r")));
    for number in 0..RECORDS {
        log.append(record::STREAM, change_record(&format!("c{number}"), team("t", 1 + number)));
    }
    log.append(record::STREAM, change_record("out", change::Action::TakeOut("a".to_owned())));
    log.inject(&log::Fault::Slow { delay_ms: Duration::from_millis(200) });
    cluster.add("a-0", "a").await.or_fail()?;
    let state = cluster.node("a-0").state();
    let is_configured = || state.configured.load(std::sync::atomic::Ordering::Acquire);
    let is_outdated = || is_configured() && state.catalog.load().in_service("a");
    let end = u64::from(RECORDS) + 2;
    verify_true!(cluster::wait(START_TIMEOUT, || is_outdated() || revision(state) >= end).await)?;
    verify_false!(is_outdated())?;
    verify_true!(cluster::wait(START_TIMEOUT, || state.check_ready().is_ok()).await)
}

/// Spawns a task that records the catalog revision of a node every 5 ms.
fn watch_revision(
    name: String,
    state: Arc<state::State>,
    revisions: Arc<Mutex<Revisions>>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            revisions.lock().expect("no holder panics").observe(&name, revision(&state));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

/// Highest catalog revision seen at each node, and each decrease as node, old and new revision.
#[derive(Default)]
struct Revisions {
    newest: BTreeMap<id::Node, id::Revision>,
    decreases: Vec<(id::Node, id::Revision, id::Revision)>,
}

impl Revisions {
    fn observe(&mut self, node: &str, revision: id::Revision) {
        let newest = self.newest.entry(node.to_owned()).or_default();
        // A restarted node has revision 0 until it has loaded the catalog.
        if 0 < revision && revision < *newest {
            self.decreases.push((node.to_owned(), *newest, revision));
        }
        *newest = revision.max(*newest);
    }
}

/// Returns a random change; some of these changes are invalid.
fn random_change(random: &mut Pcg64, number: u32) -> change::Action {
    match random.random_range(0..10) {
        0 => change::Action::TakeOut("nowhere".to_owned()),
        1 => change::Action::RemoveTeam(format!("t{}", random.random_range(0..4))),
        _ => team(&format!("t{}", random.random_range(0..4)), 1 + number),
    }
}

/// Returns whether the answer to an operator agrees with the outcome that replaying the log gives
/// for the change; `None` if the log has no record of the change.
fn matches_log(answer: &Answer, folded: Option<&fold::Outcome>) -> bool {
    match (answer, folded) {
        (Ok(applied), Some(fold::Outcome::Accepted { revision })) => applied.revision == *revision,
        (Err(status::Error::Conflict { change, .. }), Some(fold::Outcome::Conflict { with })) => {
            *change == with.change
        }
        (Err(status::Error::Invalid(_)), Some(fold::Outcome::Invalid { .. })) => true,
        (Err(status::Error::OutcomeUnknown(_)), _) => true,
        (Err(_), None) => true,
        _ => false,
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_changes_survive_lost_answers_and_restarts() -> Result<()> {
    const BATCHES: u32 = 50;
    const BATCH: u32 = 4;
    let mut random = Pcg64::seed_from_u64(7);
    let mut cluster = start(&["a", "b", "c"], 3, false).await?;
    let revisions = Arc::new(Mutex::new(Revisions::default()));
    let mut watches = BTreeMap::new();
    for (name, node) in cluster.nodes() {
        let watch = watch_revision(name.clone(), Arc::clone(node.state()), Arc::clone(&revisions));
        watches.insert(name.clone(), watch);
    }
    let names: Vec<id::Node> = cluster.nodes().map(|(name, _)| name.clone()).collect();
    let (mut answers, mut known_revision) = (Vec::new(), 0);
    for batch in 0..BATCHES {
        if random.random_ratio(1, 3) {
            let count = random.random_range(1..4);
            cluster.environment.log().inject(&log::Fault::LoseAnswers { count });
        }
        let mut changes = Vec::new();
        for number in batch * BATCH..(batch + 1) * BATCH {
            let mut nodes: Vec<&node::Node> = cluster.nodes().map(|(_, it)| it).collect();
            nodes.rotate_left(random.random_range(0..names.len()));
            let operator = operator(&nodes, 3)?;
            let expected = random.random_bool(0.5).then_some(known_revision);
            let action = random_change(&mut random, number);
            changes.push(tokio::spawn(async move {
                let id = format!("change-{number}");
                let answer = operator.apply(id.clone(), expected, action).await;
                (id, answer)
            }));
        }
        if random.random_ratio(1, 3) {
            let name = &names[random.random_range(0..names.len())];
            watches[name].abort();
            cluster.remove(name).or_fail()?.kill();
            cluster.add(name, &name[..1]).await.or_fail()?;
            let state = Arc::clone(cluster.node(name).state());
            watches
                .insert(name.clone(), watch_revision(name.clone(), state, Arc::clone(&revisions)));
        }
        for change in changes {
            let (id, answer) = change.await.or_fail()?;
            known_revision =
                answer.as_ref().map_or(known_revision, |it| known_revision.max(it.revision));
            answers.push((id, answer));
        }
        verify_true!(wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= known_revision).await)
            .with_failure_message(|| format!("batch {batch}"))?;
    }
    let mut fold = fold::Fold::default();
    let mut outcomes = BTreeMap::new();
    for (offset, value) in cluster.environment.log().records(record::STREAM).iter().enumerate() {
        let outcome = fold.apply(offset as id::Offset, value);
        if let Some(id) = value["change"].as_str() {
            outcomes.entry(id.to_owned()).or_insert(outcome);
        }
    }
    for (id, answer) in &answers {
        verify_true!(matches_log(answer, outcomes.get(id)))
            .with_failure_message(|| format!("{id}: {answer:?}, {:?}", outcomes.get(id)))?;
    }
    let count = |of: fn(&Answer) -> bool| answers.iter().filter(|(_, it)| of(it)).count();
    let accepted = count(|it| it.is_ok());
    let conflicts = count(|it| matches!(it, Err(status::Error::Conflict { .. })));
    let lost = cluster.environment.log().counters().lost_answers;
    verify_that!((accepted, conflicts, lost), (gt(50), gt(10), gt(10)))?;
    verify_true!(
        wait_all(&cluster, APPLY_TIMEOUT, |it| **it.catalog.load() == *fold.catalog()).await
    )?;
    verify_that!(revisions.lock().expect("no holder panics").decreases, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_cut_off_from_the_platform_receives_changes_from_its_peers() -> Result<()> {
    let cluster = start(&["a", "b"], 2, true).await?;
    cluster.view("a-0").cut_platform();
    let operator = operator(&[cluster.node("b-1")], 3)?;
    for number in 0..5 {
        let id = format!("change-{number}");
        let applied = operator.apply(id, None, team("t", 1 + number)).await.or_fail()?;
        verify_true!(
            wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= applied.revision).await
        )?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins() -> Result<()> {
    let cluster = start(&["a"], 2, false).await?;
    let first = operator(&[cluster.node("a-0")], 3)?;
    let second = operator(&[cluster.node("a-1")], 3)?;
    let mut known_revision = Some(0);
    for round in 0..20 {
        let ids = [format!("first-{round}"), format!("second-{round}")];
        let (one, other) = tokio::join!(
            first.apply(ids[0].clone(), known_revision, team("t", 1)),
            second.apply(ids[1].clone(), known_revision, team("t", 2)),
        );
        let (winner, error, applied) = match (one, other) {
            (Ok(applied), Err(error)) => (&ids[0], error, applied),
            (Err(error), Ok(applied)) => (&ids[1], error, applied),
            both => return fail!("expected exactly one accepted change, got {both:?}"),
        };
        let status::Error::Conflict { revision, change, .. } = error else {
            return fail!("expected a conflict, got {error}");
        };
        verify_that!((revision, &change), eq((applied.revision, winner)))?;
        known_revision = Some(applied.revision);
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_behind_a_trimmed_log_loads_a_snapshot() -> Result<()> {
    let cluster = start(&["a", "b"], 2, true).await?;
    let view = cluster.view("a-0");
    view.cut_platform();
    ["a", "b"].into_iter().for_each(|it| view.cut_domain(it));
    let slow = cluster.node("a-0").state();
    let held = revision(slow);
    let operator = operator(&[cluster.node("b-0"), cluster.node("b-1")], 3)?;
    for number in 0..20 {
        operator.apply(format!("c{number}"), None, team("t", 1 + number)).await.or_fail()?;
    }
    verify_true!(wait_snapshot(&cluster).await)?;
    let kept = cluster.environment.log().records(record::STREAM).len();
    cluster.environment.log().trim(record::STREAM, kept as u64);
    verify_true!(wait_snapshot(&cluster).await)?;
    verify_that!(revision(slow), eq(held))?;
    view.log().heal();
    let newest = revision(cluster.node("b-0").state());
    verify_true!(cluster::wait(APPLY_TIMEOUT, || revision(slow) >= newest).await)?;
    verify_that!(slow.catalog.load().teams["t"].in_flight, eq(20))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_replaced_during_a_log_outage_load_the_catalog_from_peers() -> Result<()> {
    let mut cluster = start(&["a", "b"], 2, false).await?;
    let applied = cluster.apply([team("t", 7)]).await.or_fail()?;
    verify_true!(wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= applied).await)?;
    cluster.environment.log().inject(&log::Fault::Down);
    replace(&mut cluster, &["a-0", "a-1"]).await?;
    let has_team = |it: &state::State| it.catalog.load().teams.contains_key("t");
    verify_true!(
        wait_all(&cluster, APPLY_TIMEOUT, |it| it.check_ready().is_ok() && has_team(it)).await
    )?;
    replace(&mut cluster, &["a-0", "a-1", "b-0", "b-1"]).await?;
    let any_ready = || cluster.nodes().any(|(_, it)| it.state().check_ready().is_ok());
    verify_false!(cluster::wait(Duration::from_secs(2), any_ready).await)?;
    cluster.environment.log().inject(&log::Fault::Up);
    verify_true!(
        wait_all(&cluster, APPLY_TIMEOUT, |it| it.check_ready().is_ok() && has_team(it)).await
    )
}

/// Kills nodes and then starts new ones under the same names.
async fn replace(cluster: &mut Cluster, names: &[&str]) -> Result<()> {
    let old: Vec<_> = names.iter().filter_map(|it| cluster.remove(it)).collect();
    old.into_iter().for_each(cluster::Member::kill);
    for name in names {
        cluster.add(name, &name[..1]).await.or_fail()?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_refused_during_a_log_outage_are_never_recorded() -> Result<()> {
    let cluster = start(&["a"], 2, false).await?;
    let applied = cluster.apply([team("t", 7)]).await.or_fail()?;
    verify_true!(wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= applied).await)?;
    cluster.environment.log().inject(&log::Fault::Down);
    let refused = cluster.operator().or_fail()?.apply("late".to_owned(), None, team("t", 8)).await;
    verify_that!(refused, err(matches_pattern!(status::Error::Unavailable(_))))?;
    verify_true!(
        wait_all(&cluster, APPLY_TIMEOUT, |it| it.catalog.load().teams["t"].in_flight == 7).await
    )?;
    cluster.environment.log().inject(&log::Fault::Up);
    let applied = cluster.apply([team("u", 1)]).await.or_fail()?;
    verify_true!(wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= applied).await)?;
    let records = cluster.environment.log().records(record::STREAM);
    verify_false!(records.iter().any(|it| it["change"] == "late"))
}

/// Network partition of the nodes of domain `a` while an operator takes `a` out of service through
/// a node of domain `b`.
struct Partition {
    name: &'static str,
    platform: bool,
    domains: &'static [&'static str],
    is_informed: bool,
}

const PARTITIONS: [Partition; 4] = [
    Partition { name: "from the platform", platform: true, domains: &[], is_informed: true },
    Partition {
        name: "from the other domains",
        platform: false,
        domains: &["b", "c"],
        is_informed: true,
    },
    Partition {
        name: "from the platform and b",
        platform: true,
        domains: &["b"],
        is_informed: true,
    },
    Partition {
        name: "from the platform and all domains",
        platform: true,
        domains: &["b", "c"],
        is_informed: false,
    },
];

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn taking_out_a_partitioned_domain_reaches_every_connected_node() -> Result<()> {
    futures::future::join_all(PARTITIONS.iter().map(check_take_out)).await.into_iter().collect()
}

async fn check_take_out(partition: &Partition) -> Result<()> {
    let cluster = start(&["a", "b", "c"], 2, true).await?;
    let domains = ["a", "b", "c"].map(|it| declare::domain(it, "r"));
    let declared = cluster.apply(domains).await.or_fail()?;
    verify_true!(wait_all(&cluster, APPLY_TIMEOUT, |it| revision(it) >= declared).await)?;
    cluster.nodes().for_each(|(name, _)| apply_partition(&cluster, name, partition));
    let operator = operator(&[cluster.node("b-0")], 3)?;
    let action = change::Action::TakeOut("a".to_owned());
    operator.apply("out".to_owned(), None, action).await.or_fail()?;
    let is_taken_out = |it: &state::State| !it.catalog.load().in_service("a");
    let is_connected = |name: &str| partition.is_informed || !name.starts_with("a-");
    let all_informed =
        || cluster.nodes().all(|(name, it)| !is_connected(name) || is_taken_out(it.state()));
    verify_true!(cluster::wait(TAKE_OUT_TIMEOUT, all_informed).await)
        .with_failure_message(|| partition.name.to_owned())?;
    if !partition.is_informed {
        let state = cluster.node("a-0").state();
        verify_true!(state.catalog.load().in_service("a") && state.check_ready().is_ok())?;
    }
    for (name, _) in cluster.nodes() {
        let view = cluster.view(name);
        view.heal_platform();
        ["a", "b", "c"].into_iter().for_each(|it| view.heal_domain(it));
    }
    verify_true!(wait_all(&cluster, APPLY_TIMEOUT, is_taken_out).await)
        .with_failure_message(|| format!("after healing the partition {}", partition.name))
}

/// Cuts the links of a node that cross the partition.
fn apply_partition(cluster: &Cluster, name: &str, partition: &Partition) {
    let view = cluster.view(name);
    if name.starts_with("a-") {
        partition.domains.iter().for_each(|it| view.cut_domain(it));
        if partition.platform {
            view.cut_platform();
        }
    } else if partition.domains.contains(&&name[..1]) {
        view.cut_domain("a");
    }
}
