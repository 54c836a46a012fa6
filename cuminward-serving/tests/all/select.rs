//! Choice of an upstream.

use cuminward_serving::select::{Candidate, Standing, best};
use googletest::prelude::*;

struct Case {
    name: &'static str,
    candidates: Vec<Candidate>,
    expected: Option<usize>,
}

#[gtest]
fn the_least_loaded_upstream_is_chosen() {
    let it = |load, slots, is_near| {
        let standing = Standing::Sound;
        Candidate { load, slots, is_near, standing, pace: 1.0, affinity: 0, tie: 0 }
    };
    let of = |standing, it| Candidate { standing, ..it };
    let cases = [
        Case { name: "none", candidates: vec![], expected: None },
        Case {
            name: "less load",
            candidates: vec![it(3, 10, false), it(1, 10, false)],
            expected: Some(1),
        },
        Case {
            name: "more slots",
            candidates: vec![it(3, 4, false), it(4, 20, false)],
            expected: Some(1),
        },
        Case {
            name: "near of equals",
            candidates: vec![it(1, 10, false), it(1, 10, true)],
            expected: Some(1),
        },
        Case {
            name: "far but idle",
            candidates: vec![it(9, 10, true), it(1, 10, false)],
            expected: Some(1),
        },
        Case {
            name: "slower",
            candidates: vec![Candidate { pace: 5.0, ..it(1, 10, false) }, it(4, 10, false)],
            expected: Some(1),
        },
        Case {
            name: "slow and idle",
            candidates: vec![of(Standing::Slow, it(0, 10, false)), it(9, 10, false)],
            expected: Some(1),
        },
        Case {
            name: "slow against doubtful",
            candidates: vec![
                of(Standing::Doubtful, it(0, 10, false)),
                of(Standing::Slow, it(9, 10, false)),
            ],
            expected: Some(1),
        },
        Case {
            name: "only doubtful ones",
            candidates: vec![of(Standing::Doubtful, it(3, 10, false))],
            expected: Some(0),
        },
    ];
    for case in cases {
        expect_that!(best(&case.candidates, usize::MAX), eq(case.expected), "{}", case.name);
    }
}

#[gtest]
fn a_node_that_chooses_among_few_takes_others_only_if_those_are_worse() {
    let it = |affinity, load, standing| Candidate {
        load,
        slots: 10,
        is_near: false,
        standing,
        pace: 1.0,
        affinity,
        tie: 0,
    };
    use Standing::{Slow, Sound};
    let cases = [
        ("preferred", vec![it(1, 0, Sound), it(9, 5, Sound), it(8, 4, Sound)], Some(2)),
        ("preferred ones are slow", vec![it(1, 9, Sound), it(9, 0, Slow), it(8, 0, Slow)], Some(0)),
        ("none", vec![], None),
    ];
    for (name, candidates, expected) in cases {
        expect_that!(best(&candidates, 2), eq(expected), "{name}");
    }
}
