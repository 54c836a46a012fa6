//! Table of the newest record of each key of a topic.
//!
//! The table keeps the position of each record, so that copies can be updated from the store or from
//! other nodes in any order.
//!
//! A node that has fetched the records up to a position asks for later ones only. So a table hands out nothing
//! beyond a record that it lacks, and all that it has to a node that may have missed a deletion which the table
//! doesn't know of.

use std::collections::{BTreeMap, HashSet};

use bytes::Bytes;
use cuminward_derive::record;

use crate::position::Position;

/// Maximum number of deleted keys that are kept as tombstones, so that other nodes receive the
/// deletion.
const MAX_TOMBSTONES: usize = 512;

/// A record of a key.
#[record]
#[derive(Eq)]
pub struct Record {
    /// Position in the partition.
    pub position: Position,
    /// Key.
    pub key: String,
    /// Value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// Records that a copy lacks.
#[record]
#[derive(Default)]
pub struct Batch {
    /// Newest record of each key, including deletions.
    pub records: Vec<Record>,
    /// If the records are those of all keys, the position up to which they are complete: other keys were
    /// deleted before. `None` if the records are only those since the end of the copy.
    pub whole_before: Option<Position>,
}

/// Mutation
impl Batch {
    /// Keeps the first records whose keys and values have up to `max_bytes` together, one at least, in the order of their
    /// positions. A batch of all keys is left as it is. Returns whether records were left out: the rest is then complete
    /// up to its last record only.
    pub fn truncate(&mut self, max_bytes: usize) -> bool {
        if self.whole_before.is_some() {
            return false;
        }
        self.records.sort_by_key(|it| it.position);
        let mut bytes = 0;
        let fitting = self.records.iter().take_while(|it| {
            bytes += it.key.len() + it.value.as_ref().map_or(0, Vec::len);
            bytes <= max_bytes
        });
        let count = fitting.count().max(1);
        let is_cut = count < self.records.len();
        self.records.truncate(count);
        is_cut
    }
}

/// Newest records of the keys of a topic.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    /// Position after the newest record that was seen.
    end: Position,
    /// Position of the first record that was read but isn't applied yet.
    withheld_from: Option<Position>,
    /// Position from which on all deletions are known; a key that was deleted before may have no tombstone.
    deletions_from: Position,
}

#[derive(Debug, Clone)]
struct Row {
    position: Position,
    value: Option<Bytes>,
}

/// Access
impl Table {
    /// Returns the position up to which the table lacks no record.
    pub fn end(&self) -> Position {
        self.withheld_from.map_or(self.end, |it| it.min(self.end))
    }

    /// Returns whether records that were read are still withheld.
    pub fn is_withholding(&self) -> bool {
        self.withheld_from.is_some()
    }

    /// Returns whether the table knows all deletions since the position `from`. A copy without any record needs
    /// none of them, and keys of a former era are dropped in any case.
    fn knows_deletions_since(&self, from: Position) -> bool {
        from >= self.deletions_from
            || from.era != self.deletions_from.era
            || from == Position::default()
    }

    /// Returns the newest known record of a key, including a deletion.
    pub fn record(&self, key: &str) -> Option<Record> {
        let row = self.rows.get(key)?;
        Some(Record {
            position: row.position,
            key: key.to_owned(),
            value: row.value.as_ref().map(|it| it.to_vec()),
        })
    }

    /// Returns the keys that are not deleted, with their values.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.rows.iter().filter_map(|(key, row)| Some((key.as_str(), row.value.as_ref()?)))
    }

    /// Returns what a copy lacks that ends at the position `from`; `None` if the table can't tell at the moment.
    pub fn batch_since(&self, from: Position) -> Option<Batch> {
        if self.knows_deletions_since(from) {
            return Some(Batch { records: self.records_since(from), whole_before: None });
        }
        if self.is_withholding() {
            return None;
        }
        let records = self.records_since(Position::default());
        Some(Batch { records, whole_before: Some(self.end) })
    }

    /// Returns the records at the position `from` or a later one, including deletions, up to the first one that
    /// the table lacks.
    pub fn records_since(&self, from: Position) -> Vec<Record> {
        let end = self.end();
        let is_sent = |row: &Row| row.position >= from && row.position < end;
        let newer = self.rows.iter().filter(|(_, row)| is_sent(row));
        newer
            .map(|(key, row)| Record {
                position: row.position,
                key: key.clone(),
                value: row.value.as_ref().map(|it| it.to_vec()),
            })
            .collect()
    }
}

