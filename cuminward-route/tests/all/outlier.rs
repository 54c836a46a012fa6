//! Tests of outlier detection and of the detection of stalled connections.

use std::time::Duration;

use cuminward_route::{
    outlier::{Detector, Options, Sample},
    stall,
};
use googletest::prelude::*;

const FAST: Sample = Sample::Answered(Duration::from_millis(20));
const SLOW: Sample = Sample::Answered(Duration::from_millis(200));

#[gtest]
fn ejects_outliers_down_to_the_floor() {
    struct Case {
        samples: &'static [Sample],
        count: usize,
        expected: usize,
    }
    let cases = [
        Case { samples: &[FAST, FAST, FAST], count: 10, expected: 0 },
        Case { samples: &[Sample::Failed, FAST, FAST], count: 10, expected: 1 },
        Case { samples: &[SLOW, FAST, FAST], count: 10, expected: 1 },
        Case { samples: &[Sample::Failed], count: 10, expected: 3 },
        Case { samples: &[Sample::Failed], count: 1, expected: 0 },
        Case { samples: &[Sample::Failed, FAST], count: 2, expected: 0 },
    ];
    for (number, case) in cases.iter().enumerate() {
        let names: Vec<String> = (0..case.count).map(|it| format!("u{it}")).collect();
        let mut detector = Detector::new(Options::default());
        detector.set_upstreams(names.iter().map(String::as_str));
        for (index, name) in names.iter().enumerate() {
            let sample = case.samples[index.min(case.samples.len() - 1)];
            (0..10).for_each(|_| detector.record(name, sample));
        }
        let now = Duration::from_secs(5);
        detector.evaluate(now);
        expect_that!(detector.ejected(now).count(), eq(case.expected), "case {number}");
        let later = now + Options::default().ejection;
        expect_that!(detector.ejected(later).count(), eq(0), "case {number}");
    }
}

#[gtest]
fn stalled_connections_are_dropped_and_the_cause_is_found() {
    let options = stall::Options::default();
    let second = Duration::from_secs;
    let cases = [
        (None, 9, stall::Action::Wait(second(10))),
        (None, 10, stall::Action::Drop),
        (Some(second(30)), 31, stall::Action::Wait(second(32))),
        (Some(second(30)), 32, stall::Action::Drop),
    ];
    for (received, now, expected) in cases {
        let connection = stall::Connection { sent: Duration::ZERO, received };
        expect_that!(stall::decide(second(now), &connection, &options), eq(expected));
    }
    expect_that!(stall::cause(true), eq(stall::Cause::Connection));
    expect_that!(stall::cause(false), eq(stall::Cause::Upstream));
}
