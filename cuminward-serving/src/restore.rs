//! Times after the store came back from an older copy during which what it lost is still in force.
//!
//! The copy lacks the newest records, and lists again what was deleted since. Operators and hosts write again
//! what was lost; until they had time to, a missing record doesn't mean that it was deleted, and a record
//! that is there again doesn't mean that it was written again.

use std::time::Duration;

use crate::id;

/// Time within which hosts that are alive write their entries again.
pub const HOST_GRACE: Duration = Duration::from_millis(2500);

/// Time for which an entry of a host that had left doesn't bring it back: the store removes the entry of a
/// host that writes nothing within three of its heartbeats.
pub const DEPARTURE_GRACE: Duration = Duration::from_secs(5);

/// Time within which operators write their declarations again.
pub const DECLARATION_GRACE: Duration = Duration::from_secs(10);

/// When the newest era of the store began, as far as a node knows.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    era: id::Era,
    /// When the era was first seen; `None` if it was the first one.
    since: Option<Duration>,
}

/// Access
impl Watch {
    /// Returns whether a newer era was first seen less than `grace` before `now`.
    pub fn is_within(&self, now: Duration, grace: Duration) -> bool {
        self.since.is_some_and(|it| now < it + grace)
    }
}

/// Mutation
impl Watch {
    /// Records that `era` was seen at `now`.
    pub fn observe(&mut self, now: Duration, era: id::Era) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == 0;
        self.since = (!is_first).then_some(now);
        self.era = era;
    }
}
