//! The keys that were claimed recently: the fold of the stream of started keys.
//!
//! A claim is the first of its key if no other record of that key stands in the log within the
//! window before it. A repeated claim that was recorded begins the window anew. The answer thus
//! depends only on the records within one window before the claim, and every node that has read
//! these gives the same one. Time is the time at which the log took the records.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use cuminward_core::id;

use crate::{key, record};

/// Names of issuers kept before those without keys are dropped.
const MAX_ISSUERS: usize = 4096;

/// Keys within the window.
#[derive(Debug)]
pub struct Window {
    length_ms: u64,
    /// Whether the log keeps records for longer than the window.
    retained: bool,
    keys: HashMap<key::Hash, Claimed>,
    /// Keys in the order of their last records.
    order: VecDeque<Mark>,
    issuers: BTreeSet<Arc<str>>,
    /// Largest time of a record.
    time_ms: u64,
    coverage: Coverage,
}

/// A key within the window.
#[derive(Debug)]
struct Claimed {
    /// Time of the last record of the key.
    last_ms: u64,
    /// Issuer of the first record.
    issuer: Arc<str>,
}

/// A record of a key.
#[derive(Debug)]
struct Mark {
    at_ms: u64,
    hash: key::Hash,
}

/// From when on records were folded without gaps.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Coverage {
    /// Nothing was read.
    Nothing,
    /// All records that can matter.
    All,
    /// Records from the next one on.
    FromNext,
    /// Records from a time on, in milliseconds.
    From(u64),
}

/// What a record says about one of its keys.
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
    /// Makes an empty window. `length` is the time for which keys are remembered, `retention` the
    /// time for which the log keeps records at least.
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
    /// Issuer of the first claim of a key, if the key is within the window.
    pub fn issuer(&self, hash: &key::Hash) -> Option<&Arc<str>> {
        self.keys.get(hash).map(|it| &it.issuer)
    }

    /// Tells whether every record within the window before the last one was folded.
    pub fn is_complete(&self) -> bool {
        match self.coverage {
            Coverage::All => true,
            Coverage::From(from) => self.time_ms.saturating_sub(from) > self.length_ms,
            Coverage::Nothing | Coverage::FromNext => false,
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Memory of the keys, in bytes, as the capacities of the collections give it.
    pub fn memory_bytes(&self) -> usize {
        let key = size_of::<key::Hash>() + size_of::<Claimed>() + 1;
        self.keys.capacity() * 8 / 7 * key + self.order.capacity() * size_of::<Mark>()
    }
}

/// Mutation
impl Window {
    /// Begins to fold at an offset that is the oldest one that the log keeps. Keys that are known
    /// stay known.
    pub fn start_at(&mut self, oldest: id::Offset) {
        let is_all = oldest == 0 || self.retained;
        self.coverage = if is_all { Coverage::All } else { Coverage::FromNext };
    }

    /// Folds the next record; returns the place of each of its keys.
    pub fn apply(&mut self, at_ms: u64, started: &record::KeyBatch) -> Vec<Occurrence> {
        self.advance_to(at_ms);
        started.keys.iter().map(|it| self.claim(it)).collect()
    }

    /// Moves the time on to that of a record and forgets the keys that have left the window.
    pub fn advance_to(&mut self, at_ms: u64) {
        self.time_ms = self.time_ms.max(at_ms);
        if self.coverage == Coverage::FromNext {
            self.coverage = Coverage::From(self.time_ms);
        }
        let is_old = |it: u64| self.time_ms.saturating_sub(it) > self.length_ms;
        while let Some(mark) = self.order.pop_front_if(|it| is_old(it.at_ms)) {
            if self.keys.get(&mark.hash).is_some_and(|it| it.last_ms == mark.at_ms) {
                self.keys.remove(&mark.hash);
            }
        }
    }

    fn claim(&mut self, key: &record::Key) -> Occurrence {
        let at_ms = self.time_ms;
        self.order.push_back(Mark { at_ms, hash: key.hash });
        if let Some(claimed) = self.keys.get_mut(&key.hash) {
            claimed.last_ms = at_ms;
            return Occurrence::Repeated { by: Arc::clone(&claimed.issuer) };
        }
        let issuer = self.intern(&key.issuer);
        self.keys.insert(key.hash, Claimed { last_ms: at_ms, issuer });
        Occurrence::First
    }

    /// The shared copy of an issuer's name.
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
