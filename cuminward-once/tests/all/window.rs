//! Tests of `window`.

use std::time::Duration;

use cuminward_once::{
    record::{Key, KeyBatch},
    window::{Occurrence, Window},
};
use googletest::prelude::*;

/// Length of the window in these tests, in milliseconds.
const LENGTH: u64 = 100;

fn window(retention: u64) -> Window {
    Window::new(Duration::from_millis(LENGTH), Duration::from_millis(retention))
}

fn started(hash: u8, issuer: &str) -> KeyBatch {
    let key = Key { hash: [hash; 16], issuer: issuer.to_owned() };
    KeyBatch { node: String::from("b"), batch: String::from("b-1-1"), keys: vec![key] }
}

fn is_first(window: &mut Window, at_ms: u64, hash: u8) -> bool {
    window.apply(at_ms, &started(hash, "a")) == [Occurrence::First]
}

#[gtest]
fn claim_is_first_without_a_record_in_the_window_before_it() {
    struct Case {
        name: &'static str,
        times: &'static [u64],
        first: &'static [bool],
    }
    let cases = [
        Case { name: "within", times: &[1000, 1050, 1100], first: &[true, false, false] },
        Case { name: "at the end", times: &[1000, 1100], first: &[true, false] },
        Case { name: "after", times: &[1000, 1101], first: &[true, true] },
        Case {
            name: "repeats restart the window",
            times: &[1000, 1090, 1180, 1281],
            first: &[true, false, false, true],
        },
        Case { name: "time goes back", times: &[1000, 900, 1101], first: &[true, false, true] },
    ];
    for case in cases {
        let mut window = window(0);
        let first: Vec<_> = case.times.iter().map(|it| is_first(&mut window, *it, 7)).collect();
        expect_that!(first, eq(case.first), "{}", case.name);
    }
}

#[gtest]
fn reader_that_starts_within_the_window_agrees() {
    // The record at 1000 is not read by the second reader.
    let times = [1000, 1090, 1180, 1195];
    let (mut all, mut late) = (window(0), window(0));
    let expected: Vec<_> = times.iter().map(|it| is_first(&mut all, *it, 7)).collect();
    for time in &times[1..2] {
        is_first(&mut late, *time, 7);
    }
    let late: Vec<_> = times[2..].iter().map(|it| is_first(&mut late, *it, 7)).collect();
    expect_that!(late, eq(&expected[2..]));
}

#[gtest]
fn completeness_needs_a_whole_window() {
    struct Case {
        name: &'static str,
        retention: u64,
        oldest: u64,
        times: &'static [u64],
        complete: bool,
    }
    let cases = [
        Case { name: "from the start", retention: 0, oldest: 0, times: &[], complete: true },
        Case { name: "trimmed", retention: 0, oldest: 5, times: &[], complete: false },
        Case { name: "one record", retention: 0, oldest: 5, times: &[1000], complete: false },
        Case { name: "a window", retention: 0, oldest: 5, times: &[1000, 1100], complete: false },
        Case { name: "more", retention: 0, oldest: 5, times: &[1000, 1101], complete: true },
        Case { name: "retained", retention: 101, oldest: 5, times: &[], complete: true },
        Case { name: "just less", retention: 100, oldest: 5, times: &[], complete: false },
    ];
    for case in cases {
        let mut window = window(case.retention);
        expect_that!(window.is_complete(), eq(false), "{}", case.name);
        window.start_at(case.oldest);
        case.times.iter().for_each(|it| window.advance_to(*it));
        expect_that!(window.is_complete(), eq(case.complete), "{}", case.name);
    }
}

#[gtest]
fn memory_is_bounded_by_the_window() {
    let mut window = window(0);
    for n in 0..100_000_u64 {
        let mut hash = [0; 16];
        hash[..8].copy_from_slice(&n.to_le_bytes());
        let key = Key { hash, issuer: format!("n{}", n / 100) };
        let keys = vec![key];
        window.apply(n, &KeyBatch { node: String::new(), batch: String::new(), keys });
    }
    expect_that!(window.len(), eq(LENGTH as usize + 1));
    expect_that!(window.memory_bytes(), lt(100 * 300));
}
