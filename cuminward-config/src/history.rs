//! Recent changes with their details, for operators.

use cuminward_core::id;
use cuminward_derive::record;

use crate::{fold, limit, ring::Ring, target};

/// A change and what became of it.
#[record]
pub struct Entry {
    /// Offset of the record.
    pub offset: id::Offset,
    /// Id of the change.
    pub change: id::Change,
    /// Operator who asked.
    pub operator: String,
    /// Kind of the action, as the log has it.
    pub action: String,
    /// What the change is about.
    pub target: target::Target,
    /// What became of it.
    pub outcome: fold::Outcome,
}

/// The last [`limit::HISTORY`] changes within [`limit::HISTORY_BYTES`], the oldest first.
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
    /// Entries, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}

/// Mutation
impl History {
    /// Adds an entry, and forgets the oldest beyond the bounds.
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
