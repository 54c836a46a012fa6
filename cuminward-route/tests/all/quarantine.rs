//! Tests of the quarantine of requests that crash upstreams.

use std::time::Duration;

use cuminward_route::quarantine::{self, Busy, Isolation, Ledger, Record, Verdict};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(10);

/// Runs requests on upstreams until each has completed or is refused; `culprit` crashes each upstream
/// that runs it. Returns the number of crashes and the ledger.
fn run(culprit: u64, requests: &[u64]) -> (u64, Ledger) {
    let mut ledger = Ledger::default();
    let mut isolation = Isolation::default();
    let mut crashes = 1;
    let first = isolation.record_crash("n", "g0", 1, requests).expect("something was in flight");
    ledger.apply(NOW, Duration::ZERO, &first);
    for &it in requests {
        for attempt in 0..3 {
            let verdict = ledger.verdict(NOW, it);
            if verdict == Verdict::Refused {
                break;
            }
            let upstream = format!("g{attempt}");
            let permit =
                isolation.begin(&upstream, it, verdict).expect("suspects run one at a time");
            if it == culprit {
                crashes += 1;
                let record = isolation.record_crash("n", &upstream, 2 + crashes, &[it, 99]);
                ledger.apply(NOW, Duration::ZERO, &record.expect("the request was in flight"));
            } else if let Some(permit) = permit {
                ledger.apply(NOW, Duration::ZERO, &isolation.complete(permit));
            }
        }
    }
    (crashes, ledger)
}

#[gtest]
fn the_culprit_crashes_two_upstreams_and_the_others_complete() {
    let (crashes, ledger) = run(7, &[1, 2, 7, 8]);
    expect_that!(crashes, eq(2));
    expect_that!(ledger.verdict(NOW, 7), eq(Verdict::Refused));
    for other in [1, 2, 8, 55] {
        expect_that!(ledger.verdict(NOW, other), eq(Verdict::Clear), "{other}");
    }
    expect_that!(ledger.verdict(NOW, 99), eq(Verdict::Suspect));
    expect_that!(ledger.verdict(NOW + Duration::from_secs(3600), 7), eq(Verdict::Clear));
}

#[gtest]
fn a_node_runs_one_suspect_at_a_time_on_an_upstream() {
    let mut isolation = Isolation::default();
    let permit = isolation.begin("g", 1, Verdict::Suspect).expect("the upstream is free");
    expect_that!(isolation.begin("g", 2, Verdict::Suspect), err(eq(&Busy)));
    expect_that!(isolation.begin("g", 3, Verdict::Clear), ok(none()));
    expect_that!(isolation.begin("h", 2, Verdict::Suspect), ok(some(anything())));
    isolation.abandon(permit.expect("suspects get a permit"));
    expect_that!(isolation.is_free("g"), eq(true));
}

#[gtest]
fn suspects_of_two_nodes_on_one_upstream_are_not_refused() {
    let mut ledger = Ledger::default();
    for (node, suspect) in [("a", 1), ("b", 2)] {
        let mut isolation = Isolation::default();
        isolation.begin("g", suspect, Verdict::Suspect).expect("the upstream is free");
        let record =
            isolation.record_crash(node, "g", 5, &[suspect]).expect("the request was in flight");
        let text = serde_json::to_string(&record).expect("a record can be serialized");
        let record: Record = serde_json::from_str(&text).expect("the text is a serialized record");
        ledger.apply(NOW, Duration::ZERO, &record);
    }
    expect_that!(ledger.verdict(NOW, 1), eq(Verdict::Suspect));
    expect_that!(ledger.verdict(NOW, 2), eq(Verdict::Suspect));
}

#[gtest]
fn size_is_bounded() {
    let mut ledger = Ledger::new(Duration::from_secs(60), 100);
    for start in 0..50 {
        let all: Vec<u64> = (start * 10..start * 10 + 10).collect();
        let record = Isolation::default()
            .record_crash("n", "g", start, &all)
            .expect("requests were in flight");
        ledger.apply(NOW + Duration::from_secs(start), Duration::ZERO, &record);
    }
    let now = NOW + Duration::from_secs(50);
    let suspects = (0..500).filter(|&it| ledger.verdict(now, it) != Verdict::Clear);
    expect_that!(suspects.count(), eq(100));
}

#[gtest]
fn one_node_at_a_time_starts_suspects_and_every_node_gets_turns() {
    let nodes = ["n0", "n1", "n2"].map(ToOwned::to_owned);
    let mut turns = [0; 3];
    for tick in 0..400 {
        let wall = Duration::from_millis(1_700_000_000_000 + tick * 250);
        let on_turn = |it: &usize| quarantine::is_turn(&nodes[*it], &nodes, "g#1", wall);
        let eligible: Vec<usize> = (0..nodes.len()).filter(on_turn).collect();
        expect_that!(eligible.len(), le(1));
        eligible.iter().for_each(|it| turns[*it] += 1);
    }
    expect_that!(turns, each(gt(0)));
    expect_that!(quarantine::is_turn("n0", &nodes[..1], "g#1", Duration::ZERO), eq(true));
}
