//! Attempts that make no progress: when they are replaced by an attempt at another upstream.
//!
//! An upstream that is silent may go on after a moment. So an attempt isn't ended before a slot of another
//! upstream is reserved and the retry is counted; an attempt that can't be replaced goes on. A request that has
//! failed or moved before doesn't spend its last attempt on a silence that a sound upstream may have.

use std::{sync::Arc, time::Duration};

use cuminward_serving::{
    attempt::{self, Failure, Next},
    progress,
    queue::Progress,
};
use tokio::time;

use super::{
    attempts::Attempts,
    context::Context,
    exchange::Fault,
    slot::{self, Slot},
};
use crate::state::{State, stats::Interruption};

/// Shortest silence after which an attempt over a lost path is replaced.
const PATH_SILENCE: Duration = Duration::from_millis(250);

/// Longest silence of a sound upstream.
pub(super) const SOUND_SILENCE: Duration = Duration::from_millis(1500);

/// Time between two tries to replace an attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why an attempt is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// A member of the replica doesn't answer.
    MemberLost,
    /// The members answer, but the replica makes no progress.
    GivenUp,
    /// The node has lost its own path to the upstream since the request was sent.
    PathLost,
    /// The request has got no event yet and moves to another replica.
    Moved,
    /// There is no complete response after the usual time of an attempt.
    TimedOut,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::MemberLost => "the replica lost a member",
            Reason::GivenUp => "the replica was given up",
            Reason::PathLost => "the path to the replica was lost",
            Reason::Moved => "the request moves to another replica",
            Reason::TimedOut => "no complete response within the attempt timeout",
        })
    }
}

impl From<Interruption> for Reason {
    fn from(it: Interruption) -> Reason {
        match it {
            Interruption::MemberLost => Reason::MemberLost,
            Interruption::GivenUp => Reason::GivenUp,
        }
    }
}

/// An attempt that makes no progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stall {
    pub(super) reason: Reason,
    /// Time since the upstream last sent anything.
    pub(super) silence: Duration,
}

/// Access
impl Stall {
    /// Returns the fault of the attempt that is replaced.
    pub(super) fn fault(self) -> Fault {
        let cause = format!("{} after a silence of {} ms", self.reason, self.silence.as_millis());
        Fault { failure: Failure::Unknown, cause }
    }
}

/// A reserved upstream for the attempt that replaces a stalled one. Its retry has been counted.
pub(super) struct Replacement {
    pub(super) stall: Stall,
    pub(super) slot: Slot,
}

/// The request of an attempt, with what decides whether another attempt may follow.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) state: &'a Arc<State>,
    pub(super) context: &'a Context,
    /// Attempts, including the current one, which hasn't failed yet.
    pub(super) attempts: &'a Attempts,
    pub(super) progress: Progress,
}

/// Access
impl Candidate<'_> {
    /// Returns whether another attempt may follow if the current one is ended.
    fn may_retry(&self) -> bool {
        let mut failed = self.attempts.counts();
        failed.record_failure(Failure::Unknown);
        attempt::decide(failed, Failure::Unknown, &self.context.bounds()) == Next::Retry
            && self.state.has_retry(&self.context.service)
    }

    /// Returns whether earlier attempts have failed and the next one would be the last.
    fn has_one_attempt_left(&self) -> bool {
        let failed = self.attempts.counts().maybe_ran;
        failed > 0 && failed + 2 >= self.context.route.max_attempts
    }

    /// Returns whether another attempt may follow, and another upstream has capacity for it now.
    fn can_move(&self) -> bool {
        self.may_retry() && slot::has_capacity(self.state, self.context, self.attempts.untried())
    }

    /// Waits until a slot of another upstream is reserved, and counts the retry.
    pub(super) async fn reserve(&self) -> Slot {
        loop {
            if self.may_retry() {
                let untried = self.attempts.untried();
                let slot = slot::acquire(self.state, self.context, untried, self.progress).await;
                if let Ok(slot) = slot
                    && self.state.try_retry(&self.context.service).await.is_some()
                {
                    return slot;
                }
            }
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// An attempt at a replica whose progress is watched.
pub(super) struct Watch<'a> {
    pub(super) candidate: Candidate<'a>,
    /// Upstream of the attempt.
    pub(super) slot: &'a Slot,
    /// When the request was sent, since the node's start.
    pub(super) started: Duration,
    /// When the attempt last received anything, or `started`.
    pub(super) progressed: Duration,
    /// Whether the attempt has received an event.
    pub(super) has_events: bool,
    /// Whether the response arrives over the node's own path.
    pub(super) is_direct: bool,
}

/// Access
impl Watch<'_> {
    /// Waits until the attempt has stalled and a slot of another replica is reserved.
    pub(super) async fn replacement(&self) -> Replacement {
        let mut stall = self.stall().await;
        if self.candidate.has_one_attempt_left() {
            time::sleep(SOUND_SILENCE.saturating_sub(stall.silence)).await;
            stall.silence = self.candidate.state.now().saturating_sub(self.progressed);
        }
        let slot = self.candidate.reserve().await;
        if stall.reason == Reason::Moved {
            self.candidate.state.record_first_event(stall.silence * 2);
        }
        Replacement { stall, slot }
    }

    /// Returns whether the own path to the upstream was lost after the request was sent over it.
    fn is_path_lost(&self) -> bool {
        let lost_at = self.candidate.state.paths.path_lost_at(&self.slot.upstream.address);
        self.is_direct && lost_at.is_some_and(|it| it > self.started)
    }

    /// Waits until the path or the replica is lost, the replica is given up or, if the attempt has received no event, until the replica
    /// has stalled while the request can be sent to another one at once.
    async fn stall(&self) -> Stall {
        let (state, stats) = (self.candidate.state, &self.slot.upstream.stats);
        loop {
            let interrupt = stats.interrupt.notified();
            let mut interrupt = std::pin::pin!(interrupt);
            interrupt.as_mut().enable();
            if let Some(interruption) = stats.interruption_since(self.progressed) {
                let silence = state.now().saturating_sub(self.progressed);
                return Stall { reason: interruption.into(), silence };
            }
            let silence = state.now().saturating_sub(self.progressed);
            if silence > PATH_SILENCE && self.is_path_lost() {
                return Stall { reason: Reason::PathLost, silence };
            }
            interrupt.await;
            let now = state.now();
            let waited = now.saturating_sub(self.started);
            let move_after = progress::move_after(state.mean_first_event());
            let has_stalled = stats.time_since_progress(now).is_some_and(|it| it > move_after);
            let may_move = !self.has_events && waited > move_after && has_stalled;
            if may_move && self.candidate.can_move() {
                return Stall { reason: Reason::Moved, silence: waited };
            }
        }
    }
}
