//! Retry decisions after an attempt to run a request.
//!
//! A [`Report`] describes how an attempt ended. Only [`decide`] determines whether the request is sent
//! again.

mod budget;

use std::time::Duration;

use cuminward_core::outcome;
use cuminward_derive::value;

pub use self::budget::Budget;

/// Default limit of attempts for one request, the first one included.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// How an attempt ended.
#[value]
pub enum Report {
    /// The upstream provably didn't run the request.
    NotRun,
    /// The whole reply was received.
    Complete,
    /// The request may have run; no part of the reply was passed to the caller.
    Unknown,
    /// The reply was interrupted; the caller has received all tokens before this index.
    Broken(u32),
}

/// Execution semantics of a request, which decide how it may be retried.
#[value]
pub enum Semantics {
    /// Generation of tokens: may be retried from the start or resumed at a token.
    Generation,
    /// Idempotent call: may be retried until the caller has received part of the reply.
    Idempotent,
    /// At-most-once call: retried only if the upstream provably didn't run it.
    Once,
}

/// State of a request after an attempt.
#[derive(Debug, Clone, Copy)]
pub struct State {
    /// Execution semantics of the request.
    pub semantics: Semantics,
    /// Number of attempts that have ended, including the last one.
    pub attempts: u32,
    /// Limit of attempts, including the first one.
    pub max_attempts: u32,
    /// Deadline of the request, since the start of the process.
    pub deadline: Duration,
    /// Whether an earlier attempt of the request may have run.
    pub may_have_run: bool,
}

/// Decision after an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request is sent again from its start.
    Retry,
    /// The request is sent again, and the upstream skips the tokens before an index.
    Resume {
        /// Index of the first token that the caller hasn't received.
        at: u32,
    },
    /// The caller has received the whole reply.
    Finish(outcome::Outcome),
    /// The request is refused: there is no complete reply. The refusal states whether the request may
    /// have run.
    Refuse(outcome::Refusal),
}

/// Decides what follows an attempt. Withdraws one retry from the budget only if the request is sent
/// again.
pub fn decide(state: &State, report: Report, budget: &Budget, now: Duration) -> Decision {
    if report == Report::Complete {
        return Decision::Finish(outcome::Outcome::Complete);
    }
    let Some(decision) = retry(state.semantics, report) else {
        return Decision::Refuse(refusal(state, report, "the upstream failed"));
    };
    if state.attempts >= state.max_attempts {
        return Decision::Refuse(refusal(state, report, "every attempt failed"));
    }
    if now >= state.deadline {
        return Decision::Refuse(refusal(state, report, "the deadline has passed"));
    }
    if !budget.withdraw() {
        return Decision::Refuse(refusal(state, report, "the retry budget is used up"));
    }
    decision
}

/// Returns how a request with these semantics may be sent again after such a report, or `None` if it
/// must not be.
fn retry(semantics: Semantics, report: Report) -> Option<Decision> {
    match (semantics, report) {
        (_, Report::Complete) => None,
        (_, Report::NotRun) => Some(Decision::Retry),
        (Semantics::Generation, Report::Broken(0)) => Some(Decision::Retry),
        (Semantics::Generation, Report::Broken(at)) => Some(Decision::Resume { at }),
        (Semantics::Generation | Semantics::Idempotent, Report::Unknown) => Some(Decision::Retry),
        (Semantics::Idempotent, Report::Broken(0)) => Some(Decision::Retry),
        (Semantics::Idempotent, Report::Broken(_)) => None,
        (Semantics::Once, Report::Unknown | Report::Broken(_)) => None,
    }
}

/// Creates the refusal after the last attempt. Its outcome is `not-run` only if no attempt may have
/// run.
fn refusal(state: &State, report: Report, message: &str) -> outcome::Refusal {
    let not_run = report == Report::NotRun && !state.may_have_run;
    if not_run {
        outcome::Refusal::not_run(outcome::Cause::Unavailable, message).retry_after(1)
    } else {
        outcome::Refusal::unknown(outcome::Cause::UpstreamFailed, message)
    }
}
