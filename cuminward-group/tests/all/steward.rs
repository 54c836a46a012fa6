//! Tests of the steward against fake hosts.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::host;
use cuminward_group::{assembly, placement::State, steward};
use googletest::prelude::*;

use super::fixture::{Cluster, DOMAIN, Node};

struct Case {
    name: &'static str,
    fabrics: usize,
    size: usize,
    ignoring: usize,
    services: &'static [(&'static str, u32, u32)],
    routable: usize,
}

const STEP: Duration = Duration::from_millis(250);

fn run(nodes: &mut [Node], cluster: &mut Cluster, from: Duration, until: Duration) -> Duration {
    let mut now = from;
    while now < until {
        cluster.advance();
        for node in nodes.iter_mut() {
            node.tick(now, cluster, true);
        }
        now += STEP;
    }
    now
}

fn routable(cluster: &Cluster, now: Duration, services: &[(&str, u32, u32)]) -> usize {
    let observations = cluster.observations(now);
    let catalog = cluster.catalog(services);
    let input = assembly::Input {
        silent: &BTreeSet::new(),
        observations: &observations,
        hosts: &cluster.entries(),
        catalog: &catalog,
        now,
        freshness: Duration::from_secs(2),
    };
    assembly::assemble(&input).routable.len()
}

#[gtest]
fn forms_declared_replicas() {
    let cases = [
        Case {
            name: "enforcing",
            fabrics: 2,
            size: 10,
            ignoring: 0,
            services: &[("a", 4, 4)],
            routable: 4,
        },
        Case {
            name: "ignoring",
            fabrics: 2,
            size: 10,
            ignoring: 1,
            services: &[("a", 4, 4)],
            routable: 4,
        },
        Case {
            name: "mixed",
            fabrics: 2,
            size: 10,
            ignoring: 3,
            services: &[("a", 4, 2), ("b", 2, 3)],
            routable: 5,
        },
        Case {
            name: "too few hosts",
            fabrics: 2,
            size: 3,
            ignoring: 0,
            services: &[("a", 4, 1)],
            routable: 0,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::new(case.fabrics, case.size, case.ignoring);
        let mut nodes = vec![
            Node::new("n1", &cluster, case.services),
            Node::new("n2", &cluster, case.services),
        ];
        let now = run(&mut nodes, &mut cluster, Duration::ZERO, Duration::from_secs(30));
        expect_that!(routable(&cluster, now, case.services), eq(case.routable), "{}", case.name);
        let holders = nodes.iter().filter(|it| it.steward.fence().is_some()).count();
        expect_that!(holders, eq(1), "{} in {}", case.name, DOMAIN);
    }
}

const LEASE: Duration = Duration::from_secs(10);
const ORDER_BOUND: Duration = Duration::from_secs(5);
const SERVICES: &[(&str, u32, u32)] = &[("a", 2, 2)];

/// Runs two stewards until the replicas are formed; returns the nodes, the holder of the term first, and the
/// time.
fn form_replicas(cluster: &mut Cluster) -> (Vec<Node>, Duration) {
    let mut nodes = vec![Node::new("n1", cluster, SERVICES), Node::new("n2", cluster, SERVICES)];
    let now = run(&mut nodes, cluster, Duration::ZERO, Duration::from_secs(20));
    nodes.sort_by_key(|it| it.steward.fence().is_none());
    (nodes, now)
}

/// Returns the position of the event after which hosts that ignore fencing get orders.
fn unfenced_allowed_at(node: &Node) -> Option<usize> {
    let allows =
        |it: &steward::event::Event| matches!(it, steward::event::Event::UnfencedAllowed { .. });
    node.events.iter().position(allows)
}

#[gtest]
fn successor_waits_only_for_hosts_that_ignore_fencing() {
    for (ignoring, waits) in [(0, false), (1, true)] {
        let mut cluster = Cluster::new(1, 5, ignoring);
        let (mut nodes, paused) = form_replicas(&mut cluster);
        let lapse = nodes[1].steward.term().lease_end();
        let early = run(&mut nodes[1..], &mut cluster, paused, lapse + ORDER_BOUND);
        expect_that!(
            unfenced_allowed_at(&nodes[1]),
            none(),
            "orders may be under way at {early:?}"
        );
        let end = run(&mut nodes[1..], &mut cluster, early, early + ORDER_BOUND);
        expect_that!(unfenced_allowed_at(&nodes[1]), some(anything()));
        let confirms =
            |it: &steward::event::Event| matches!(it, steward::event::Event::HostConfirmed { .. });
        let confirmed = nodes[1].events.iter().position(confirms);
        expect_that!(confirmed, some(anything()), "every host is confirmed again");
        expect_that!(confirmed > unfenced_allowed_at(&nodes[1]), eq(waits), "ignoring {ignoring}");
        let orders = nodes[1]
            .events
            .iter()
            .filter(|it| matches!(it, steward::event::Event::GroupForming { .. }));
        expect_that!(orders.count(), eq(0), "whole replicas are adopted");
        expect_that!(routable(&cluster, end, SERVICES), eq(2));
        let sent = nodes[0].steward.step(end, steward::Input::Tick);
        let sends = sent.iter().any(|it| matches!(it, steward::Output::Send(_)));
        expect_that!(sends && ignoring == 1, eq(false), "the lease lapsed in the pause");
    }
}

#[gtest]
fn repairs_groups_while_the_log_is_unavailable() {
    for (ignoring, during) in [(0, 2), (1, 1)] {
        let mut cluster = Cluster::new(1, 5, ignoring);
        let (mut nodes, mut now) = form_replicas(&mut cluster);
        let outage_start = now;
        while now < outage_start + LEASE * 4 {
            if now == outage_start + LEASE * 2 {
                let member = cluster.hosts.values_mut().find(|it| it.report.membership.is_some());
                member.expect("replicas are formed").up = false;
            }
            cluster.advance();
            for (name, it) in cluster.hosts.clone() {
                let seen = if it.up {
                    steward::Input::ObservedByPeer(host::Observation { report: it.report, at: now })
                } else {
                    steward::Input::Unreachable(name)
                };
                nodes[0].input(now, seen, &mut cluster);
            }
            nodes[0].tick(now, &mut cluster, false);
            now += STEP;
        }
        expect_that!(routable(&cluster, now, SERVICES), eq(during), "ignoring {ignoring}");
        let now = run(&mut nodes, &mut cluster, now, now + LEASE * 5);
        expect_that!(routable(&cluster, now, SERVICES), eq(2), "the log is available again");
    }
}

/// Returns the state of a host that ignores fencing, after a report that shows it free and was requested at
/// `asked`.
fn state_after(node: &mut Node, cluster: &Cluster, now: Duration, asked: Duration) -> State {
    let mut report = cluster.hosts["f0-h0"].report.clone();
    report.membership = None;
    let observation = host::Observation { report, at: now };
    node.steward.step(now, steward::Input::Observed { observation, asked });
    let input = node.steward.placement_input(now);
    let view = input.hosts.into_iter().find(|it| it.host == "f0-h0");
    view.expect("the host is listed").state
}

#[gtest]
fn outdated_reports_are_not_used() {
    let mut cluster = Cluster::new(1, 5, 1);
    let (mut nodes, now) = form_replicas(&mut cluster);
    let old = state_after(&mut nodes[0], &cluster, now, STEP);
    expect_that!(old, eq(State::Member), "asked before the order's answer");
    let lapse = nodes[1].steward.term().lease_end();
    let early = run(&mut nodes[1..], &mut cluster, now, lapse + ORDER_BOUND);
    let later = early + STEP * 2;
    let old = state_after(&mut nodes[1], &cluster, later, early - ORDER_BOUND / 2);
    expect_that!(old, eq(State::Unsure), "asked while earlier orders may be under way");
    let new = state_after(&mut nodes[1], &cluster, later, later);
    expect_that!(new, eq(State::Free));
}

#[gtest]
fn nothing_is_formed_before_the_hosts_are_read() {
    for ignoring in [0, 1, 2] {
        let mut cluster = Cluster::new(1, 5, ignoring);
        let (mut nodes, now) = form_replicas(&mut cluster);
        cluster.hosts.retain(|_, it| it.report.membership.is_some());
        let spare = Cluster::new(2, 2, ignoring).hosts;
        cluster.hosts.extend(spare.into_iter().filter(|it| it.0.starts_with("f1")));
        let successor = &mut nodes[1];
        successor.steward.step(now, steward::Input::Hosts(cluster.entries()));
        successor.steward.step(now, steward::Input::Catalog(cluster.catalog(SERVICES)));
        let group = cluster.hosts["f0-h0"].report.membership.clone();
        successor.unresponsive = group.expect("the host is in a group").members;
        let now = run(&mut nodes[1..], &mut cluster, now, now + LEASE + ORDER_BOUND);
        nodes[1].unresponsive.clear();
        run(&mut nodes[1..], &mut cluster, now, now + LEASE);
        let forms = nodes[1]
            .events
            .iter()
            .any(|it| matches!(it, steward::event::Event::GroupForming { .. }));
        expect_that!(forms, eq(false), "ignoring {ignoring}");
        expect_that!(nodes[1].steward.fence(), some(anything()));
    }
}
