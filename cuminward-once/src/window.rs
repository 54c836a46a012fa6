//! Deduplication window: the keys in recent records of the stream of started keys.
//!
//! A claim is the first of its key if the log has no other record of that key within the window before
//! it. A repeated claim that was recorded restarts the window of its key. The result thus depends only
//! on the records within one window before the claim, and every node that has read these records comes
//! to the same result. Time is the time at which the log stored the records.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cuminward_core::id;

use crate::{key, record};

/// Number of interned issuer names at which those without keys are dropped.
const MAX_ISSUERS: usize = 4096;

/// Keys within the deduplication window.
#[derive(Debug)]
pub struct Window {
    length_ms: u64,
    /// Whether the log keeps records for longer than the window.
    retained: bool,
    keys: HashMap<key::Hash, Claimed>,
    /// Records of keys, in the order of the log.
    order: VecDeque<KeyTime>,
    /// Interned names of issuers.
    issuers: BTreeSet<Arc<str>>,
    /// Latest time of a record, in milliseconds since the Unix epoch.
    time_ms: u64,
    coverage: Coverage,
}

/// State of a key within the window.
#[derive(Debug)]
struct Claimed {
    /// Time of the last record of the key.
    last_ms: u64,
    /// Issuer of the first record.
    issuer: Arc<str>,
}

/// Time of a record of a key.
#[derive(Debug)]
struct KeyTime {
    at_ms: u64,
    hash: key::Hash,
}

/// Range of records that were applied without gaps.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Coverage {
    /// No records.
    Nothing,
    /// All records that can be within the window.
    All,
    /// Records from the next one on.
    FromNext,
    /// Records from a time on, in milliseconds.
    From(u64),
}

/// Result of applying one key of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Occurrence {
    /// The claim is the first of its key.
    First,
    /// The key was claimed before.
    Repeated {
        /// Issuer of the first claim.
        by: Arc<str>,
    },
}

/// Life cycle
impl Window {
    /// Creates an empty window. `length` is the time for which keys are remembered, `retention` the
    /// minimum time for which the log keeps records.
    pub fn new(length: Duration, retention: Duration) -> Window {
        Window {
            length_ms: length.as_millis() as u64,
            retained: retention > length,
            keys: HashMap::new(),
            order: VecDeque::new(),
            issuers: BTreeSet::new(),
            time_ms: 0,
            coverage: Coverage::Nothing,
        }
    }
}

/// Access
impl Window {
    /// Returns the issuer of the first claim of a key, if the key is within the window.
    pub fn issuer(&self, hash: &key::Hash) -> Option<&Arc<str>> {
        self.keys.get(hash).map(|it| &it.issuer)
    }

    /// Returns whether all records within the window before the last record were applied.
    pub fn is_complete(&self) -> bool {
        match self.coverage {
            Coverage::All => true,
            Coverage::From(from) => self.time_ms.saturating_sub(from) > self.length_ms,
            Coverage::Nothing | Coverage::FromNext => false,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the memory of the keys in bytes, estimated from the capacities of the collections.
    pub fn memory_bytes(&self) -> usize {
        let key = size_of::<key::Hash>() + size_of::<Claimed>() + 1;
        self.keys.capacity() * 8 / 7 * key + self.order.capacity() * size_of::<KeyTime>()
    }
}

/// Mutation
impl Window {
    /// Restarts at an offset that is the oldest one that the log keeps. Keys that were already applied
    /// stay in the window.
    pub fn start_at(&mut self, oldest: id::Offset) {
        let is_all = oldest == 0 || self.retained;
        self.coverage = if is_all { Coverage::All } else { Coverage::FromNext };
    }

    /// Applies the next record; returns for each of its keys whether it is the first claim.
    pub fn apply(&mut self, at_ms: u64, started: &record::KeyBatch) -> Vec<Occurrence> {
        self.advance_to(at_ms);
        started.keys.iter().map(|it| self.apply_key(it)).collect()
    }

    /// Advances the time to that of a record and removes the keys that have left the window.
    pub fn advance_to(&mut self, at_ms: u64) {
        self.time_ms = self.time_ms.max(at_ms);
        if self.coverage == Coverage::FromNext {
            self.coverage = Coverage::From(self.time_ms);
        }
        let is_expired = |it: u64| self.time_ms.saturating_sub(it) > self.length_ms;
        while let Some(key) = self.order.pop_front_if(|it| is_expired(it.at_ms)) {
            if self.keys.get(&key.hash).is_some_and(|it| it.last_ms == key.at_ms) {
                self.keys.remove(&key.hash);
            }
        }
    }

    /// Applies a claim of a key at the current time.
    fn apply_key(&mut self, key: &record::Key) -> Occurrence {
        let at_ms = self.time_ms;
        self.order.push_back(KeyTime { at_ms, hash: key.hash });
        if let Some(claimed) = self.keys.get_mut(&key.hash) {
            claimed.last_ms = at_ms;
            return Occurrence::Repeated { by: Arc::clone(&claimed.issuer) };
        }
        let issuer = self.intern(&key.issuer);
        self.keys.insert(key.hash, Claimed { last_ms: at_ms, issuer });
        Occurrence::First
    }

    /// Returns the shared copy of an issuer's name.
    fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.issuers.get(name) {
            return Arc::clone(known);
        }
        if self.issuers.len() >= MAX_ISSUERS {
            self.issuers.retain(|it| Arc::strong_count(it) > 1);
        }
        let issuer: Arc<str> = name.into();
        self.issuers.insert(Arc::clone(&issuer));
        issuer
    }
}
