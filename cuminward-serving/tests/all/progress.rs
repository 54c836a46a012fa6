//! Pauses between the events of a replica.

use std::time::Duration;

use cuminward_serving::progress::{
    MAX_CHECK_AFTER, MIN_CHECK_AFTER, check_after, give_up_after, longest_pause, mean_first_event,
    move_after,
};
use googletest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Case {
    name: &'static str,
    pauses: Vec<u64>,
    expected: Duration,
}

#[gtest]
fn a_replica_is_checked_after_a_pause_that_is_longer_than_its_usual_ones() {
    let cases = [
        Case { name: "no event yet", pauses: vec![], expected: MIN_CHECK_AFTER },
        Case { name: "short pauses", pauses: vec![60, 70, 65], expected: MIN_CHECK_AFTER },
        Case { name: "long prompts", pauses: vec![60, 260, 40], expected: ms(375) },
        Case { name: "very long prompts", pauses: vec![700], expected: MAX_CHECK_AFTER },
        Case {
            name: "long pauses are over since 1.2 s",
            pauses: [vec![300], vec![60; 20]].concat(),
            expected: MIN_CHECK_AFTER,
        },
    ];
    for case in cases {
        let recent =
            case.pauses.iter().fold(Duration::ZERO, |recent, it| longest_pause(recent, ms(*it)));
        expect_that!(check_after(recent), eq(case.expected), "{}", case.name);
    }
}

#[gtest]
fn a_loaded_replica_is_seldom_checked_in_vain() {
    // Pauses of a replica that reads prompts of up to six pieces between its events.
    let pauses: Vec<u64> = (0..1000_u64).map(|it| 60 + 45 * (it * 7919 % 7)).collect();
    let mut recent = Duration::ZERO;
    let (mut checks, mut fixed) = (0, 0);
    for pause in pauses.iter().map(|it| ms(*it)) {
        checks += u32::from(pause > check_after(recent));
        fixed += u32::from(pause > MIN_CHECK_AFTER);
        recent = longest_pause(recent, pause);
    }
    expect_that!(fixed, ge(300), "the load of this test has long pauses");
    expect_that!(checks, le(fixed / 20));
}

#[gtest]
fn requests_wait_longer_for_a_first_event_while_first_events_take_long_everywhere() {
    let cases = [
        ("no sample", vec![], 450),
        ("calm", vec![180; 20], 450),
        ("loaded", vec![500; 20], 1000),
        ("overloaded", vec![1200; 20], 1500),
        ("calm again", [vec![1200; 20], vec![150; 30]].concat(), 450),
    ];
    for (name, samples, expected) in cases {
        let mean =
            samples.iter().fold(Duration::ZERO, |it, sample| mean_first_event(it, ms(*sample)));
        let (at_least, at_most) = (ms(expected), ms(expected + 20));
        expect_that!(move_after(mean), all!(ge(at_least), le(at_most)), "{name}");
        expect_that!(give_up_after(mean), gt(move_after(mean) + ms(1000)), "{name}");
    }
}

#[gtest]
fn requests_that_moved_without_an_event_raise_the_mean() {
    // A load under which no request gets its first event in time: each moves, until the limit has
    // grown enough for them to stay.
    let mut mean = ms(200);
    let mut moved = 0;
    while move_after(mean) < ms(900) && moved < 100 {
        moved += 1;
        mean = mean_first_event(mean, move_after(mean) * 2);
    }
    expect_that!(moved, le(5));
}
