//! Reorder buffer: holds records until the records before them have arrived.

use std::collections::BTreeMap;

use cuminward_core::id;
use serde_json::Value;

use crate::{
    follow::{MAX_BUFFERED, MAX_BUFFERED_BYTES},
    ring::encoded_size,
};

/// Buffered records by offset, with their serialised sizes in bytes.
#[derive(Debug, Clone, Default)]
pub(super) struct Buffer {
    records: BTreeMap<id::Offset, (Value, usize)>,
    bytes: usize,
}

/// Access
impl Buffer {
    /// Returns whether the bound on the number of records or on their bytes is exceeded.
    pub(super) fn is_over_limit(&self) -> bool {
        self.records.len() > MAX_BUFFERED || self.bytes > MAX_BUFFERED_BYTES
    }
}

/// Mutation
impl Buffer {
    /// Adds a record, unless the buffer holds one at its offset.
    pub(super) fn insert(&mut self, offset: id::Offset, value: Value) {
        self.records.entry(offset).or_insert_with(|| {
            let size = encoded_size(&value);
            self.bytes += size;
            (value, size)
        });
    }

    /// Removes and returns the record at an offset.
    pub(super) fn take(&mut self, offset: id::Offset) -> Option<Value> {
        let (value, size) = self.records.remove(&offset)?;
        self.bytes -= size;
        Some(value)
    }

    /// Drops the records before an offset.
    pub(super) fn drop_before(&mut self, offset: id::Offset) {
        while self.records.first_key_value().is_some_and(|(first, _)| *first < offset) {
            self.drop_first();
        }
    }

    /// Drops the record with the smallest offset.
    pub(super) fn drop_first(&mut self) {
        let dropped = self.records.pop_first();
        self.bytes -= dropped.map_or(0, |(_, (_, size))| size);
    }

    /// Drops the record with the largest offset.
    pub(super) fn drop_last(&mut self) {
        let dropped = self.records.pop_last();
        self.bytes -= dropped.map_or(0, |(_, (_, size))| size);
    }
}
