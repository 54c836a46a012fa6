//! What follows when an attempt at an upstream didn't bring an answer.

use std::time::Duration;

use crate::catalog::Repeat;

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
pub struct State {
    /// Attempts that may have run.
    pub ran: u32,
    /// Attempts that provably didn't.
    pub refused: u32,
}

/// What a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// What may be repeated.
    pub repeat: Repeat,
    /// Servers at which the request may run.
    pub max_attempts: u32,
    /// Time left until the caller stops waiting.
    pub left: Duration,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream.
    Again,
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
pub fn next(state: State, failure: Failure, bounds: &Bounds) -> Next {
    let give_up = if state.ran == 0 { Next::Refuse } else { Next::Fail };
    if bounds.left < MIN_LEFT || state.refused > MAX_REFUSED {
        return give_up;
    }
    let may_repeat = match failure {
        Failure::NotRun => state.ran == 0 || bounds.repeat.is_repeatable(),
        Failure::Unknown => bounds.repeat.is_repeatable(),
    };
    if may_repeat && state.ran < bounds.max_attempts { Next::Again } else { give_up }
}

/// Mutation
impl State {
    /// Counts a failed attempt.
    pub fn add(&mut self, failure: Failure) {
        match failure {
            Failure::NotRun => self.refused += 1,
            Failure::Unknown => self.ran += 1,
        }
    }
}
