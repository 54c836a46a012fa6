//! Tests of retry decisions and the retry budget.

use std::time::Duration;

use cuminward_core::outcome::Outcome;
use cuminward_route::attempt::{self, Budget, Decision, Report, Semantics, State};
use googletest::prelude::*;

struct Case {
    semantics: Semantics,
    report: Report,
    attempts: u32,
    may_have_run: bool,
    expected: &'static str,
}

const fn case(
    semantics: Semantics,
    report: Report,
    attempts: u32,
    may_have_run: bool,
    expected: &'static str,
) -> Case {
    Case { semantics, report, attempts, may_have_run, expected }
}

const CASES: &[Case] = &[
    case(Semantics::Once, Report::Complete, 1, false, "finish"),
    case(Semantics::Once, Report::NotRun, 1, false, "retry"),
    case(Semantics::Once, Report::NotRun, 3, false, "not-run"),
    case(Semantics::Once, Report::Unknown, 1, false, "unknown"),
    case(Semantics::Once, Report::Broken(0), 1, false, "unknown"),
    case(Semantics::Once, Report::Broken(4), 1, false, "unknown"),
    case(Semantics::Idempotent, Report::Unknown, 1, false, "retry"),
    case(Semantics::Idempotent, Report::NotRun, 3, true, "unknown"),
    case(Semantics::Idempotent, Report::Broken(0), 1, false, "retry"),
    case(Semantics::Idempotent, Report::Broken(4), 1, false, "unknown"),
    case(Semantics::Generation, Report::Broken(0), 1, false, "retry"),
    case(Semantics::Generation, Report::Broken(7), 2, true, "resume 7"),
    case(Semantics::Generation, Report::Broken(7), 3, true, "unknown"),
    case(Semantics::Generation, Report::Unknown, 2, false, "retry"),
];

fn name(decision: Decision) -> String {
    match decision {
        Decision::Retry => "retry".into(),
        Decision::Resume { at } => format!("resume {at}"),
        Decision::Finish(_) => "finish".into(),
        Decision::Refuse(it) => it.outcome.as_str().into(),
    }
}

fn state(case: &Case) -> State {
    State {
        semantics: case.semantics,
        attempts: case.attempts,
        max_attempts: 3,
        deadline: Duration::from_secs(10),
        may_have_run: case.may_have_run,
    }
}

#[gtest]
fn decides_by_semantics_and_report() {
    for (index, it) in CASES.iter().enumerate() {
        let budget = Budget::new(100, 10);
        let decision = attempt::decide(&state(it), it.report, &budget, Duration::ZERO);
        expect_that!(name(decision), eq(it.expected), "case {index}");
    }
}

#[gtest]
fn refuses_after_the_deadline_and_without_budget() {
    let state = state(&CASES[1]);
    let late = Duration::from_secs(10);
    let full = Budget::new(100, 10);
    let empty = Budget::new(100, 0);
    for (budget, now) in [(&full, late), (&empty, Duration::ZERO)] {
        let decision = attempt::decide(&state, Report::NotRun, budget, now);
        let Decision::Refuse(refusal) = decision else { panic!("not refused: {decision:?}") };
        expect_that!(refusal.outcome, eq(Outcome::NotRun));
    }
    expect_that!(full.available(), eq(10));
}

#[gtest]
fn retries_never_exceed_the_budget() {
    let budget = Budget::new(100, 5);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    expect_that!(retries, le(1_005));
    expect_that!(retries, ge(990));
}
