//! A queue with bounds on its entries and their bytes, which forgets the oldest entries.

use std::collections::{VecDeque, vec_deque};

use serde::Serialize;

/// Entries with their serialised sizes, the oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Ring<T> {
    entries: VecDeque<(T, usize)>,
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
}

/// Life cycle
impl<T: Serialize> Ring<T> {
    /// Makes an empty queue with its bounds.
    pub fn new(max_entries: usize, max_bytes: usize) -> Ring<T> {
        Ring { entries: VecDeque::new(), bytes: 0, max_entries, max_bytes }
    }
}

/// Access
impl<T: Serialize> Ring<T> {
    /// Entries, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.entries.iter().map(|(entry, _)| entry)
    }

    /// Finds an entry by a key that rises over the entries.
    pub fn find<K: Ord>(&self, key: &K, mut of: impl FnMut(&T) -> K) -> Option<&T> {
        let index = self.entries.binary_search_by(|(entry, _)| of(entry).cmp(key)).ok()?;
        self.entries.get(index).map(|(entry, _)| entry)
    }

    /// Serialised size of all entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Mutation
impl<T: Serialize> Ring<T> {
    /// Adds an entry; returns those that are forgotten for it.
    pub fn push(&mut self, entry: T) -> Vec<T> {
        let size = size(&entry);
        self.entries.push_back((entry, size));
        self.bytes += size;
        let mut forgotten = Vec::new();
        while self.entries.len() > self.max_entries || self.bytes > self.max_bytes {
            let Some((oldest, size)) = self.entries.pop_front() else { break };
            self.bytes -= size;
            forgotten.push(oldest);
        }
        forgotten
    }
}

impl<T> IntoIterator for Ring<T> {
    type Item = T;
    type IntoIter = std::iter::Map<vec_deque::IntoIter<(T, usize)>, fn((T, usize)) -> T>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.into_iter().map(|(entry, _)| entry)
    }
}

/// Serialised size of a value with its separator, in bytes.
pub fn size<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).expect("the state has string keys only").len() + 1
}
