//! History of recent changes with their details, for display to operators.

use cuminward_core::id;
use cuminward_derive::record;

use crate::{fold, limit, ring::Ring, target};

/// A change and its outcome.
#[record]
pub struct Entry {
    /// Offset of the record.
    pub offset: id::Offset,
    /// Id of the change.
    pub change: id::Change,
    /// Operator who requested the change.
    pub operator: String,
    /// Kind of the action, as stored in the log.
    pub action: String,
    /// Target of the change.
    pub target: target::Target,
    /// Outcome of the change.
    pub outcome: fold::Outcome,
}

/// The latest changes, the oldest first: at most [`limit::HISTORY`] changes and
/// [`limit::HISTORY_BYTES`] bytes.
#[record]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct History {
    entries: Ring<Entry>,
}

impl Default for History {
    fn default() -> History {
        History { entries: Ring::new(limit::HISTORY, limit::HISTORY_BYTES) }
    }
}

/// Access
impl History {
    /// Returns the entries, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}

/// Mutation
impl History {
    /// Adds an entry and evicts the oldest ones beyond the bounds.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }
}

impl From<Vec<Entry>> for History {
    fn from(entries: Vec<Entry>) -> History {
        let mut history = History::default();
        entries.into_iter().for_each(|it| history.push(it));
        history
    }
}

impl From<History> for Vec<Entry> {
    fn from(history: History) -> Vec<Entry> {
        history.entries.into_iter().collect()
    }
}
