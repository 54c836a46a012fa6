//! Tests of following the log and peers.

use cuminward_config::{
    fold::Fold,
    follow::{Follower, Input, MAX_BUFFERED, MAX_RECENT, Page},
    record,
    snapshot::Snapshot,
};
use cuminward_core::change::Action;
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::sample;

fn drain(index: u64) -> Value {
    sample::change(&format!("c{index}"), None, Action::Drain(format!("h{index}")))
}

fn page(oldest: u64, next: u64, offsets: std::ops::Range<u64>) -> Input {
    let records = offsets.map(|it| (it, drain(it))).collect();
    Input::Page(Page { oldest, next, records })
}

fn state(revision: u64) -> Fold {
    let mut fold = Fold::default();
    for offset in 0..revision {
        fold.apply(offset, &drain(offset));
    }
    fold
}

fn logged_snapshot(revision: u64, taken_ms: u64) -> Value {
    let snapshot = Snapshot::new(&state(revision), taken_ms);
    record::to_value(&record::Record::Snapshot(Box::new(snapshot)))
}

#[gtest]
fn a_new_node_is_ready_once_it_has_caught_up() {
    struct Case {
        name: &'static str,
        inputs: Vec<Input>,
        revision: Option<u64>,
        read_from: u64,
        needs_snapshot: bool,
        ready: bool,
    }
    let snapshot = |at| Input::Snapshot(Box::new(Snapshot::new(&state(at), 0)));
    let with_snapshot = |oldest, at| {
        let mut records: Vec<_> = (oldest..20).map(|it| (it, drain(it))).collect();
        records.push((20, logged_snapshot(at, 0)));
        Input::Page(Page { oldest, next: 21, records })
    };
    let cases = [
        Case {
            name: "no input",
            inputs: vec![],
            revision: None,
            read_from: 0,
            needs_snapshot: false,
            ready: false,
        },
        Case {
            name: "an empty log",
            inputs: vec![page(0, 0, 0..0)],
            revision: Some(0),
            read_from: 0,
            needs_snapshot: false,
            ready: true,
        },
        Case {
            name: "the start of a log",
            inputs: vec![page(0, 9, 0..4)],
            revision: Some(4),
            read_from: 4,
            needs_snapshot: false,
            ready: false,
        },
        Case {
            name: "a whole log",
            inputs: vec![page(0, 9, 0..4), page(0, 9, 4..9)],
            revision: Some(9),
            read_from: 9,
            needs_snapshot: false,
            ready: true,
        },
        Case {
            name: "a peer that is behind the log",
            inputs: vec![Input::Trimmed { oldest: 5 }, page(5, 9, 5..6), snapshot(6)],
            revision: Some(6),
            read_from: 6,
            needs_snapshot: false,
            ready: false,
        },
        Case {
            name: "a trimmed log without a snapshot",
            inputs: vec![Input::Trimmed { oldest: 5 }, page(5, 9, 5..9)],
            revision: None,
            read_from: 9,
            needs_snapshot: true,
            ready: false,
        },
        Case {
            name: "a trimmed log and a peer",
            inputs: vec![Input::Trimmed { oldest: 5 }, page(5, 9, 5..9), snapshot(7)],
            revision: Some(9),
            read_from: 9,
            needs_snapshot: false,
            ready: true,
        },
        Case {
            name: "a trimmed log with a snapshot",
            inputs: vec![Input::Trimmed { oldest: 5 }, with_snapshot(5, 12)],
            revision: Some(21),
            read_from: 21,
            needs_snapshot: false,
            ready: true,
        },
        Case {
            name: "a snapshot that ends before the oldest record",
            inputs: vec![Input::Trimmed { oldest: 15 }, with_snapshot(15, 12)],
            revision: Some(12),
            read_from: 21,
            needs_snapshot: true,
            ready: false,
        },
        Case {
            name: "only a peer",
            inputs: vec![snapshot(7), Input::Deltas(vec![(8, drain(8)), (7, drain(7))])],
            revision: Some(9),
            read_from: 9,
            needs_snapshot: false,
            ready: true,
        },
    ];
    for case in cases {
        let mut follower = Follower::default();
        for input in case.inputs {
            follower.step(input);
        }
        let name = case.name;
        expect_that!(follower.fold().map(Fold::revision), eq(case.revision), "{name}");
        expect_that!(follower.read_from(), eq(case.read_from), "{name}");
        expect_that!(follower.needs_snapshot(), eq(case.needs_snapshot), "{name}");
        expect_that!(follower.is_ready(), eq(case.ready), "{name}");
    }
}

