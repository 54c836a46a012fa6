//! Forming and repairing groups of hosts while members, stewards, fabric domains and the log fail.

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

/// Failure domain that all hosts and nodes belong to.
const DOMAIN: &str = "a";

/// Number of hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 3;

/// Duration of the steward's lease.
const LEASE: Duration = Duration::from_millis(1_500);

/// Time within which the first replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which a replica has to be repaired where hosts enforce fencing.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(15);

/// Added to [`REPAIR_TIMEOUT`] where hosts ignore fencing: two leases plus twice the longest
/// duration of an order.
const UNFENCED_DELAY: Duration = Duration::from_secs(13);

/// Length of each reply under load, in tokens.
const TOKENS: u32 = 20;

/// Time within which all nodes have to notice a lost host when each of them probes only a part of
/// the hosts.
const LOSS_NOTICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of a reply, in tokens, that takes longer than the nodes need to learn that its group
/// retires.
const LONG_REPLY: u32 = 1_000;

/// Time after which a replica with a dead member must not receive new requests.
const UNROUTABLE_DELAY: Duration = Duration::from_secs(1);

/// Hosts that enforce fencing and hosts that ignore it.
const HOST_KINDS: [HostKind; 2] = [
    HostKind { name: "enforcing", fencing: true, repair_timeout: REPAIR_TIMEOUT },
    HostKind {
        name: "ignoring",
        fencing: false,
        repair_timeout: Duration::from_secs(REPAIR_TIMEOUT.as_secs() + UNFENCED_DELAY.as_secs()),
    },
];

/// Whether hosts enforce fencing, and the time within which replicas have to be repaired then.
#[derive(Debug, Clone, Copy)]
struct HostKind {
    name: &'static str,
    fencing: bool,
    repair_timeout: Duration,
}

/// Composition of a cluster under test.
#[derive(Debug, Clone, Copy)]
struct Setup {
    fencing: bool,
    nodes: u32,
    fabrics: u32,
    hosts: u32,
    replicas: u32,
    loss_notice: Duration,
    weight_bytes: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            fencing: true,
            nodes: 3,
            fabrics: 1,
            hosts: 7,
            replicas: 2,
            loss_notice: Duration::from_millis(200),
            weight_bytes: 20_000_000,
        }
    }
}

