//! Recent changes with their details, for operators.

use std::collections::VecDeque;

use cuminward_core::id;
use cuminward_derive::record;

use crate::{fold, limit, target};

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

/// The last [`limit::HISTORY`] changes, the oldest first.
#[record]
#[derive(Default)]
#[serde(transparent)]
pub struct History {
    entries: VecDeque<Entry>,
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
    /// Adds an entry, and forgets the oldest beyond the bound.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        if self.entries.len() > limit::HISTORY {
            self.entries.pop_front();
        }
    }
}
