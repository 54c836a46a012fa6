//! Groups of hosts while members, stewards, fabric domains and the log fail.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cuminward_core::{host, id};
use cuminward_node::{node, settings};
use cuminward_standin::{
    engine::{self, control::Fault},
    environment, log, view, weights,
};
use cuminward_testkit::{
    caller,
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Failure domain of the tests.
const DOMAIN: &str = "a";

/// Hosts of each replica.
const SIZE: u32 = 3;

/// Length of the steward's lease.
const LEASE: Duration = Duration::from_millis(1_500);

/// Time within which the first replicas have to be formed.
const FORMING: Duration = Duration::from_secs(15);

/// Time within which a replica has to be back where hosts enforce fencing.
const BACK: Duration = Duration::from_secs(15);

/// Added to [`BACK`] where hosts ignore fencing: two leases, and the longest time of an order twice.
const CAUTION: Duration = Duration::from_secs(13);

/// Tokens of each reply under load.
const TOKENS: u32 = 20;

/// Time within which every node of a domain that divides the probes has to notice a loss.
const HEARD: Duration = Duration::from_secs(3);

/// Tokens of a reply that takes longer than the nodes need to hear of a retirement.
const LONG: u32 = 1_000;

/// Time within which a replica with a dead member may receive no new request.
const OUT: Duration = Duration::from_secs(1);

/// Whether the hosts of a scene enforce fencing.
const KINDS: [Kind; 2] = [
    Kind { name: "enforcing", fencing: true, back: BACK },
    Kind {
        name: "ignoring",
        fencing: false,
        back: Duration::from_secs(BACK.as_secs() + CAUTION.as_secs()),
    },
];

/// A kind of host.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    fencing: bool,
    back: Duration,
}

/// What a cluster consists of.
#[derive(Debug, Clone, Copy)]
struct Scene {
    fencing: bool,
    nodes: u32,
    fabrics: u32,
    hosts: u32,
    replicas: u32,
    loss_notice: Duration,
    weights: u64,
}

impl Default for Scene {
    fn default() -> Scene {
        Scene {
            fencing: true,
            nodes: 3,
            fabrics: 1,
            hosts: 7,
            replicas: 2,
            loss_notice: Duration::from_millis(200),
            weights: 20_000_000,
        }
    }
}

impl Scene {
    fn options(&self) -> cluster::Options {
        let domain = environment::Domain {
            fabrics: self.fabrics,
            fencing: self.fencing,
            ..environment::Domain::new(DOMAIN, "r", self.hosts)
        };
        let loss_notice = self.loss_notice;
        let store = weights::Options { default_bytes: self.weights, ..weights::Options::default() };
        cluster::Options {
            environment: environment::Options {
                domains: vec![domain],
                engine: engine::Options { loss_notice, ..engine::Options::default() },
                weights: store,
                ..environment::Options::default()
            },
            nodes_per_domain: self.nodes,
            timing: settings::Timing {
                probe: Duration::from_millis(100),
                freshness: Duration::from_millis(700),
                listing: Duration::from_millis(200),
                lease: LEASE,
            },
            ..cluster::Options::default()
        }
    }

    /// Starts the cluster without waiting for replicas.
    async fn open(&self) -> Cluster {
        let _ = env_logger::try_init();
        Cluster::start(self.options()).await.expect("loopback ports are free")
    }

    async fn declare(&self, cluster: &Cluster) {
        let limits = declare::Limits::default();
        cluster.declare(self.replicas, SIZE, &limits).await.expect("declarations are right");
    }

    /// Starts the cluster and waits until all replicas are whole.
    async fn start(&self) -> Cluster {
        let cluster = self.open().await;
        self.declare(&cluster).await;
        let count = self.replicas as usize;
        cluster.wait_replicas(count, FORMING).await.expect("the hosts suffice");
        cluster
    }
}

/// Node that wrote the newest claim.
fn steward(cluster: &Cluster) -> Option<id::Node> {
    let records = cluster.environment.log().records(&format!("steward.{DOMAIN}"));
    let claim = records.into_iter().rfind(|it| it["kind"] == "claim")?;
    claim["node"].as_str().map(ToOwned::to_owned)
}

fn reports(cluster: &Cluster) -> Vec<host::Report> {
    let fleet = cluster.environment.fleet();
    fleet.entries().iter().filter_map(|it| fleet.report(&it.host)).collect()
}

/// Members of routable replicas at a node.
fn members(cluster: &Cluster) -> BTreeSet<id::Host> {
    let (_, node) = cluster.nodes().next().expect("the cluster has nodes");
    let replicas = node.state().replicas.load();
    replicas.routable.iter().flat_map(|it| it.members.clone()).collect()
}