/// Mutation
impl Table {
    /// Applies a record. Returns whether it is newer than the known record of its key.
    pub fn apply(&mut self, record: Record) -> bool {
        self.advance(record.position.next());
        let known = self.rows.get(&record.key);
        if known.is_some_and(|it| it.position >= record.position) {
            return false;
        }
        self.put(record);
        true
    }

    /// Stores a record in place of the known one of its key, whichever is newer.
    pub fn put(&mut self, record: Record) {
        self.advance(record.position.next());
        let row = Row { position: record.position, value: record.value.map(Bytes::from) };
        self.rows.insert(record.key, row);
        self.evict_oldest_tombstone();
    }

    /// Applies a complete list of the newest records before the position `end`. A known key that is
    /// missing from the list was deleted, unless its record is newer than the list, or of a former era: the
    /// store may have lost it. Returns the keys that were deleted this way.
    pub fn apply_snapshot(&mut self, records: Vec<Record>, end: Position) -> Vec<String> {
        let listed: HashSet<String> = records.iter().map(|it| it.key.clone()).collect();
        for record in records {
            self.apply(record);
        }
        self.remove_unlisted(&listed, end)
    }

    /// Deletes the keys that are missing from the complete list of the keys before the position `end`, as
    /// [`Table::apply_snapshot`] does.
    pub fn remove_unlisted(&mut self, listed: &HashSet<String>, end: Position) -> Vec<String> {
        let mut missing = Vec::new();
        for (key, row) in &mut self.rows {
            let is_older = row.position.era == end.era && row.position < end;
            if row.value.is_some() && is_older && !listed.contains(key) {
                row.value = None;
                row.position = end.previous().max(row.position);
                missing.push(key.clone());
            }
        }
        self.advance(end);
        self.deletions_from = self.deletions_from.max(end);
        missing
    }

    /// Deletes the keys for which the newest era has no record and `may_drop` returns true. Returns them.
    pub fn drop_former_eras(&mut self, may_drop: impl Fn(&str) -> bool) -> Vec<String> {
        let position = self.end.previous();
        let mut dropped = Vec::new();
        for (key, row) in &mut self.rows {
            if row.value.is_some() && row.position.era < self.end.era && may_drop(key) {
                *row = Row { position, value: None };
                dropped.push(key.clone());
            }
        }
        dropped
    }

    /// Records that everything before the position `end` has been seen.
    pub fn advance(&mut self, end: Position) {
        self.end = self.end.max(end);
    }

    /// Records that the record at a position was read but isn't applied yet.
    pub fn withhold(&mut self, position: Position) {
        let first = self.withheld_from.map_or(position, |it| it.min(position));
        self.withheld_from = Some(first);
    }

    /// Records that all records that were withheld are applied.
    pub fn release(&mut self) {
        self.withheld_from = None;
    }

    /// Records that a read which began at the position `from` gave all that was withheld, if the table still ends there.
    pub fn release_since(&mut self, from: Position) {
        if self.end() == from {
            self.release();
        }
    }

    /// Removes the tombstone with the lowest position if there are more than [`MAX_TOMBSTONES`].
    fn evict_oldest_tombstone(&mut self) {
        let deleted = self.rows.values().filter(|it| it.value.is_none()).count();
        if deleted <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.rows.iter().filter(|(_, it)| it.value.is_none());
        let oldest = oldest.min_by_key(|(_, it)| it.position);
        if let Some((key, position)) = oldest.map(|(key, it)| (key.clone(), it.position)) {
            self.rows.remove(&key);
            self.deletions_from = self.deletions_from.max(position.next());
        }
    }
}
