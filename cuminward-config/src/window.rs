//! Ids of recent changes, to recognise repetitions.

use std::collections::BTreeMap;

use cuminward_core::id;
use cuminward_derive::record;
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::{fold, limit, ring::Ring};

/// A change that was folded.
#[record]
pub struct Entry {
    /// Offset of the change's first record.
    #[serde(rename = "n")]
    pub offset: id::Offset,
    /// Id of the change.
    #[serde(rename = "c")]
    pub change: id::Change,
    /// Hash of who asked for what, to notice an id that is used twice.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// What became of it; `None` when it was accepted.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    refused: Option<Box<fold::Outcome>>,
}

/// Recent changes by id: the last [`limit::WINDOW`] distinct ones within [`limit::WINDOW_BYTES`].
#[record]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Window {
    entries: Ring<Entry>,
    offsets: BTreeMap<id::Change, id::Offset>,
}

impl Default for Window {
    fn default() -> Window {
        let entries = Ring::new(limit::WINDOW, limit::WINDOW_BYTES);
        Window { entries, offsets: BTreeMap::new() }
    }
}

/// Access
impl Entry {
    /// What became of the change.
    pub fn outcome(&self) -> fold::Outcome {
        match &self.refused {
            Some(outcome) => (**outcome).clone(),
            None => fold::Outcome::Accepted { revision: self.offset + 1 },
        }
    }
}

/// Access
impl Window {
    /// The first record of a change, where it is still remembered.
    pub fn find(&self, change: &str) -> Option<&Entry> {
        let offset = self.offsets.get(change)?;
        self.entries.find(offset, |it| it.offset)
    }
}

/// Mutation
impl Window {
    /// Remembers a change, and forgets the oldest beyond the bound.
    pub(crate) fn push(
        &mut self,
        offset: id::Offset,
        change: id::Change,
        fingerprint: u64,
        outcome: &fold::Outcome,
    ) {
        let accepted = matches!(outcome, fold::Outcome::Accepted { .. });
        let refused = (!accepted).then(|| Box::new(outcome.clone()));
        self.insert(Entry { offset, change, fingerprint, refused });
    }

    fn insert(&mut self, entry: Entry) {
        self.offsets.insert(entry.change.clone(), entry.offset);
        for oldest in self.entries.push(entry) {
            self.offsets.remove(&oldest.change);
        }
    }
}

impl From<Vec<Entry>> for Window {
    fn from(entries: Vec<Entry>) -> Window {
        let mut window = Window::default();
        for entry in entries {
            window.insert(entry);
        }
        window
    }
}

impl From<Window> for Vec<Entry> {
    fn from(window: Window) -> Vec<Entry> {
        window.entries.into_iter().collect()
    }
}

/// Hash of who asked for what.
pub(crate) fn fingerprint(operator: &str, action: &Value) -> u64 {
    let text = format!("{operator}\n{action}");
    xxh3::xxh3_64(text.as_bytes())
}
