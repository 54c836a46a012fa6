//! Tests of the steward against fake hosts.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::host;
use cuminward_group::{assembly, placement::State, steward};
use googletest::prelude::*;

use super::fixture::{DOMAIN, Node, World};

struct Case {
    name: &'static str,
    fabrics: usize,
    size: usize,
    ignoring: usize,
    services: &'static [(&'static str, u32, u32)],
    whole: usize,
}

const STEP: Duration = Duration::from_millis(250);

fn run(nodes: &mut [Node], world: &mut World, from: Duration, until: Duration) -> Duration {
    let mut now = from;
    while now < until {
        world.advance();
        for node in nodes.iter_mut() {
            node.tick(now, world, true);
        }
        now += STEP;
    }
    now
}

fn routable(world: &World, now: Duration, services: &[(&str, u32, u32)]) -> usize {
    let observations = world.observations(now);
    let catalog = world.catalog(services);
    let input = assembly::Input {
        silent: &BTreeSet::new(),
        observations: &observations,
        hosts: &world.entries(),
        catalog: &catalog,
        now,
        freshness: Duration::from_secs(2),
    };
    assembly::assemble(&input).routable.len()
}

#[gtest]
fn forms_what_is_declared() {
    let cases = [
        Case {
            name: "enforcing",
            fabrics: 2,
            size: 10,
            ignoring: 0,
            services: &[("a", 4, 4)],
            whole: 4,
        },
        Case {
            name: "ignoring",
            fabrics: 2,
            size: 10,
            ignoring: 1,
            services: &[("a", 4, 4)],
            whole: 4,
        },
        Case {
            name: "mixed",
            fabrics: 2,
            size: 10,
            ignoring: 3,
            services: &[("a", 4, 2), ("b", 2, 3)],
            whole: 5,
        },
        Case {
            name: "too few hosts",
            fabrics: 2,
            size: 3,
            ignoring: 0,
            services: &[("a", 4, 1)],
            whole: 0,
        },
    ];
    for case in cases {
        let mut world = World::new(case.fabrics, case.size, case.ignoring);
        let mut nodes =
            vec![Node::new("n1", &world, case.services), Node::new("n2", &world, case.services)];
        let now = run(&mut nodes, &mut world, Duration::ZERO, Duration::from_secs(30));
        expect_that!(routable(&world, now, case.services), eq(case.whole), "{}", case.name);
        let holders = nodes.iter().filter(|it| it.steward.fence().is_some()).count();
        expect_that!(holders, eq(1), "{} in {}", case.name, DOMAIN);
    }
}

const LEASE: Duration = Duration::from_secs(10);
const ORDER_BOUND: Duration = Duration::from_secs(5);
const SERVICES: &[(&str, u32, u32)] = &[("a", 2, 2)];

/// Forms the replicas under the first of two stewards; returns the nodes, the holder first.
fn formed(world: &mut World) -> (Vec<Node>, Duration) {
    let mut nodes = vec![Node::new("n1", world, SERVICES), Node::new("n2", world, SERVICES)];
    let now = run(&mut nodes, world, Duration::ZERO, Duration::from_secs(20));
    nodes.sort_by_key(|it| it.steward.fence().is_none());
    (nodes, now)
}

/// Position of the event that allows orders to hosts that ignore fencing.
fn allowed(node: &Node) -> Option<usize> {
    let allows =
        |it: &steward::event::Event| matches!(it, steward::event::Event::UnfencedAllowed { .. });
    node.events.iter().position(allows)
}

#[gtest]
fn successor_waits_only_for_hosts_that_ignore_fencing() {
    for (ignoring, waits) in [(0, false), (1, true)] {
        let mut world = World::new(1, 5, ignoring);
        let (mut nodes, paused) = formed(&mut world);
        let lapse = nodes[1].steward.term().lease_end();
        let early = run(&mut nodes[1..], &mut world, paused, lapse + ORDER_BOUND);
        expect_that!(allowed(&nodes[1]), none(), "orders may be under way at {early:?}");
        let end = run(&mut nodes[1..], &mut world, early, early + ORDER_BOUND);
        expect_that!(allowed(&nodes[1]), some(anything()));
        let confirms =
            |it: &steward::event::Event| matches!(it, steward::event::Event::HostConfirmed { .. });
        let confirmed = nodes[1].events.iter().position(confirms);
        expect_that!(confirmed, some(anything()), "every host is learned anew");
        expect_that!(confirmed > allowed(&nodes[1]), eq(waits), "ignoring {ignoring}");
        let orders = nodes[1]
            .events
            .iter()
            .filter(|it| matches!(it, steward::event::Event::GroupForming { .. }));
        expect_that!(orders.count(), eq(0), "whole replicas are adopted");
        expect_that!(routable(&world, end, SERVICES), eq(2));
        let sent = nodes[0].steward.step(end, steward::Input::Tick);
        let sends = sent.iter().any(|it| matches!(it, steward::Output::Send(_)));
        expect_that!(sends && ignoring == 1, eq(false), "the lease lapsed in the pause");
    }
}

