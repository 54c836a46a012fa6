//! Hosts that say in their responses that they are leaving.

use std::{slice, time::Duration};

use cuminward_adapter_fake::{
    entry::Entry,
    host::{Behaviour, Host},
};
use futures::{StreamExt, future, stream};
use googletest::prelude::*;
use tokio::time::{self, Instant};

use crate::{
    groups,
    load::{
        Answer, RESPONSE_TIME, Service, arrivals, drive, handle_all, send, start_deaf_nodes,
        start_nodes,
    },
    site::{self, Node, Site},
};

/// Requests per second from the callers of all nodes together.
const LOAD: f64 = 150.0;

/// Time in which a node that got a response that says so sends the host nothing more.
const OWN_TIME: Duration = Duration::from_millis(100);

/// Time in which nodes stop that didn't get such a response.
const FLEET_TIME: Duration = Duration::from_millis(500);

/// Time for which the callers send requests before and after a host says that it is leaving.
const BEFORE: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(5);

/// Number of cases that are played at the same time.
const CONCURRENT_CASES: usize = 2;

/// Number of hosts of each service.
const HOSTS: usize = 6;

/// Lowest number of requests that a host gets in [`AFTER`] at [`LOAD`] if it doesn't leave.
const USUAL: usize = 75;

/// Makes plain hosts respond after [`RESPONSE_TIME`], so that a node uses all of them.
fn slow_down(hosts: &[Host]) {
    handle_all(hosts, &Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok")));
}

/// Returns the number of arrivals later than `time` after the first one.
fn count_late(arrivals: &[Instant], time: Duration) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    arrivals.iter().filter(|it| **it > *first + time).count()
}

/// Returns the requests that weren't served.
fn failures(answers: &[Answer]) -> Vec<(String, Option<u16>)> {
    let failed = answers.iter().filter(|it| !it.is_served());
    failed.map(|it| (it.path.clone(), it.status())).collect()
}

/// Guards against hosts that get requests after they have said that they are leaving, in whichever kind of response, and
/// against requests that fail because of it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_leaving_gets_no_further_request() {
    #[derive(Debug, Clone)]
    struct Case {
        nodes: usize,
        service: Service,
        /// What the host that leaves does with all requests.
        behaviour: Behaviour,
    }

    /// Returns when requests arrived at the host that leaves, and the requests that weren't served.
    async fn play(case: &Case) -> (Vec<Instant>, Vec<(String, Option<u16>)>) {
        let site = Site::with_hosts(HOSTS, HOSTS).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, case.nodes).await;
        let hosts = case.service.hosts(&site);
        if case.service == Service::Plain {
            slow_down(&hosts[1..]);
        }
        drive(&nodes, case.service, LOAD, BEFORE).await;
        let host = &hosts[0];
        handle_all(slice::from_ref(host), &case.behaviour);
        host.clear_received();
        host.announce_leaving(true);
        let answers = drive(&nodes, case.service, LOAD, AFTER).await;
        (arrivals(host), failures(&answers))
    }

    let (plain, engine) = (Service::Plain, Service::Engine);
    let success = Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok"));
    let cases = [
        Case { nodes: 1, service: plain, behaviour: success.clone() },
        Case { nodes: 1, service: plain, behaviour: Behaviour::Fail(500) },
        Case { nodes: 1, service: plain, behaviour: Behaviour::Refuse },
        Case { nodes: 1, service: engine, behaviour: Behaviour::Stream },
        Case { nodes: 1, service: engine, behaviour: Behaviour::StreamUntil(7) },
        Case { nodes: 1, service: engine, behaviour: Behaviour::Refuse },
        Case { nodes: 3, service: plain, behaviour: success.clone() },
        Case { nodes: 3, service: engine, behaviour: Behaviour::Stream },
        Case { nodes: 9, service: plain, behaviour: success },
        Case { nodes: 9, service: engine, behaviour: Behaviour::Refuse },
    ];
    let playing = stream::iter(&cases).map(|case| async move { (case, play(case).await) });
    let played: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    for (case, (arrivals, failed)) in played {
        let time = if case.nodes == 1 { OWN_TIME } else { FLEET_TIME };
        expect_that!(arrivals, not(is_empty()), "{case:?}");
        expect_that!(count_late(&arrivals, RESPONSE_TIME + time), eq(0), "{case:?}");
        expect_that!(failed, is_empty(), "{case:?}");
    }
}

/// Guards against nodes that each learn from a response of their own that a host is leaving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_response_hears_that_a_host_is_leaving() {
    for service in [Service::Plain, Service::Engine] {
        let site = Site::with_hosts(HOSTS, HOSTS).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 2).await;
        let host = &service.hosts(&site)[0];
        slow_down(&site.plain);
        host.announce_leaving(true);
        drive(&nodes[..1], service, LOAD, BEFORE).await;
        expect_that!(host.received().len(), ge(1), "{service:?}");
        time::sleep(FLEET_TIME).await;
        host.clear_received();
        let answers = drive(&nodes[1..], service, LOAD, AFTER).await;
        expect_that!(host.received().len(), eq(0), "{service:?}");
        expect_that!(failures(&answers), is_empty(), "{service:?}");
    }
}

/// Guards against nodes that only stop when they hear it from others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_hear_nothing_from_each_other_stop_after_a_response_of_their_own() {
    let site = Site::with_hosts(3, 1).await;
    let (nodes, _views) = start_deaf_nodes(&site, 3).await;
    slow_down(&site.plain);
    let host = &site.plain[0];
    host.announce_leaving(true);
    drive(&nodes, Service::Plain, LOAD, BEFORE).await;
    expect_that!(host.received().len(), ge(nodes.len()));
    host.clear_received();
    let answers = drive(&nodes, Service::Plain, LOAD, AFTER).await;
    expect_that!(host.received().len(), eq(0));
    expect_that!(failures(&answers), is_empty());
}

