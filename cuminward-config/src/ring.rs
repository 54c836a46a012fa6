//! A ring buffer with bounds on the number of entries and their bytes; it evicts the oldest
//! entries.

use std::collections::{VecDeque, vec_deque};

use serde::Serialize;

/// A ring buffer of entries with their serialised sizes, the oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Ring<T> {
    entries: VecDeque<(T, usize)>,
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
}

/// Life cycle
impl<T: Serialize> Ring<T> {
    /// Creates an empty buffer with the given bounds.
    pub fn new(max_entries: usize, max_bytes: usize) -> Ring<T> {
        Ring { entries: VecDeque::new(), bytes: 0, max_entries, max_bytes }
    }
}

/// Access
impl<T: Serialize> Ring<T> {
    /// Returns the entries, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.entries.iter().map(|(entry, _)| entry)
    }

    /// Returns the entry with a key, by binary search; the entries must be in ascending order of
    /// this key.
    pub fn find<K: Ord>(&self, key: &K, mut key_of: impl FnMut(&T) -> K) -> Option<&T> {
        let index = self.entries.binary_search_by(|(entry, _)| key_of(entry).cmp(key)).ok()?;
        self.entries.get(index).map(|(entry, _)| entry)
    }

    /// Returns the serialised size of all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Mutation
impl<T: Serialize> Ring<T> {
    /// Adds an entry and returns the entries that were evicted to stay within the bounds.
    pub fn push(&mut self, entry: T) -> Vec<T> {
        let size = encoded_size(&entry);
        self.entries.push_back((entry, size));
        self.bytes += size;
        let mut evicted = Vec::new();
        while self.entries.len() > self.max_entries || self.bytes > self.max_bytes {
            let Some((oldest, size)) = self.entries.pop_front() else { break };
            self.bytes -= size;
            evicted.push(oldest);
        }
        evicted
    }
}

impl<T> IntoIterator for Ring<T> {
    type Item = T;
    type IntoIter = std::iter::Map<vec_deque::IntoIter<(T, usize)>, fn((T, usize)) -> T>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.into_iter().map(|(entry, _)| entry)
    }
}

/// Returns the size of a value serialised as JSON, including one byte for a separator.
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).expect("the state has string keys only").len() + 1
}
