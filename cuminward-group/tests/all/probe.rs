//! Tests of the assignment of probes and of the failure detectors.

use std::{collections::BTreeMap, time::Duration};

use cuminward_group::probe::{
    self,
    detector::{Detector, Options, Outcome, Verdict},
    fabric_outage,
};
use googletest::prelude::*;

#[gtest]
fn hosts_are_divided_among_the_probing_nodes() {
    let nodes: Vec<String> = (0..44).map(|it| format!("n{it}")).collect();
    let hosts: Vec<String> = (0..167).map(|it| format!("h{it}")).collect();
    let assigned = nodes
        .iter()
        .map(|it| probe::assigned_hosts(it, &nodes, &hosts, probe::PROBERS_PER_HOST).len());
    let assigned: Vec<usize> = assigned.collect();
    expect_that!(assigned.iter().sum::<usize>(), eq(hosts.len() * probe::PROBERS_PER_HOST));
    expect_that!(assigned, each(le(&20)));
}

#[gtest]
fn verdict_follows_from_probes() {
    let fast = Outcome::Answered { after: Duration::from_millis(5) };
    let late = Outcome::Answered { after: Duration::from_secs(1) };
    let cases: [(&str, Vec<Outcome>, Verdict); 6] = [
        ("fine", vec![fast], Verdict::Fine),
        ("one lost probe", vec![fast, Outcome::Unanswered, Outcome::Unanswered], Verdict::Fine),
        ("paused", vec![Outcome::Unanswered; 3], Verdict::Paused),
        ("dead", vec![fast, Outcome::Refused, Outcome::Refused], Verdict::Dead),
        ("back", vec![Outcome::Refused, Outcome::Refused, fast], Verdict::Fine),
        ("slow", vec![fast, late, late, late, late], Verdict::Slow),
    ];
    for (name, probes, verdict) in cases {
        let mut detector = Detector::default();
        let options = Options::default();
        for probe in probes {
            detector.record(probe, &options);
        }
        expect_that!(detector.verdict(&options), eq(verdict), "{name}");
    }
}

#[gtest]
fn repair_of_a_dark_fabric_domain_is_held_for_a_while() {
    let options = fabric_outage::Options::default();
    let mut detector = fabric_outage::Detector::default();
    let mut step = |at: u64, silent: usize| {
        let now = Duration::from_secs(at);
        let counts = BTreeMap::from([("f".to_owned(), fabric_outage::Count { listed: 8, silent })]);
        detector.update(now, &counts, &options);
        detector.repair_held(now, &options).len()
    };
    let held = [step(0, 4), step(1, 5), step(59, 8), step(61, 8), step(62, 0), step(63, 8)];
    expect_that!(held, eq([0, 1, 1, 0, 0, 1]));
}
