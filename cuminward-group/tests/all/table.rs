//! Tests of the exchange of host observations between nodes, and of its intervals.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::{host, id};
use cuminward_group::probe::{
    interval,
    table::{Mirror, Table},
};
use googletest::prelude::*;

/// Confirmation timeout of the tests.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn report(host: &str, incarnation: id::Incarnation) -> host::Report {
    host::Report { host: host.to_owned(), incarnation, fence: 0, membership: None, load: None }
}

#[gtest]
fn one_prober_that_cannot_reach_a_host_does_not_hide_it() {
    struct Case {
        name: &'static str,
        confirmed: u64,
        silenced: u64,
        now: u64,
        silent: bool,
    }
    let cases = [
        Case { name: "the other one confirms", confirmed: 9, silenced: 10, now: 10, silent: false },
        Case { name: "no one confirms", confirmed: 8, silenced: 10, now: 10, silent: true },
        Case { name: "it answers again", confirmed: 11, silenced: 10, now: 20, silent: false },
    ];
    for case in cases {
        let mut table = Table::default();
        table.observe(seconds(1), report("h", 1));
        table.mark_silent(seconds(case.silenced), "h");
        table.observe(seconds(case.confirmed), report("h", 1));
        let silent = table.silent_hosts(seconds(case.now), CONFIRM_TIMEOUT).contains("h");
        expect_that!(silent, eq(case.silent), "{}", case.name);
    }
}

#[gtest]
fn merge_applies_changes_confirmations_and_removals() -> Result<()> {
    let (mut near, mut far) = (Table::default(), Table::default());
    let mut mirror = Mirror::new(7);
    for host in ["a", "b", "c"] {
        near.observe(seconds(10), report(host, 1));
    }
    let delta = near.changes_since(seconds(11), mirror.next);
    let update = far.merge(seconds(50), &mut mirror, &delta).or_fail()?;
    expect_that!(update.changed.len(), eq(3));
    expect_that!(far.observations()["a"].at, eq(seconds(49)));
    near.observe(seconds(12), report("a", 1));
    near.observe(seconds(12), report("b", 2));
    near.retain(&BTreeSet::from([&"a".to_owned(), &"b".to_owned()]));
    let delta = near.changes_since(seconds(12), mirror.next);
    expect_that!(delta.changed, elements_are![eq(&report("b", 2))]);
    let update = far.merge(seconds(51), &mut mirror, &delta).or_fail()?;
    expect_that!(update.changed.len(), eq(1));
    expect_that!(far.observations()["a"].at, eq(seconds(51)));
    expect_that!(far.observations()["c"].at, eq(seconds(49)));
    // A delta that doesn't match the mirror resets it.
    let mut other = Mirror::default();
    other.next = mirror.next;
    expect_that!(far.merge(seconds(52), &mut other, &near.changes_since(seconds(12), 3)), none());
    expect_that!(other.next, eq(0));
    Ok(())
}

#[gtest]
fn reports_reach_every_node_within_the_pull_rounds() {
    for count in [4, 5, 9, 44] {
        let mut nodes: Vec<id::Node> = (0..count).map(|it| format!("n{it}")).collect();
        nodes.sort_unstable();
        let mut informed: BTreeSet<id::Node> = BTreeSet::from([nodes[0].clone()]);
        let start = 3;
        for round in start..start + interval::pull_rounds(nodes.len()) {
            let before = informed.clone();
            let pulls_report = |it: &&id::Node| {
                interval::pull_source(it, &nodes, round)
                    .is_some_and(|source| before.contains(source))
            };
            informed.extend(nodes.iter().filter(pulls_report).cloned());
        }
        expect_that!(informed.len(), eq(nodes.len()), "{count} nodes");
    }
}

#[gtest]
fn intervals_keep_traffic_within_the_bound() {
    let options = interval::Options::default();
    for (nodes, hosts) in [(4, 20), (9, 60), (44, 167), (44, 1_500)] {
        let intervals = interval::intervals(nodes, hosts, &options);
        let assigned = (hosts * 2) as f64 / nodes as f64;
        let probes = assigned * f64::from(options.probe_octets) / intervals.probe.as_secs_f64();
        expect_that!(probes, le(f64::from(options.probe_rate)), "{nodes} nodes, {hosts} hosts");
        expect_that!(intervals.pull, some(anything()));
    }
    expect_that!(interval::intervals(3, 60, &options).pull, none());
}
