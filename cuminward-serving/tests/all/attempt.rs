//! What follows a failed attempt.

use std::time::Duration;

use cuminward_serving::{
    attempt::{self, Bounds, Failure, Next, State},
    catalog::Repeat,
};
use googletest::prelude::*;

struct Case {
    name: &'static str,
    repeat: Repeat,
    state: State,
    failure: Failure,
    left_ms: u64,
    expected: Next,
}

#[gtest]
fn only_what_may_be_repeated_is_sent_again() {
    let ran = |ran| State { ran, refused: 0 };
    let refused = |refused| State { ran: 0, refused };
    let case = |name, repeat, state, failure, expected| Case {
        name,
        repeat,
        state,
        failure,
        left_ms: 1000,
        expected,
    };
    let mut cases = vec![
        case("lost call", Repeat::Never, ran(1), Failure::Unknown, Next::Fail),
        case("refused call", Repeat::Never, refused(1), Failure::NotRun, Next::Again),
        case("often refused", Repeat::Never, refused(4), Failure::NotRun, Next::Refuse),
        case("lost read", Repeat::Idempotent, ran(1), Failure::Unknown, Next::Again),
        case("read lost twice", Repeat::Idempotent, ran(2), Failure::Unknown, Next::Fail),
        case("lost stream", Repeat::Resumable, ran(1), Failure::Unknown, Next::Again),
        case("lost plain stream", Repeat::Stream, ran(1), Failure::Unknown, Next::Fail),
        case(
            "call refused after one that may have run",
            Repeat::Never,
            State { ran: 1, refused: 1 },
            Failure::NotRun,
            Next::Fail,
        ),
    ];
    cases.push(Case {
        name: "no time left",
        repeat: Repeat::Idempotent,
        state: refused(1),
        failure: Failure::NotRun,
        left_ms: 5,
        expected: Next::Refuse,
    });
    for case in cases {
        let bounds = Bounds {
            repeat: case.repeat,
            max_attempts: 2,
            left: Duration::from_millis(case.left_ms),
        };
        let next = attempt::next(case.state, case.failure, &bounds);
        expect_that!(next, eq(case.expected), "{}", case.name);
    }
}
