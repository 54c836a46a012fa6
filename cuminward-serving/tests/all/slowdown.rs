//! Hosts that are slower than usual.

use std::time::Duration;

use cuminward_serving::slowdown::{NORMAL, Tracker};
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Case {
    name: &'static str,
    said: &'static [f64],
    /// Whether the last of them is new.
    is_news: bool,
    factor: f64,
}

#[gtest]
fn a_host_is_as_slow_as_it_said_last() {
    let cases = [
        Case { name: "as usual", said: &[1.0], is_news: false, factor: NORMAL },
        Case { name: "hardly slower", said: &[1.9], is_news: false, factor: NORMAL },
        Case { name: "slow", said: &[4.0], is_news: true, factor: 4.0 },
        Case { name: "as slow as before", said: &[4.0, 4.0], is_news: false, factor: 4.0 },
        Case { name: "slower", said: &[4.0, 12.0], is_news: true, factor: 12.0 },
        Case { name: "recovered", said: &[4.0, 1.0], is_news: true, factor: NORMAL },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        let news = case.said.iter().map(|it| tracker.record(ms(0), "h", *it, INTERVAL));
        expect_that!(news.last(), some(eq(case.is_news)), "{}", case.name);
        expect_that!(tracker.factor("h"), eq(case.factor), "{}", case.name);
    }
}

#[gtest]
fn a_slow_host_is_asked_again_until_it_recovers() {
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
