//! Tests of the hosts that are leaving.

use std::time::Duration;

use cuminward_serving::leaving::{Start, Tracker};
use googletest::prelude::*;

use crate::fixture;

/// Time for which what is new is told to others.
const NEWS_TIME: Duration = Duration::from_secs(6);

fn start(started_ms: u64) -> Start {
    Start { host: String::from("h-1"), started_ms }
}

/// Guards against hosts that stop leaving because an earlier start of them is heard of, and against those that leave for
/// good.
#[gtest]
fn only_a_newer_start_ends_that_a_host_is_leaving() {
    struct Case {
        name: &'static str,
        /// Starts that are found to be leaving, one after the other, and whether each was new.
        found: &'static [(u64, bool)],
        /// Starts that are listed afterwards.
        listed: &'static [u64],
        /// Starts that get no requests at the end, and one that does.
        leaving: &'static [u64],
        staying: u64,
    }
    let cases = [
        Case { name: "found", found: &[(5, true)], listed: &[], leaving: &[4, 5], staying: 6 },
        Case {
            name: "again",
            found: &[(5, true), (5, false)],
            listed: &[],
            leaving: &[5],
            staying: 6,
        },
        Case {
            name: "late",
            found: &[(5, true), (4, false)],
            listed: &[],
            leaving: &[5],
            staying: 6,
        },
        Case {
            name: "two",
            found: &[(5, true), (7, true)],
            listed: &[],
            leaving: &[6, 7],
            staying: 8,
        },
        Case { name: "same", found: &[(5, true)], listed: &[5, 4], leaving: &[5], staying: 6 },
        Case { name: "newer", found: &[(5, true)], listed: &[6], leaving: &[], staying: 6 },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        for (started_ms, is_new) in case.found {
            let recorded = tracker.record(Duration::from_secs(1), &start(*started_ms));
            expect_that!(recorded, eq(*is_new), "{}: {started_ms}", case.name);
        }
        for started_ms in case.listed {
            let mut host = fixture::host("h-1", "f");
            host.started_ms = *started_ms;
            tracker.clear_earlier(&host);
        }
        for started_ms in case.leaving {
            expect_that!(
                tracker.contains("h-1", *started_ms),
                eq(true),
                "{}: {started_ms}",
                case.name
            );
        }
        expect_that!(tracker.contains("h-1", case.staying), eq(false), "{}", case.name);
        expect_that!(tracker.contains("h-2", 1), eq(false), "{}", case.name);
    }
}

/// Guards against nodes that tell each other of a host that leaves without end.
#[gtest]
fn only_what_was_found_lately_is_told() {
    struct Case {
        /// Seconds after the host was found to be leaving, and found again 2 s later.
        after: u64,
        is_told: bool,
    }
    let cases = [
        Case { after: 0, is_told: true },
        Case { after: 5, is_told: true },
        Case { after: 6, is_told: false },
        Case { after: 60, is_told: false },
    ];
    let found_at = Duration::from_secs(100);
    let mut tracker = Tracker::default();
    tracker.record(found_at, &start(5));
    tracker.record(found_at + Duration::from_secs(2), &start(5));
    for case in cases {
        let now = found_at + Duration::from_secs(case.after);
        let told: Vec<Start> = tracker.news(now, NEWS_TIME).collect();
        let expected = if case.is_told { vec![start(5)] } else { Vec::new() };
        expect_that!(told, eq(&expected), "{}", case.after);
    }
}
