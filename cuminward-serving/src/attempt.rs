//! What follows when an attempt at an upstream didn't bring an answer.

use std::time::Duration;

use crate::catalog::Retry;

/// How an attempt failed, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request provably didn't run and won't: it was never written, or the server said so.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Attempts that may have run.
    pub maybe_ran: u32,
    /// Attempts that provably didn't.
    pub not_run: u32,
}

/// What a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// What may be repeated.
    pub retry: Retry,
    /// Servers at which the request may run.
    pub max_attempts: u32,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream.
    Retry,
    /// Tell the caller that the request didn't run.
    Refuse,
    /// Tell the caller that it isn't known whether the request ran.
    Fail,
}

/// Attempts that were refused after which no more are made.
const MAX_REFUSED: u32 = 3;

/// Time below which another attempt can't bring an answer.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// Decides what follows a failed attempt that `state` already counts.
pub fn decide(state: Counts, failure: Failure, bounds: &Bounds) -> Next {
    let give_up = if state.maybe_ran == 0 { Next::Refuse } else { Next::Fail };
    if bounds.time_left < MIN_LEFT || state.not_run > MAX_REFUSED {
        return give_up;
    }
    let may_repeat = match failure {
        Failure::NotRun => state.maybe_ran == 0 || bounds.retry.is_retryable(),
        Failure::Unknown => bounds.retry.is_retryable(),
    };
    if may_repeat && state.maybe_ran < bounds.max_attempts { Next::Retry } else { give_up }
}

/// Mutation
impl Counts {
    /// Counts a failed attempt.
    pub fn record_failure(&mut self, failure: Failure) {
        match failure {
            Failure::NotRun => self.not_run += 1,
            Failure::Unknown => self.maybe_ran += 1,
        }
    }
}
