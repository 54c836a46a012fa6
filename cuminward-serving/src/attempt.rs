//! Retry decision after a failed attempt to get a response from an upstream.

use std::time::Duration;

use crate::catalog::Retry;

/// Whether the request may have run in a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request did not run and will not: it was never written to the connection, or the server
    /// reported that it did not run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Failed attempts of a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Attempts in which the request may have run.
    pub maybe_ran: u32,
    /// Attempts in which the request did not run.
    pub not_run: u32,
    /// Servers that were left while they were silent, and to which the request hasn't returned.
    pub left: u32,
}

/// Limits on the retries of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Which retries the route allows.
    pub retry: Retry,
    /// Maximum number of servers on which the request may run.
    pub max_attempts: u32,
    /// Time left until the deadline of the caller.
    pub time_left: Duration,
}

/// How to proceed after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream.
    Retry,
    /// Send the request to an upstream once more that was left while it was silent.
    Return,
    /// Tell the caller that the request didn't run.
    Refuse,
    /// Tell the caller that it isn't known whether the request ran.
    Fail,
}

/// Number of attempts without a run beyond which no further attempt is made.
const MAX_NOT_RUN: u32 = 3;

/// Time left below which another attempt can't return a response before the deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Decides how to proceed after a failed attempt, which `counts` already includes.
pub fn decide(counts: Counts, failure: Failure, bounds: &Bounds) -> Next {
    let give_up = if counts.maybe_ran == 0 { Next::Refuse } else { Next::Fail };
    let may_run_again = match failure {
        Failure::NotRun => counts.maybe_ran == 0 || bounds.retry.is_retryable(),
        Failure::Unknown => bounds.retry.is_retryable(),
    };
    if bounds.time_left < MIN_TIME_LEFT || !may_run_again {
        return give_up;
    }
    if counts.maybe_ran < bounds.max_attempts && counts.not_run <= MAX_NOT_RUN {
        return Next::Retry;
    }
    // The request has reached that server before, so that it runs on no further one.
    if counts.left > 0 { Next::Return } else { give_up }
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
