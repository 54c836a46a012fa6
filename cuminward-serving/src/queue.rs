//! The order in which waiting requests get upstreams.

use std::collections::BTreeMap;

/// Place of a request among those that wait; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// How far the request is.
    pub progress: Progress,
    /// Priority of its caller or route; 0 is served first.
    pub priority: u8,
    /// Number that grows with each request.
    pub number: u64,
}

/// How far a waiting request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Its caller has part of the answer.
    Started,
    /// Its caller has nothing yet.
    New,
}

/// Requests that wait for the same upstreams.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    entries: BTreeMap<Rank, T>,
}

/// What an attempt to serve a waiting request showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<S> {
    /// The request got this.
    Served(S),
    /// Nothing is free for this request; others may be luckier.
    Skipped,
    /// Nothing is free for any request.
    Full,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { entries: BTreeMap::new() }
    }
}

/// Access
impl<T> Queue<T> {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Mutation
impl<T> Queue<T> {
    /// Adds a request.
    pub fn push(&mut self, rank: Rank, entry: T) {
        self.entries.insert(rank, entry);
    }

    /// Takes a request out that no longer waits.
    pub fn remove(&mut self, rank: Rank) -> Option<T> {
        self.entries.remove(&rank)
    }

    /// Tries to serve the requests in their order. Returns those that got something and no longer wait.
    pub fn serve<S>(&mut self, mut serve: impl FnMut(&T) -> Outcome<S>) -> Vec<(T, S)> {
        let mut got = Vec::new();
        for (rank, entry) in &self.entries {
            match serve(entry) {
                Outcome::Served(it) => got.push((*rank, it)),
                Outcome::Skipped => {}
                Outcome::Full => break,
            }
        }
        let taken = got.into_iter();
        taken.filter_map(|(rank, it)| Some((self.entries.remove(&rank)?, it))).collect()
    }
}