/// What happens to the entry of a host after the host has said that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// It is written again, ready.
    Rewrite,
    /// It is removed, and written again later.
    Lapse,
    /// An earlier start of the host is listed.
    EarlierStart,
    /// A newer start of the host is listed.
    NewerStart,
}

/// Access
impl Change {
    /// Returns when the host started, as its last entry says; the host that says that it is leaving started at 2.
    fn incarnation(self) -> u64 {
        match self {
            Change::Rewrite | Change::Lapse => 2,
            Change::EarlierStart => 1,
            Change::NewerStart => 3,
        }
    }
}

/// Guards against hosts that get requests again by anything but a newer start, and against those that get none after it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_a_newer_start_of_a_host_ends_that_it_is_leaving() {
    /// Time in which all nodes read a change of the host list.
    const READ_TIME: Duration = Duration::from_millis(1500);

    #[derive(Debug, Clone, Copy)]
    struct Case {
        service: Service,
        change: Change,
    }

    /// Returns the number of requests that the host gets after the change.
    async fn play(case: Case) -> usize {
        let site = Site::with_hosts(HOSTS, HOSTS).await;
        site.configure(1, None);
        let host = &case.service.hosts(&site)[0];
        let entry = |incarnation, seq| {
            let usual = match case.service {
                Service::Plain => site::plain_entry(host),
                Service::Engine => site::replica_entry(host),
            };
            Entry { incarnation, seq, ..usual }
        };
        site.store.put_entry(&host.id, &entry(2, 0));
        slow_down(&site.plain);
        let nodes = start_nodes(&site, 2).await;
        host.announce_leaving(true);
        drive(&nodes, case.service, LOAD, BEFORE).await;
        host.announce_leaving(false);
        if case.change == Change::Lapse {
            site.store.put_raw_entry(&host.id, "");
            time::sleep(READ_TIME).await;
        }
        site.store.put_entry(&host.id, &entry(case.change.incarnation(), 1));
        time::sleep(READ_TIME).await;
        host.clear_received();
        drive(&nodes, case.service, LOAD, AFTER).await;
        host.received().len()
    }

    let services = [Service::Plain, Service::Engine];
    let changes = [Change::Rewrite, Change::Lapse, Change::EarlierStart, Change::NewerStart];
    let cases = services
        .into_iter()
        .flat_map(|service| changes.into_iter().map(move |change| Case { service, change }));
    let playing = stream::iter(cases).map(|case| async move { (case, play(case).await) });
    let played: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    for (case, received) in played {
        if case.change == Change::NewerStart {
            expect_that!(received, ge(USUAL), "{case:?}");
        } else {
            expect_that!(received, eq(0), "{case:?}");
        }
    }
}

/// Guards against replicas that get requests although a member has said, in a response to a health check, that it is
/// leaving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_of_which_a_member_is_leaving_gets_no_further_request() {
    /// Time in which the members of a replica that makes no progress are asked.
    const PAUSE: Duration = Duration::from_millis(800);

    for leaving in [0, 1] {
        let site = Site::with_hosts(1, 4).await;
        site.join_replicas(1, 2, None);
        let nodes = start_nodes(&site, 2).await;
        let (head, member) = (&site.replicas[0], &site.replicas[leaving]);
        // The head of its response comes before the host says so.
        handle_all(slice::from_ref(head), &Behaviour::StreamPausing(7, PAUSE));
        let streams = future::join_all((0..4).map(|_| send(&nodes[0], Service::Engine)));
        let announcement = async {
            while head.received().is_empty() {
                time::sleep(Duration::from_millis(5)).await;
            }
            member.announce_leaving(true);
        };
        let answers = future::join(streams, announcement).await.0;
        expect_that!(failures(&answers), is_empty(), "{leaving}");
        time::sleep(FLEET_TIME).await;
        head.clear_received();
        let answers = drive(&nodes, Service::Engine, LOAD / 2.0, AFTER).await;
        expect_that!(head.received().len(), eq(0), "{leaving}");
        expect_that!(failures(&answers), is_empty(), "{leaving}");
    }
}

/// Guards against replicas that aren't replaced until the host list says that their host is leaving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_is_replaced_of_which_a_host_is_leaving() -> Result<()> {
    /// Longest time in which the replacement is formed.
    const REPLACEMENT_TIME: Duration = Duration::from_secs(8);

    let site = Site::with_hosts(1, 0).await;
    site.configure_size(1, 2);
    let cluster = groups::start_cluster(&site, &["w-0", "w-1", "w-2"], 2).await?;
    let nodes = start_nodes(&site, 2).await;
    expect_that!(groups::wait_until_open(&cluster).await, eq(true));
    let before = cluster.open_group_members();
    let first = time::timeout(REPLACEMENT_TIME, serve_one(&nodes[0])).await;
    expect_that!(first.is_ok(), eq(true));
    let head = cluster.runs().last().or_fail()?.host.clone();
    cluster.announce_leaving(&head);
    send(&nodes[0], Service::Engine).await;
    let replacement = async {
        loop {
            let members = cluster.open_group_members();
            if members.len() == 2 && !members.contains(&head) {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    let is_replaced = time::timeout(REPLACEMENT_TIME, replacement).await.is_ok();
    expect_that!(is_replaced, eq(true), "{head} of {before:?}");
    expect_that!(cluster.violations(), is_empty());
    Ok(())
}

/// Sends requests until one is served.
async fn serve_one(node: &Node) {
    while !send(node, Service::Engine).await.is_served() {
        time::sleep(Duration::from_millis(100)).await;
    }
}
