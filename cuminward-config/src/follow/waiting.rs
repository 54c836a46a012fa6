//! Records that wait for earlier ones, with bounds on their number and bytes.

use std::collections::BTreeMap;

use cuminward_core::id;
use serde_json::Value;

use crate::{
    follow::{MAX_WAITING, MAX_WAITING_BYTES},
    ring::size,
};

/// Records by offset with their serialised sizes.
#[derive(Debug, Clone, Default)]
pub(super) struct Waiting {
    records: BTreeMap<id::Offset, (Value, usize)>,
    bytes: usize,
}

/// Access
impl Waiting {
    /// Tells whether a bound is exceeded.
    pub(super) fn is_over(&self) -> bool {
        self.records.len() > MAX_WAITING || self.bytes > MAX_WAITING_BYTES
    }
}

/// Mutation
impl Waiting {
    /// Adds a record, unless there is one at its offset.
    pub(super) fn insert(&mut self, offset: id::Offset, value: Value) {
        self.records.entry(offset).or_insert_with(|| {
            let size = size(&value);
            self.bytes += size;
            (value, size)
        });
    }

    /// Takes the record at an offset.
    pub(super) fn take(&mut self, offset: id::Offset) -> Option<Value> {
        let (value, size) = self.records.remove(&offset)?;
        self.bytes -= size;
        Some(value)
    }

    /// Forgets the records before an offset.
    pub(super) fn forget_before(&mut self, offset: id::Offset) {
        while self.records.first_key_value().is_some_and(|(first, _)| *first < offset) {
            self.forget_first();
        }
    }

    /// Forgets the record with the smallest offset.
    pub(super) fn forget_first(&mut self) {
        let forgotten = self.records.pop_first();
        self.bytes -= forgotten.map_or(0, |(_, (_, size))| size);
    }

    /// Forgets the record with the largest offset.
    pub(super) fn forget_last(&mut self) {
        let forgotten = self.records.pop_last();
        self.bytes -= forgotten.map_or(0, |(_, (_, size))| size);
    }
}
