//! Admission queue: the order in which waiting requests get upstreams.

use std::{collections::BTreeMap, time::Duration};

/// Sort key of a waiting request; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Progress of the request.
    pub progress: Progress,
    /// Priority of the caller or the route; 0 is served first.
    pub priority: u8,
    /// Sequence number that increases with each request, so that earlier requests are served first.
    pub number: u64,
}

/// Progress of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// The caller has received a part of the response.
    Started,
    /// The caller has received nothing yet.
    New,
}

/// Shortest limit on the wait of a request, as a part of its latency objective: a slot that becomes
/// free a moment later is still used by a request that will be a little late.
const MIN_WAIT: f64 = 0.1;

/// Returns the longest time that a request waits for an upstream: as long as it could still get the
/// first part of its response within `objective`, if that takes `service_time` from then on. When
/// load exceeds capacity, requests that wait longer are served too late, one after the other, and
/// none is served in time.
pub fn longest_wait(objective: Duration, service_time: Duration) -> Duration {
    objective.saturating_sub(service_time).max(objective.mul_f64(MIN_WAIT))
}

/// Queue of requests that wait for the same upstreams.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    entries: BTreeMap<Rank, T>,
}

/// Outcome of an attempt to serve a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<S> {
    /// The request was served with this value.
    Served(S),
    /// Nothing is available for this request, but there may be something for others.
    Skipped,
    /// Nothing is available for any request.
    Full,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue { entries: BTreeMap::new() }
    }
}

/// Access
impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is waiting.
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

    /// Removes a request that no longer waits, and returns it if it was still queued.
    pub fn remove(&mut self, rank: Rank) -> Option<T> {
        self.entries.remove(&rank)
    }

    /// Tries to serve the requests in the order of their ranks, until one attempt returns
    /// [`Outcome::Full`]. Removes the requests that were served and returns them with what they
    /// got.
    pub fn serve<S>(&mut self, mut serve: impl FnMut(&T) -> Outcome<S>) -> Vec<(T, S)> {
        let mut served = Vec::new();
        for (rank, entry) in &self.entries {
            match serve(entry) {
                Outcome::Served(it) => served.push((*rank, it)),
                Outcome::Skipped => {}
                Outcome::Full => break,
            }
        }
        let served = served.into_iter();
        served.filter_map(|(rank, it)| Some((self.entries.remove(&rank)?, it))).collect()
    }
}
