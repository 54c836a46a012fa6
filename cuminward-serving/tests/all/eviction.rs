//! Connections that are closed to make room.

use std::time::Duration;

use cuminward_serving::eviction::{self, Candidate, Stage};
use googletest::prelude::*;

fn candidate(stage: Stage, age_ms: u64, received: u64) -> Candidate {
    Candidate { stage, age: Duration::from_millis(age_ms), received }
}

/// Guards against crowds that keep their places while others have none, and against ordinary callers that lose theirs first.
#[gtest]
fn connections_without_use_are_closed_first() {
    struct Case {
        name: &'static str,
        candidates: Vec<Candidate>,
        count: usize,
        expected: Vec<usize>,
    }
    let idle = |age_ms| candidate(Stage::Idle, age_ms, 0);
    let refused = |age_ms| candidate(Stage::Refused, age_ms, 0);
    let receiving = |age_ms, received| candidate(Stage::Receiving, age_ms, received);
    let serving = |age_ms| candidate(Stage::Serving, age_ms, 0);
    let cases = [
        Case {
            name: "the order of the stages",
            candidates: vec![serving(9000), receiving(9000, 1), idle(9000), refused(9000)],
            count: 4,
            expected: vec![3, 2, 1, 0],
        },
        Case {
            name: "idle for longest",
            candidates: vec![idle(700), idle(9000), idle(5000)],
            count: 2,
            expected: vec![1, 2],
        },
        Case {
            name: "a body that trickles before a large one that began earlier",
            candidates: vec![receiving(60_000, 40 << 20), receiving(5000, 50)],
            count: 1,
            expected: vec![1],
        },
        Case {
            name: "open for longest",
            candidates: vec![serving(1500), serving(90_000)],
            count: 1,
            expected: vec![1],
        },
        Case {
            name: "all have just begun",
            candidates: vec![idle(400), refused(400), receiving(900, 0), serving(900)],
            count: 4,
            expected: vec![],
        },
        Case { name: "none wanted", candidates: vec![idle(9000)], count: 0, expected: vec![] },
        Case { name: "none there", candidates: vec![], count: 3, expected: vec![] },
    ];
    for case in cases {
        let chosen = eviction::choose(&case.candidates, case.count);
        expect_that!(chosen, eq(&case.expected), "{}", case.name);
    }
}
