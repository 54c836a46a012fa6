//! Tracking of hosts that are slower than usual.

use std::time::Duration;

use cuminward_serving::slowdown::{NORMAL, Tracker};
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Case {
    name: &'static str,
    reported: &'static [f64],
    /// Whether the last report changes the known slowdown.
    is_change: bool,
    factor: f64,
}

#[gtest]
fn the_last_reported_slowdown_counts() {
    let cases = [
        Case { name: "as usual", reported: &[1.0], is_change: false, factor: NORMAL },
        Case { name: "hardly slower", reported: &[1.9], is_change: false, factor: NORMAL },
        Case { name: "slow", reported: &[4.0], is_change: true, factor: 4.0 },
        Case { name: "as slow as before", reported: &[4.0, 4.0], is_change: false, factor: 4.0 },
        Case { name: "slower", reported: &[4.0, 12.0], is_change: true, factor: 12.0 },
        Case { name: "recovered", reported: &[4.0, 1.0], is_change: true, factor: NORMAL },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        let changes = case.reported.iter().map(|it| tracker.record(ms(0), "h", *it, INTERVAL));
        expect_that!(changes.last(), some(eq(case.is_change)), "{}", case.name);
        expect_that!(tracker.factor("h"), eq(case.factor), "{}", case.name);
    }
}

#[gtest]
fn a_slow_host_is_probed_until_it_recovers() {
    let mut tracker = Tracker::default();
    tracker.record(ms(1000), "h", 4.0, INTERVAL);
    expect_that!(tracker.take_due_probes(ms(1399), INTERVAL), is_empty());
    expect_that!(tracker.take_due_probes(ms(1400), INTERVAL), elements_are![eq("h")]);
    expect_that!(tracker.take_due_probes(ms(1400), INTERVAL), is_empty());
    expect_that!(
        tracker.take_due_probes(ms(1800), INTERVAL),
        elements_are![eq("h")],
        "no answer came"
    );
    tracker.record(ms(1900), "h", 1.0, INTERVAL);
    expect_that!(tracker.take_due_probes(ms(9000), INTERVAL), is_empty());
}
