//! How old a node's copy of a topic is.
//!
//! A node reads a topic of the store itself or fetches it from a node that does, which says how old its own copy
//! is. Either way the node knows a moment up to which its copy lacks nothing. What counts is that moment, and not
//! when a node last answered: one that the store turns away goes on answering.

use std::time::Duration;

use crate::position::Position;

/// Age of a copy from which the node reads the store itself. Together with the time that the read takes, it is
/// less than the time within which a change has to be in force.
pub const MAX_AGE: Duration = Duration::from_millis(1600);

/// Moment up to which a copy of a topic is complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermark {
    /// The moment, since the node's start; `None` if the copy was never complete.
    at: Option<Duration>,
    /// Position that follows the last record of the complete copy.
    end: Position,
}

/// Access
impl Watermark {
    /// Returns the age of the copy; `None` if it was never complete.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Returns how long the copy is still fresh; zero if it isn't.
    pub fn fresh_for(&self, now: Duration) -> Duration {
        self.age(now).map_or(Duration::ZERO, |age| MAX_AGE.saturating_sub(age))
    }

    /// Returns whether the node has to read the store itself.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.fresh_for(now).is_zero()
    }

    /// Returns the position that follows the last record of the complete copy.
    pub fn end(&self) -> Position {
        self.end
    }
}

/// Mutation
impl Watermark {
    /// Records that the copy up to the position `end` was complete at the moment `at`.
    pub fn advance(&mut self, at: Duration, end: Position) {
        self.at = self.at.max(Some(at));
        self.end = self.end.max(end);
    }
}

/// Returns the moment up to which a read of a topic is complete, if it was sent at `sent_at` and arrived at
/// `arrived_at`. The store responds to a read without a record only after the time for which it asked to `wait`.
pub fn read_moment(
    sent_at: Duration,
    arrived_at: Duration,
    wait: Duration,
    is_empty: bool,
) -> Duration {
    let waited_until = sent_at + wait;
    if is_empty && arrived_at >= waited_until { waited_until } else { sent_at }
}