#[gtest]
fn a_slow_reader_keeps_its_state_until_a_newer_snapshot_arrives() {
    let mut follower = Follower::default();
    follower.step(page(0, 3, 0..3));
    follower.step(Input::Trimmed { oldest: 10 });
    expect_that!(follower.step(page(10, 12, 10..12)).changed, eq(false));
    expect_that!((follower.revision(), follower.needs_snapshot()), eq((3, true)));
    let snapshot = Input::Snapshot(Box::new(Snapshot::new(&state(11), 0)));
    expect_that!(follower.step(snapshot).changed, eq(true));
    expect_that!((follower.revision(), follower.needs_snapshot()), eq((12, false)));
    let older = Input::Snapshot(Box::new(Snapshot::new(&state(5), 0)));
    expect_that!(follower.step(older).changed, eq(false));
    expect_that!(follower.revision(), eq(12));
}

#[gtest]
fn a_log_that_lost_records_is_detected_and_the_state_is_kept() {
    let mut follower = Follower::default();
    follower.step(page(0, 8, 0..8));
    let outcome = follower.step(page(0, 2, 0..2));
    expect_that!((outcome.log_behind, outcome.changed), eq((true, false)));
    expect_that!(follower.revision(), eq(8));
}

#[gtest]
fn deltas_are_available_for_as_long_as_records_are_kept() {
    let kept = MAX_RECENT as u64;
    let mut follower = Follower::default();
    follower.step(page(0, kept + 10, 0..kept + 10));
    expect_that!(follower.deltas(9, 5), none());
    expect_that!(follower.deltas(10, 5).map(|it| it.len()), some(eq(5)));
    expect_that!(follower.deltas(kept + 8, 5).map(|it| it.len()), some(eq(2)));
    expect_that!(follower.deltas(kept + 10, 5), some(eq(&vec![])));
    // There is a gap between the records before and after a restored state.
    follower.step(Input::Snapshot(Box::new(Snapshot::new(&state(kept + 20), 0))));
    follower.step(Input::Deltas(vec![(kept + 20, drain(kept + 20))]));
    expect_that!(follower.deltas(kept + 9, 50), none());
    expect_that!(follower.deltas(kept + 20, 50).map(|it| it.len()), some(eq(1)));
}

#[gtest]
fn buffered_records_are_bounded_and_can_be_read_again() {
    struct Case {
        text_bytes: usize,
        count: u64,
    }
    let many = Case { text_bytes: 1, count: MAX_BUFFERED as u64 + 10 };
    let large = Case { text_bytes: 1 << 20, count: 12 };
    for Case { text_bytes, count } in [many, large] {
        let value = json!({"kind": "policy", "text": "x".repeat(text_bytes)});
        let record = |offset| (offset, value.clone());
        let mut follower = Follower::default();
        follower.step(page(0, 1, 0..1));
        // The record at offset 1 is missing, so the others are buffered, and the last ones are
        // dropped.
        follower.step(Input::Deltas((2..count).map(record).collect()));
        follower.step(Input::Deltas(vec![record(1)]));
        expect_that!(follower.revision(), gt(1));
        expect_that!(follower.revision(), lt(count));
        let records = (follower.read_from()..count).map(record).collect();
        follower.step(Input::Page(Page { oldest: 0, next: count, records }));
        expect_that!(follower.revision(), ge(count - 5));
    }
}