#[gtest]
fn repair_while_the_log_is_away() {
    for (ignoring, during) in [(0, 2), (1, 1)] {
        let mut world = World::new(1, 5, ignoring);
        let (mut nodes, mut now) = formed(&mut world);
        let away = now;
        while now < away + LEASE * 4 {
            if now == away + LEASE * 2 {
                let member = world.hosts.values_mut().find(|it| it.report.membership.is_some());
                member.expect("replicas are formed").up = false;
            }
            world.advance();
            for (name, it) in world.hosts.clone() {
                let seen = if it.up {
                    steward::Input::ObservedByPeer(host::Observation { report: it.report, at: now })
                } else {
                    steward::Input::Unreachable(name)
                };
                nodes[0].input(now, seen, &mut world);
            }
            nodes[0].tick(now, &mut world, false);
            now += STEP;
        }
        expect_that!(routable(&world, now, SERVICES), eq(during), "ignoring {ignoring}");
        let now = run(&mut nodes, &mut world, now, now + LEASE * 5);
        expect_that!(routable(&world, now, SERVICES), eq(2), "the log is back");
    }
}

/// State of a host that ignores fencing, after a reading that shows it free was asked for at `asked`.
fn state_after(node: &mut Node, world: &World, now: Duration, asked: Duration) -> State {
    let mut report = world.hosts["f0-h0"].report.clone();
    report.membership = None;
    let observation = host::Observation { report, at: now };
    node.steward.step(now, steward::Input::Observed { observation, asked });
    let survey = node.steward.placement_input(now);
    let view = survey.hosts.into_iter().find(|it| it.host == "f0-h0");
    view.expect("the host is listed").state
}

#[gtest]
fn readings_from_before_are_not_used() {
    let mut world = World::new(1, 5, 1);
    let (mut nodes, now) = formed(&mut world);
    let old = state_after(&mut nodes[0], &world, now, STEP);
    expect_that!(old, eq(State::Member), "asked before the order's answer");
    let lapse = nodes[1].steward.term().lease_end();
    let early = run(&mut nodes[1..], &mut world, now, lapse + ORDER_BOUND);
    let later = early + STEP * 2;
    let old = state_after(&mut nodes[1], &world, later, early - ORDER_BOUND / 2);
    expect_that!(old, eq(State::Unsure), "asked while earlier orders may be under way");
    let new = state_after(&mut nodes[1], &world, later, later);
    expect_that!(new, eq(State::Free));
}

#[gtest]
fn nothing_is_formed_before_the_hosts_are_read() {
    for ignoring in [0, 1, 2] {
        let mut world = World::new(1, 5, ignoring);
        let (mut nodes, now) = formed(&mut world);
        world.hosts.retain(|_, it| it.report.membership.is_some());
        let spare = World::new(2, 2, ignoring).hosts;
        world.hosts.extend(spare.into_iter().filter(|it| it.0.starts_with("f1")));
        let successor = &mut nodes[1];
        successor.steward.step(now, steward::Input::Hosts(world.entries()));
        successor.steward.step(now, steward::Input::Catalog(world.catalog(SERVICES)));
        let group = world.hosts["f0-h0"].report.membership.clone();
        successor.mute = group.expect("the host is in a group").members;
        let now = run(&mut nodes[1..], &mut world, now, now + LEASE + ORDER_BOUND);
        nodes[1].mute.clear();
        run(&mut nodes[1..], &mut world, now, now + LEASE);
        let forms = nodes[1]
            .events
            .iter()
            .any(|it| matches!(it, steward::event::Event::GroupForming { .. }));
        expect_that!(forms, eq(false), "ignoring {ignoring}");
        expect_that!(nodes[1].steward.fence(), some(anything()));
    }
}