/// Tells whether no host holds a formation that isn't part of a ready group.
fn settled(cluster: &Cluster) -> bool {
    reports(cluster)
        .iter()
        .filter_map(|it| it.membership.as_ref())
        .all(|it| it.phase == host::Phase::Ready)
}

/// The invariants that no failure may break.
fn check(cluster: &Cluster, kind: &str) {
    let counters = cluster.environment.fleet().counters();
    expect_that!(counters.host_in_two_groups, eq(0), "{kind}");
    expect_that!(counters.claimed_twice, eq(0), "{kind}");
    expect_that!(counters.partial_answers, eq(0), "{kind}");
}

/// Waits until a node notices that a replica isn't whole.
async fn lost(cluster: &Cluster, count: u32, kind: &str) {
    let less = |it: &node::Node| it.state().replicas.load().routable.len() < count as usize;
    let lost = || cluster.nodes().any(|it| less(it.1));
    expect_that!(cluster::wait(BACK, lost).await, eq(true), "{kind}: the loss wasn't noticed");
}

async fn back(cluster: &Cluster, count: u32, limit: Duration, kind: &str) {
    let begun = Instant::now();
    let back = cluster.wait_replicas(count as usize, limit).await;
    let seen = reports(cluster);
    expect_that!(back.is_ok(), eq(true), "{kind}: after {:?}: {seen:?}", begun.elapsed());
    ::log::info!("{kind}: replicas were back after {:?}", begun.elapsed());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn steward_killed_between_orders_of_one_group() -> Result<()> {
    for kind in KINDS {
        let scene = Scene { fencing: kind.fencing, hosts: 3, replicas: 1, ..Scene::default() };
        let mut cluster = scene.open().await;
        let last = format!("{DOMAIN}-f0-h0");
        let delay_ms = Duration::from_millis(800);
        let fleet = cluster.environment.fleet();
        fleet.inject(&Fault::DelayOrders { host: last.clone(), delay_ms }).await;
        scene.declare(&cluster).await;
        let formed = |it: &host::Report| it.membership.is_some();
        let some = || reports(&cluster).iter().any(formed);
        expect_that!(cluster::wait(FORMING, some).await, eq(true), "{}", kind.name);
        expect_that!(reports(&cluster).iter().all(formed), eq(false), "{}", kind.name);
        let steward = steward(&cluster).or_fail()?;
        cluster.remove(&steward).or_fail()?.kill();
        cluster.environment.remove_node(&steward);
        // The last order never arrives.
        cluster.environment.fleet().inject(&Fault::Restart { host: last }).await;
        back(&cluster, 1, kind.back, kind.name).await;
        check(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

/// A node whose paths can be cut, and its view.
struct Viewed {
    member: cluster::Member,
    view: view::View,
}

impl Viewed {
    async fn start(cluster: &Cluster) -> Viewed {
        let view = cluster.environment.start_view().await.expect("loopback ports are free");
        let mut settings = cluster.settings("viewed", DOMAIN);
        settings.platform = settings::Platform {
            log: view.log_address().to_string(),
            hosts: view.hosts_address().to_string(),
            weights: view.weights_address().to_string(),
            ..settings.platform
        };
        let member = cluster::Member::start(settings).await.expect("the settings are right");
        let address = member.node().addresses().peers.to_string();
        cluster.environment.add_node(environment::node_entry("viewed", DOMAIN, &address));
        Viewed { member, view }
    }

    fn cut(&self) {
        self.view.cut_platform();
        self.view.cut_domain(DOMAIN);
    }

    fn heal(&self) {
        self.view.heal_platform();
        self.view.heal_domain(DOMAIN);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn steward_cut_off_past_its_lease_beside_its_successor() -> Result<()> {
    for kind in KINDS {
        let scene = Scene { fencing: kind.fencing, nodes: 1, ..Scene::default() };
        let mut cluster = scene.start().await;
        let viewed = Viewed::start(&cluster).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        expect_that!(cluster.remove("a-0").or_fail()?.stop().await, eq(true));
        let held = || steward(&cluster).as_deref() == Some("viewed");
        expect_that!(cluster::wait(BACK, held).await, eq(true), "{}", kind.name);
        cluster.add("a-1", DOMAIN).await.or_fail()?;
        back(&cluster, scene.replicas, FORMING, kind.name).await;
        // The steward has orders under way when it is cut off.
        let fleet = cluster.environment.fleet();
        for entry in fleet.entries() {
            let delay_ms = Duration::from_millis(600);
            fleet.inject(&Fault::DelayOrders { host: entry.host, delay_ms }).await;
        }
        let victim = members(&cluster).into_iter().next().or_fail()?;
        fleet.inject(&Fault::Restart { host: victim }).await;
        lost(&cluster, scene.replicas, kind.name).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        viewed.cut();
        back(&cluster, scene.replicas, kind.back, kind.name).await;
        expect_that!(steward(&cluster).as_deref(), some(eq("a-1")), "{}", kind.name);
        viewed.heal();
        tokio::time::sleep(LEASE * 2).await;
        back(&cluster, scene.replicas, kind.back, kind.name).await;
        check(&cluster, kind.name);
        viewed.member.kill();
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn member_dies_while_the_log_is_away() -> Result<()> {
    for kind in KINDS {
        let scene = Scene { fencing: kind.fencing, ..Scene::default() };
        let cluster = scene.start().await;
        cluster.environment.log().inject(&log::Fault::Down);
        tokio::time::sleep(LEASE * 2).await;
        let host = members(&cluster).into_iter().next().or_fail()?;
        let before = cluster.environment.fleet().counters().orders_accepted;
        cluster.environment.fleet().inject(&Fault::Kill { host }).await;
        lost(&cluster, scene.replicas, kind.name).await;
        if kind.fencing {
            back(&cluster, scene.replicas, kind.back, "enforcing, log away").await;
        } else {
            tokio::time::sleep(LEASE * 4).await;
            let after = cluster.environment.fleet().counters().orders_accepted;
            expect_that!(after, eq(before), "no order without a lease");
            expect_that!(cluster.wait_replicas(1, OUT).await.is_ok(), eq(true));
        }
        cluster.environment.log().inject(&log::Fault::Up);
        back(&cluster, scene.replicas, kind.back, kind.name).await;
        check(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_after_their_effect() -> Result<()> {
    for kind in KINDS {
        let scene = Scene { fencing: kind.fencing, ..Scene::default() };
        let cluster = scene.open().await;
        cluster.environment.log().inject(&log::Fault::LoseAnswers { count: 4 });
        let fleet = cluster.environment.fleet();
        for entry in fleet.entries() {
            fleet.inject(&Fault::LoseOrderAnswers { host: entry.host, count: 2 }).await;
        }
        scene.declare(&cluster).await;
        // Two lost answers to orders of each host take the longest time of an order each.
        back(&cluster, scene.replicas, kind.back + Duration::from_secs(10), kind.name).await;
        check(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fabric_domain_goes_dark_and_comes_back() -> Result<()> {
    // One host's part takes 0.2 s alone.
    let weights = 200_000_000;
    let scene = Scene { fabrics: 2, hosts: 9, replicas: 4, weights, ..Scene::default() };
    let cluster = scene.start().await;
    let before = cluster.environment.weights().counters();
    let fabric = format!("{DOMAIN}-f0");
    let fleet = cluster.environment.fleet();
    fleet.inject(&Fault::KillFabric { fabric: fabric.clone() }).await;
    let left = || cluster.nodes().all(|it| it.1.state().replicas.load().routable.len() < 4);
    expect_that!(cluster::wait(BACK, left).await, eq(true));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let dark = cluster.environment.weights().counters();
    expect_that!(dark.fetches, eq(before.fetches), "repair is held back while the domain is dark");
    fleet.inject(&Fault::RestartFabric { fabric }).await;
    back(&cluster, scene.replicas, BACK, "fabric").await;
    let after = cluster.environment.weights().counters();
    expect_that!(after.fetches - before.fetches, le(9), "at most one load for each host");
    check(&cluster, "fabric");
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn host_returns_holding_its_old_group() -> Result<()> {
    for kind in KINDS {
        let scene = Scene { fencing: kind.fencing, ..Scene::default() };
        let cluster = scene.start().await;
        let host = members(&cluster).into_iter().next().or_fail()?;
        let fleet = cluster.environment.fleet();
        let old = fleet.report(&host).or_fail()?.membership.or_fail()?;
        fleet.inject(&Fault::Pause { host: host.clone() }).await;
        let replaced = || members(&cluster).len() == 6 && !members(&cluster).contains(&host);
        expect_that!(cluster::wait(kind.back, replaced).await, eq(true), "{}", kind.name);
        let held = fleet.report(&host).or_fail()?.membership.or_fail()?;
        expect_that!(held.generation, eq(old.generation), "{}", kind.name);
        fleet.inject(&Fault::Resume { host: host.clone() }).await;
        let free = || fleet.report(&host).is_some_and(|it| it.membership.is_none());
        expect_that!(cluster::wait(BACK, free).await, eq(true), "{}", kind.name);
        expect_that!(settled(&cluster), eq(true), "{}", kind.name);
        back(&cluster, scene.replicas, BACK, kind.name).await;
        check(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

/// Calls every node for a while, one request after the other at each.
async fn call(nodes: Vec<SocketAddr>, time: Duration) -> Vec<Result<caller::Response, String>> {
    let end = Instant::now() + time;
    let callers = nodes.into_iter().map(|node| async move {
        let caller = caller::Caller::new(&declare::TEAMS[0]);
        let mut answers = Vec::new();
        while Instant::now() < end {
            answers.push(caller.chat(node, "kite", TOKENS).await);
        }
        answers
    });
    futures::future::join_all(callers).await.concat()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn member_dies_under_load() -> Result<()> {
    // The head of a group notices the loss at once, or never by itself: then the nodes have to.
    let cases = [("noticed", Duration::ZERO), ("unnoticed", Duration::from_secs(60))];
    for (kind, loss_notice) in cases {
        let scene = Scene { loss_notice, ..Scene::default() };
        let cluster = scene.start().await;
        let load = tokio::spawn(call(cluster.callers(), Duration::from_secs(8)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let fleet = cluster.environment.fleet();
        let replica = cluster.node("a-0").state().replicas.load().routable[0].clone();
        let host = replica.members.last().or_fail()?.clone();
        fleet.inject(&Fault::Kill { host }).await;
        lost(&cluster, scene.replicas, kind).await;
        tokio::time::sleep(OUT).await;
        let noticed = fleet.counters();
        back(&cluster, scene.replicas, BACK, kind).await;
        for answer in load.await.or_fail()? {
            let answer = answer.or_fail()?;
            let good = answer.is_complete_chat() || answer.outcome() == "not-run";
            expect_that!(good, eq(true), "{kind}: {answer:?}");
        }
        let counters = fleet.counters();
        ::log::info!(
            "{kind}: {} begun, {} answered partially",
            counters.partial_begun,
            counters.partial_answers
        );
        // Without help of the engines, what the nodes can bound is the time.
        let allowed = if loss_notice.is_zero() { 0 } else { noticed.partial_answers };
        expect_that!(counters.partial_begun, eq(noticed.partial_begun), "{kind}");
        expect_that!(counters.partial_answers, eq(allowed), "{kind}");
        expect_that!(counters.host_in_two_groups, eq(0), "{kind}");
        expect_that!(counters.claimed_twice, eq(0), "{kind}");
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn retiring_group_is_released_once_it_runs_nothing() -> Result<()> {
    let scene = Scene { hosts: 6, ..Scene::default() };
    let cluster = scene.start().await;
    let chats = cluster.callers().into_iter().map(|node| async move {
        let caller = caller::Caller::new(&declare::TEAMS[0]);
        caller.chat(node, "a long tail", LONG).await
    });
    let chats = tokio::spawn(futures::future::join_all(chats));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let begun = Instant::now();
    Scene { replicas: 1, ..scene }.declare(&cluster).await;
    let free = || reports(&cluster).iter().filter(|it| it.membership.is_none()).count() == 3;
    expect_that!(cluster::wait(BACK, free).await, eq(true), "well before the bound of 30 s");
    ::log::info!("retiring: released after {:?}", begun.elapsed());
    for answer in chats.await.or_fail()? {
        let answer = answer.or_fail()?;
        let good = answer.is_complete_chat() || answer.outcome() == "not-run";
        expect_that!(good, eq(true), "{answer:?}");
    }
    let counters = cluster.environment.fleet().counters();
    expect_that!(counters.cut_off, eq(0), "the release cut requests off");
    check(&cluster, "retiring");
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_divide_the_probes_notice_losses_and_raise_no_alarm() -> Result<()> {
    let scene = Scene { nodes: 5, ..Scene::default() };
    let mut cluster = scene.start().await;
    // All nodes have to hear of each other before they divide the probes.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // A prober dies: the other prober of its hosts confirms them until they are divided anew.
    cluster.remove("a-4").or_fail()?.kill();
    let count = |it: &node::Node| it.state().replicas.load().routable.len();
    let fewer = || cluster.nodes().any(|it| count(it.1) < scene.replicas as usize);
    expect_that!(cluster::wait(Duration::from_secs(4), fewer).await, eq(false), "false alarm");
    let host = members(&cluster).into_iter().next().or_fail()?;
    cluster.environment.fleet().inject(&Fault::Kill { host }).await;
    let noticed = || cluster.nodes().all(|it| count(it.1) < scene.replicas as usize);
    expect_that!(cluster::wait(HEARD, noticed).await, eq(true), "all nodes notice");
    back(&cluster, scene.replicas, BACK, "divided").await;
    check(&cluster, "divided");
    cluster.stop().await;
    Ok(())
}
