//! Records of kinds that this version doesn't know, kept in the state for newer versions.

use cuminward_core::id;
use cuminward_derive::record;
use serde_json::Value;

use crate::{limit, ring::Ring};

/// A record of an unknown kind with its offset.
pub type Entry = (id::Offset, Value);

/// The latest records of unknown kinds, the oldest first: at most [`limit::UNKNOWN`] records and
/// [`limit::UNKNOWN_BYTES`] bytes.
#[record]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Unknown {
    entries: Ring<Entry>,
}

impl Default for Unknown {
    fn default() -> Unknown {
        Unknown { entries: Ring::new(limit::UNKNOWN, limit::UNKNOWN_BYTES) }
    }
}

/// Access
impl Unknown {
    /// Returns the records, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}

/// Mutation
impl Unknown {
    /// Adds a record and evicts the oldest ones beyond the bounds.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }
}

impl From<Vec<Entry>> for Unknown {
    fn from(entries: Vec<Entry>) -> Unknown {
        let mut unknown = Unknown::default();
        entries.into_iter().for_each(|it| unknown.push(it));
        unknown
    }
}

impl From<Unknown> for Vec<Entry> {
    fn from(unknown: Unknown) -> Vec<Entry> {
        unknown.entries.into_iter().collect()
    }
}
