//! Retry decision after a failed attempt.

use std::time::Duration;

use cuminward_serving::{
    attempt::{self, Bounds, Counts, Failure, Next},
    catalog::Retry,
};
use googletest::prelude::*;

struct Case {
    name: &'static str,
    retry: Retry,
    state: Counts,
    failure: Failure,
    left_ms: u64,
    expected: Next,
}

#[gtest]
fn only_retryable_requests_are_sent_again() {
    let ran = |ran| Counts { maybe_ran: ran, ..Counts::default() };
    let refused = |refused| Counts { not_run: refused, ..Counts::default() };
    let left = |it| Counts { left: 1, ..it };
    let case = |name, retry, state, failure, expected| Case {
        name,
        retry,
        state,
        failure,
        left_ms: 1000,
        expected,
    };
    let mut cases = vec![
        case("lost call", Retry::Never, ran(1), Failure::Unknown, Next::Fail),
        case("refused call", Retry::Never, refused(1), Failure::NotRun, Next::Retry),
        case("often refused", Retry::Never, refused(4), Failure::NotRun, Next::Refuse),
        case("lost read", Retry::Idempotent, ran(1), Failure::Unknown, Next::Retry),
        case("read lost twice", Retry::Idempotent, ran(2), Failure::Unknown, Next::Fail),
        case("lost stream", Retry::Resumable, ran(1), Failure::Unknown, Next::Retry),
        case("lost plain stream", Retry::Stream, ran(1), Failure::Unknown, Next::Fail),
        case("moved, then lost", Retry::Resumable, left(ran(2)), Failure::Unknown, Next::Return),
        case("moved, attempts left", Retry::Resumable, left(ran(1)), Failure::Unknown, Next::Retry),
        case("moved, may not run again", Retry::Never, left(ran(2)), Failure::Unknown, Next::Fail),
        case(
            "moved, then often refused",
            Retry::Resumable,
            Counts { maybe_ran: 1, not_run: 4, left: 1 },
            Failure::NotRun,
            Next::Return,
        ),
        case(
            "call refused after one that may have run",
            Retry::Never,
            Counts { maybe_ran: 1, not_run: 1, left: 0 },
            Failure::NotRun,
            Next::Fail,
        ),
    ];
    cases.push(Case {
        name: "no time left",
        retry: Retry::Idempotent,
        state: refused(1),
        failure: Failure::NotRun,
        left_ms: 5,
        expected: Next::Refuse,
    });
    for case in cases {
        let bounds = Bounds {
            retry: case.retry,
            max_attempts: 2,
            time_left: Duration::from_millis(case.left_ms),
        };
        let next = attempt::decide(case.state, case.failure, &bounds);
        expect_that!(next, eq(case.expected), "{}", case.name);
    }
}