impl Setup {
    fn options(&self) -> cluster::Options {
        let domain = environment::Domain {
            fabrics: self.fabrics,
            fencing: self.fencing,
            ..environment::Domain::new(DOMAIN, "r", self.hosts)
        };
        let loss_notice = self.loss_notice;
        let store =
            weights::Options { default_bytes: self.weight_bytes, ..weights::Options::default() };
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

    /// Starts the cluster without declaring a model, so that no replica forms yet.
    async fn start_undeclared(&self) -> Cluster {
        let _ = env_logger::try_init();
        Cluster::start(self.options()).await.expect("loopback ports are free")
    }

    async fn declare(&self, cluster: &Cluster) {
        let limits = declare::Limits::default();
        cluster
            .declare(self.replicas, HOSTS_PER_REPLICA, &limits)
            .await
            .expect("the declarations are valid");
    }

    /// Starts the cluster, declares the model and waits until all replicas are routable.
    async fn start(&self) -> Cluster {
        let cluster = self.start_undeclared().await;
        self.declare(&cluster).await;
        let count = self.replicas as usize;
        cluster.wait_replicas(count, FORMATION_TIMEOUT).await.expect("the hosts form replicas");
        cluster
    }
}

/// Returns the node that wrote the newest steward claim to the log.
fn steward_node(cluster: &Cluster) -> Option<id::Node> {
    let records = cluster.environment.log().records(&format!("steward.{DOMAIN}"));
    let claim = records.into_iter().rfind(|it| it["kind"] == "claim")?;
    claim["node"].as_str().map(ToOwned::to_owned)
}

fn reports(cluster: &Cluster) -> Vec<host::Report> {
    let fleet = cluster.environment.fleet();
    fleet.entries().iter().filter_map(|it| fleet.report(&it.host)).collect()
}

/// Returns the members of all replicas that the first node can route to.
fn routable_members(cluster: &Cluster) -> BTreeSet<id::Host> {
    let (_, node) = cluster.nodes().next().expect("the cluster has nodes");
    let replicas = node.state().replicas.load();
    replicas.routable.iter().flat_map(|it| it.members.clone()).collect()
}

/// Returns whether every host that belongs to a group is ready in it.
fn all_memberships_ready(cluster: &Cluster) -> bool {
    reports(cluster)
        .iter()
        .filter_map(|it| it.membership.as_ref())
        .all(|it| it.phase == host::Phase::Ready)
}

/// Checks that no host was in two groups and that no replica replied while a member was missing.
fn check_invariants(cluster: &Cluster, kind: &str) {
    let counters = cluster.environment.fleet().counters();
    expect_that!(counters.host_in_two_groups, eq(0), "{kind}");
    expect_that!(counters.claimed_twice, eq(0), "{kind}");
    expect_that!(counters.partial_answers, eq(0), "{kind}");
}

/// Waits until a node has fewer than `count` routable replicas; fails the test if that takes longer
/// than [`REPAIR_TIMEOUT`].
async fn wait_for_loss(cluster: &Cluster, count: u32, kind: &str) {
    let lacks_replica =
        |it: &node::Node| it.state().replicas.load().routable.len() < count as usize;
    let noticed = || cluster.nodes().any(|it| lacks_replica(it.1));
    expect_that!(
        cluster::wait(REPAIR_TIMEOUT, noticed).await,
        eq(true),
        "{kind}: no node noticed the loss"
    );
}

/// Waits until every node has `count` routable replicas, and checks that this takes at most `limit`.
async fn wait_for_repair(cluster: &Cluster, count: u32, limit: Duration, kind: &str) {
    let started = Instant::now();
    let repaired = cluster.wait_replicas(count as usize, limit).await;
    let reports = reports(cluster);
    expect_that!(
        repaired.is_ok(),
        eq(true),
        "{kind}: replicas not repaired after {:?}, host reports: {reports:?}",
        started.elapsed()
    );
    ::log::info!("{kind}: replicas were repaired after {:?}", started.elapsed());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_forms_after_the_steward_is_killed_between_its_orders() -> Result<()> {
    for kind in HOST_KINDS {
        let setup = Setup { fencing: kind.fencing, hosts: 3, replicas: 1, ..Setup::default() };
        let mut cluster = setup.start_undeclared().await;
        let last_host = format!("{DOMAIN}-f0-h0");
        let delay_ms = Duration::from_millis(800);
        let fleet = cluster.environment.fleet();
        fleet.inject(&Fault::DelayOrders { host: last_host.clone(), delay_ms }).await;
        setup.declare(&cluster).await;
        let has_group = |it: &host::Report| it.membership.is_some();
        let any_has_group = || reports(&cluster).iter().any(has_group);
        expect_that!(
            cluster::wait(FORMATION_TIMEOUT, any_has_group).await,
            eq(true),
            "{}",
            kind.name
        );
        expect_that!(reports(&cluster).iter().all(has_group), eq(false), "{}", kind.name);
        let steward = steward_node(&cluster).or_fail()?;
        cluster.remove(&steward).or_fail()?.kill();
        cluster.environment.remove_node(&steward);
        // The restart ensures that the delayed order never arrives.
        cluster.environment.fleet().inject(&Fault::Restart { host: last_host }).await;
        wait_for_repair(&cluster, 1, kind.repair_timeout, kind.name).await;
        check_invariants(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

/// A node that is connected through a view, so that its links can be cut.
struct PartitionableNode {
    member: cluster::Member,
    view: view::View,
}

impl PartitionableNode {
    async fn start(cluster: &Cluster) -> PartitionableNode {
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
        PartitionableNode { member, view }
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
async fn a_steward_cut_off_beyond_its_lease_does_not_disturb_its_successor() -> Result<()> {
    for kind in HOST_KINDS {
        let setup = Setup { fencing: kind.fencing, nodes: 1, ..Setup::default() };
        let mut cluster = setup.start().await;
        let partitionable = PartitionableNode::start(&cluster).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        expect_that!(cluster.remove("a-0").or_fail()?.stop().await, eq(true));
        let has_claimed = || steward_node(&cluster).as_deref() == Some("viewed");
        expect_that!(cluster::wait(REPAIR_TIMEOUT, has_claimed).await, eq(true), "{}", kind.name);
        cluster.add("a-1", DOMAIN).await.or_fail()?;
        wait_for_repair(&cluster, setup.replicas, FORMATION_TIMEOUT, kind.name).await;
        // The delayed orders are still in progress when the steward is cut off.
        let fleet = cluster.environment.fleet();
        for entry in fleet.entries() {
            let delay_ms = Duration::from_millis(600);
            fleet.inject(&Fault::DelayOrders { host: entry.host, delay_ms }).await;
        }
        let victim = routable_members(&cluster).into_iter().next().or_fail()?;
        fleet.inject(&Fault::Restart { host: victim }).await;
        wait_for_loss(&cluster, setup.replicas, kind.name).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        partitionable.cut();
        wait_for_repair(&cluster, setup.replicas, kind.repair_timeout, kind.name).await;
        expect_that!(steward_node(&cluster).as_deref(), some(eq("a-1")), "{}", kind.name);
        partitionable.heal();
        tokio::time::sleep(LEASE * 2).await;
        wait_for_repair(&cluster, setup.replicas, kind.repair_timeout, kind.name).await;
        check_invariants(&cluster, kind.name);
        partitionable.member.kill();
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_member_is_replaced_during_a_log_outage_only_with_fencing() -> Result<()> {
    for kind in HOST_KINDS {
        let setup = Setup { fencing: kind.fencing, ..Setup::default() };
        let cluster = setup.start().await;
        cluster.environment.log().inject(&log::Fault::Down);
        tokio::time::sleep(LEASE * 2).await;
        let host = routable_members(&cluster).into_iter().next().or_fail()?;
        let before = cluster.environment.fleet().counters().orders_accepted;
        cluster.environment.fleet().inject(&Fault::Kill { host }).await;
        wait_for_loss(&cluster, setup.replicas, kind.name).await;
        if kind.fencing {
            wait_for_repair(&cluster, setup.replicas, kind.repair_timeout, "enforcing, log down")
                .await;
        } else {
            tokio::time::sleep(LEASE * 4).await;
            let after = cluster.environment.fleet().counters().orders_accepted;
            expect_that!(after, eq(before), "orders were accepted without a lease");
            expect_that!(cluster.wait_replicas(1, UNROUTABLE_DELAY).await.is_ok(), eq(true));
        }
        cluster.environment.log().inject(&log::Fault::Up);
        wait_for_repair(&cluster, setup.replicas, kind.repair_timeout, kind.name).await;
        check_invariants(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replicas_form_when_answers_of_the_log_and_to_orders_are_lost() -> Result<()> {
    for kind in HOST_KINDS {
        let setup = Setup { fencing: kind.fencing, ..Setup::default() };
        let cluster = setup.start_undeclared().await;
        cluster.environment.log().inject(&log::Fault::LoseAnswers { count: 4 });
        let fleet = cluster.environment.fleet();
        for entry in fleet.entries() {
            fleet.inject(&Fault::LoseOrderAnswers { host: entry.host, count: 2 }).await;
        }
        setup.declare(&cluster).await;
        // Each of the two lost order responses per host costs the longest duration of an order.
        wait_for_repair(
            &cluster,
            setup.replicas,
            kind.repair_timeout + Duration::from_secs(10),
            kind.name,
        )
        .await;
        check_invariants(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repair_waits_while_a_fabric_domain_is_dark() -> Result<()> {
    // A single host loads its part of the weights in 0.2 s.
    let weight_bytes = 200_000_000;
    let setup = Setup { fabrics: 2, hosts: 9, replicas: 4, weight_bytes, ..Setup::default() };
    let cluster = setup.start().await;
    let before = cluster.environment.weights().counters();
    let fabric = format!("{DOMAIN}-f0");
    let fleet = cluster.environment.fleet();
    fleet.inject(&Fault::KillFabric { fabric: fabric.clone() }).await;
    let all_noticed = || cluster.nodes().all(|it| it.1.state().replicas.load().routable.len() < 4);
    expect_that!(cluster::wait(REPAIR_TIMEOUT, all_noticed).await, eq(true));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let during = cluster.environment.weights().counters();
    expect_that!(
        during.fetches,
        eq(before.fetches),
        "repair is held back while the domain is dark"
    );
    fleet.inject(&Fault::RestartFabric { fabric }).await;
    wait_for_repair(&cluster, setup.replicas, REPAIR_TIMEOUT, "fabric").await;
    let after = cluster.environment.weights().counters();
    expect_that!(after.fetches - before.fetches, le(9), "at most one load for each host");
    check_invariants(&cluster, "fabric");
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_host_is_released_from_its_replaced_group() -> Result<()> {
    for kind in HOST_KINDS {
        let setup = Setup { fencing: kind.fencing, ..Setup::default() };
        let cluster = setup.start().await;
        let host = routable_members(&cluster).into_iter().next().or_fail()?;
        let fleet = cluster.environment.fleet();
        let old = fleet.report(&host).or_fail()?.membership.or_fail()?;
        fleet.inject(&Fault::Pause { host: host.clone() }).await;
        let replaced =
            || routable_members(&cluster).len() == 6 && !routable_members(&cluster).contains(&host);
        expect_that!(cluster::wait(kind.repair_timeout, replaced).await, eq(true), "{}", kind.name);
        let held = fleet.report(&host).or_fail()?.membership.or_fail()?;
        expect_that!(held.generation, eq(old.generation), "{}", kind.name);
        fleet.inject(&Fault::Resume { host: host.clone() }).await;
        let is_free = || fleet.report(&host).is_some_and(|it| it.membership.is_none());
        let was_freed = cluster::wait(REPAIR_TIMEOUT, is_free).await;
        let (report, counters) = (fleet.report(&host), fleet.counters());
        expect_that!(was_freed, eq(true), "{}: {counters:?}, {report:?}", kind.name);
        expect_that!(all_memberships_ready(&cluster), eq(true), "{}", kind.name);
        wait_for_repair(&cluster, setup.replicas, REPAIR_TIMEOUT, kind.name).await;
        check_invariants(&cluster, kind.name);
        cluster.stop().await;
    }
    Ok(())
}

/// Sends chats to all nodes for `time`, one after another at each node, and returns the results.
async fn send_chats(
    nodes: Vec<SocketAddr>,
    time: Duration,
) -> Vec<Result<caller::Response, String>> {
    let end = Instant::now() + time;
    let callers = nodes.into_iter().map(|node| async move {
        let caller = caller::Caller::new(&declare::TEAMS[0]);
        let mut responses = Vec::new();
        while Instant::now() < end {
            responses.push(caller.chat(node, "kite", TOKENS).await);
        }
        responses
    });
    futures::future::join_all(callers).await.concat()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_dead_member_receives_no_new_requests() -> Result<()> {
    // The head of a group either notices the loss at once or not during the test, so that the
    // nodes have to notice it.
    let cases = [("noticed", Duration::ZERO), ("unnoticed", Duration::from_secs(60))];
    for (kind, loss_notice) in cases {
        let setup = Setup { loss_notice, ..Setup::default() };
        let cluster = setup.start().await;
        let load = tokio::spawn(send_chats(cluster.callers(), Duration::from_secs(8)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let fleet = cluster.environment.fleet();
        let replica = cluster.node("a-0").state().replicas.load().routable[0].clone();
        let host = replica.members.last().or_fail()?.clone();
        fleet.inject(&Fault::Kill { host }).await;
        wait_for_loss(&cluster, setup.replicas, kind).await;
        tokio::time::sleep(UNROUTABLE_DELAY).await;
        let at_notice = fleet.counters();
        wait_for_repair(&cluster, setup.replicas, REPAIR_TIMEOUT, kind).await;
        for response in load.await.or_fail()? {
            let response = response.or_fail()?;
            let is_valid = response.is_complete_chat() || response.outcome() == "not-run";
            expect_that!(is_valid, eq(true), "{kind}: {response:?}");
        }
        let counters = fleet.counters();
        ::log::info!(
            "{kind}: {} begun and {} answered while a member was missing",
            counters.partial_begun,
            counters.partial_answers
        );
        // If the engine doesn't notice the loss, the nodes can only bound the time during which
        // partial responses occur.
        let allowed = if loss_notice.is_zero() { 0 } else { at_notice.partial_answers };
        expect_that!(counters.partial_begun, eq(at_notice.partial_begun), "{kind}");
        expect_that!(counters.partial_answers, eq(allowed), "{kind}");
        expect_that!(counters.host_in_two_groups, eq(0), "{kind}");
        expect_that!(counters.claimed_twice, eq(0), "{kind}");
        cluster.stop().await;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_retiring_group_is_released_once_its_requests_have_ended() -> Result<()> {
    let setup = Setup { hosts: 6, ..Setup::default() };
    let cluster = setup.start().await;
    let chats = cluster.callers().into_iter().map(|node| async move {
        let caller = caller::Caller::new(&declare::TEAMS[0]);
        caller.chat(node, "a long tail", LONG_REPLY).await
    });
    let chats = tokio::spawn(futures::future::join_all(chats));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let started = Instant::now();
    Setup { replicas: 1, ..setup }.declare(&cluster).await;
    let are_free = || reports(&cluster).iter().filter(|it| it.membership.is_none()).count() == 3;
    expect_that!(
        cluster::wait(REPAIR_TIMEOUT, are_free).await,
        eq(true),
        "hosts weren't released long before the limit of 30 s"
    );
    ::log::info!("retiring: released after {:?}", started.elapsed());
    for response in chats.await.or_fail()? {
        let response = response.or_fail()?;
        let is_valid = response.is_complete_chat() || response.outcome() == "not-run";
        expect_that!(is_valid, eq(true), "{response:?}");
    }
    let counters = cluster.environment.fleet().counters();
    expect_that!(counters.cut_off, eq(0), "requests were cut off by the release");
    check_invariants(&cluster, "retiring");
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_divide_the_probes_notice_losses_without_false_alarms() -> Result<()> {
    let setup = Setup { nodes: 5, ..Setup::default() };
    let mut cluster = setup.start().await;
    // The nodes have to discover each other before they divide the probes.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Each host has two probers: when one dies, the other confirms its hosts until the probes are
    // divided again.
    cluster.remove("a-4").or_fail()?.kill();
    let routable = |it: &node::Node| it.state().replicas.load().routable.len();
    let fewer = || cluster.nodes().any(|it| routable(it.1) < setup.replicas as usize);
    expect_that!(
        cluster::wait(Duration::from_secs(4), fewer).await,
        eq(false),
        "a node lost a replica without a lost host"
    );
    let host = routable_members(&cluster).into_iter().next().or_fail()?;
    cluster.environment.fleet().inject(&Fault::Kill { host }).await;
    let noticed = || cluster.nodes().all(|it| routable(it.1) < setup.replicas as usize);
    expect_that!(
        cluster::wait(LOSS_NOTICE_TIMEOUT, noticed).await,
        eq(true),
        "some nodes didn't notice the lost host"
    );
    wait_for_repair(&cluster, setup.replicas, REPAIR_TIMEOUT, "divided").await;
    check_invariants(&cluster, "divided");
    cluster.stop().await;
    Ok(())
}
