//! What follows an attempt to run a request.
//!
//! Every way in which an attempt can end is a [`Report`], and [`decide`] is the only place that
//! decides whether a request is sent again.

mod budget;

use std::time::Duration;

use cuminward_core::outcome;
use cuminward_derive::value;

pub use self::budget::Budget;

/// Attempts of one request, the first one included.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// How an attempt ended.
#[value]
pub enum Report {
    /// The upstream provably did not run the request.
    NotRun,
    /// The whole reply was received.
    Complete,
    /// The request may have run; nothing of the reply was passed to the caller.
    Unknown,
    /// The reply broke off; the caller has all tokens before this index.
    Broken(u32),
}

/// Whether running a request again does harm.
#[value]
pub enum Semantics {
    /// Generation of tokens: may be repeated, and resumed at a token.
    Generation,
    /// A call that may be repeated while the caller has nothing of the reply.
    Idempotent,
    /// A call that runs at most once.
    Once,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy)]
pub struct State {
    /// What kind of work it is.
    pub semantics: Semantics,
    /// Attempts that have ended, the last one included.
    pub attempts: u32,
    /// Most attempts of the request.
    pub max_attempts: u32,
    /// When the request has to be complete, since the start of the process.
    pub deadline: Duration,
    /// Whether an earlier attempt of the request may have run.
    pub may_have_run: bool,
}

/// What follows an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request is sent again from its start.
    Retry,
    /// The request is sent again, and the upstream skips the tokens before an index.
    Resume {
        /// Index of the first token that the caller lacks.
        at: u32,
    },
    /// The caller has the whole reply.
    Finish(outcome::Outcome),
    /// The caller is told that there is no complete reply, and what is known about the execution.
    Refuse(outcome::Refusal),
}

/// Decides what follows an attempt. Only a decision to send again takes from the budget.
pub fn decide(state: &State, report: Report, budget: &Budget, now: Duration) -> Decision {
    if report == Report::Complete {
        return Decision::Finish(outcome::Outcome::Complete);
    }
    let Some(next) = again(state.semantics, report) else {
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
    next
}

/// How the work may be sent again after such a report, if at all.
fn again(work: Semantics, report: Report) -> Option<Decision> {
    match (work, report) {
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

/// Says truthfully what is known: `not-run` only if no attempt may have run.
fn refusal(state: &State, report: Report, message: &str) -> outcome::Refusal {
    let not_run = report == Report::NotRun && !state.may_have_run;
    if not_run {
        outcome::Refusal::not_run(outcome::Cause::Unavailable, message).retry_after(1)
    } else {
        outcome::Refusal::unknown(outcome::Cause::UpstreamFailed, message)
    }
}
