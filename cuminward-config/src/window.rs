//! Deduplication window: the ids and outcomes of recent changes.

use std::collections::BTreeMap;

use cuminward_core::id;
use cuminward_derive::record;
use serde_json::Value;
use xxhash_rust::xxh3;

use crate::{fold, limit, ring::Ring};

/// A change that was applied or refused.
#[record]
pub struct Entry {
    /// Offset of the change's first record.
    #[serde(rename = "n")]
    pub offset: id::Offset,
    /// Id of the change.
    #[serde(rename = "c")]
    pub change: id::Change,
    /// Hash of the operator and the action, to detect an id that is reused for another change.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Outcome of a refused change; `None` if the change was accepted.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    refused: Option<Box<fold::Outcome>>,
}

/// The latest distinct changes by id: at most [`limit::WINDOW`] changes and [`limit::WINDOW_BYTES`]
/// bytes.
#[record]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Window {
    entries: Ring<Entry>,
    /// Index of `entries`: the offset of each change's first record.
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
    /// Returns the outcome of the change's first record.
    pub fn outcome(&self) -> fold::Outcome {
        match &self.refused {
            Some(outcome) => (**outcome).clone(),
            None => fold::Outcome::Accepted { revision: self.offset + 1 },
        }
    }
}

/// Access
impl Window {
    /// Returns the entry of a change, or `None` if the change isn't in the window.
    pub fn find(&self, change: &str) -> Option<&Entry> {
        let offset = self.offsets.get(change)?;
        self.entries.find(offset, |it| it.offset)
    }
}

/// Mutation
impl Window {
    /// Adds a change and evicts the oldest ones beyond the bounds.
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

/// Returns the hash of an operator and an action.
pub(crate) fn fingerprint(operator: &str, action: &Value) -> u64 {
    let text = format!("{operator}\n{action}");
    xxh3::xxh3_64(text.as_bytes())
}
