//! Tests of when snapshots are due and which node appends them.

use std::time::Duration;

use cuminward_config::snapshot::{
    Header, MAX_TAIL_RECORDS, Options, Schedule, TURN_INTERVAL, View,
};
use googletest::prelude::*;

const RETENTION: Duration = Duration::from_secs(1_000);
const WALL_MS: u64 = 10_000_000;

fn view(newest: Option<Header>) -> View {
    View { oldest: 0, next: 50, revision: 50, newest, has_unknown: false }
}

fn schedule(node: &str) -> Schedule {
    Schedule::new(Options { node: node.to_owned(), retention: RETENTION })
}

#[gtest]
fn snapshots_are_due_before_the_log_trims_records() {
    struct Case {
        name: &'static str,
        view: View,
        due: bool,
    }
    let fresh = Header { at: 40, taken_ms: WALL_MS - 1_000 };
    let old = Header { at: 40, taken_ms: WALL_MS - 500_000 };
    let cases = [
        Case { name: "fresh", view: view(Some(fresh)), due: false },
        Case { name: "half of the retention", view: view(Some(old)), due: true },
        Case { name: "none yet", view: view(None), due: true },
        Case { name: "no records", view: View { next: 0, revision: 0, ..view(None) }, due: false },
        Case {
            name: "node behind the log",
            view: View { next: 51, ..view(Some(old)) },
            due: false,
        },
        Case {
            name: "records after the snapshot trimmed",
            view: View { oldest: 41, ..view(Some(fresh)) },
            due: true,
        },
        Case {
            name: "long tail",
            view: View {
                next: 40 + MAX_TAIL_RECORDS,
                revision: 40 + MAX_TAIL_RECORDS,
                ..view(Some(fresh))
            },
            due: true,
        },
    ];
    for Case { name, view, due } in cases {
        let appends = schedule("a").step(TURN_INTERVAL, WALL_MS, &view, ["a"]);
        expect_that!(appends, eq(due), "{name}");
    }
}

#[gtest]
fn a_fast_clock_of_the_writer_does_not_delay_the_next_snapshot() {
    let ahead = Header { at: 40, taken_ms: WALL_MS * 2 };
    let mut schedule = schedule("a");
    let mut step =
        |seconds| schedule.step(Duration::from_secs(seconds), WALL_MS, &view(Some(ahead)), ["a"]);
    expect_that!((step(0), step(499), step(500)), eq((false, false, true)));
}

#[gtest]
fn nodes_take_turns() {
    let nodes: Vec<String> = (0..9).map(|it| format!("n{it}")).collect();
    let names = || nodes.iter().map(String::as_str);
    let first_turns = |has_unknown: &dyn Fn(&str) -> bool| -> Vec<u64> {
        let turn = |node: &str| {
            let mut schedule = schedule(node);
            let view = View { has_unknown: has_unknown(node), ..view(None) };
            (0..100).find(|it| schedule.step(TURN_INTERVAL * *it, WALL_MS, &view, names()))
        };
        let mut turns: Vec<u64> = names().filter_map(turn).map(u64::from).collect();
        turns.sort_unstable();
        turns
    };
    expect_that!(first_turns(&|_| false), eq(&(0..9).collect::<Vec<_>>()));
    // Nodes whose state holds records of unknown kinds take their turns after all others.
    let turns = first_turns(&|node| node < "n4");
    expect_that!(turns.iter().filter(|it| **it >= 9).count(), eq(4));
}
