//! Index of the prompt prefixes that an engine's cache presumably holds, for prefix-cache affinity.
//!
//! An [`Index`] is a set-associative table of prefix ids with a fixed size. It is filled from the
//! engine's cache events and, optimistically, when a request is sent. Requests read it without a
//! lock; a wrong answer only costs a cache miss.

use std::sync::atomic::{AtomicU64, Ordering};

use cuminward_core::cache;
use cuminward_derive::value;
use xxhash_rust::xxh3;

/// Id of a prefix: XXH3-64 of the bytes from the start of the prompt to the end of a block.
pub type Id = u64;

/// Size of a block, in bytes.
pub const BLOCK_BYTES: usize = 64;

/// Blocks of a prompt, from its start, for which ids are computed.
pub const MAX_BLOCKS: usize = 256;

/// Slots in a set.
const WAYS: usize = 8;

/// Value of an empty slot.
const EMPTY: Id = 0;

/// Options of an index.
#[value]
pub struct Options {
    /// Number of prefixes that the index can hold; rounded up to a power of two.
    pub entries: usize,
}

/// Outcome of applying cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All events were applied.
    Applied,
    /// Events were missing, so the index was cleared before the events after the gap were applied.
    Reset,
}

/// Index of the prefixes that one engine's cache presumably holds.
#[derive(Debug)]
pub struct Index {
    slots: Box<[AtomicU64]>,
    /// Sequence number of the next cache event to request.
    next: AtomicU64,
}

impl Default for Options {
    fn default() -> Options {
        Options { entries: 8192 }
    }
}

/// Life cycle
impl Index {
    /// Creates an empty index.
    pub fn new(options: Options) -> Index {
        let entries = options.entries.next_power_of_two().max(WAYS);
        let slots = (0..entries).map(|_| AtomicU64::new(EMPTY)).collect();
        Index { slots, next: AtomicU64::new(0) }
    }
}

/// Access
impl Index {
    /// Returns whether the prefix is presumably cached.
    pub fn contains(&self, id: Id) -> bool {
        self.set(id).iter().any(|it| it.load(Ordering::Relaxed) == id)
    }

    /// Returns the number of leading blocks that are presumably cached.
    pub fn matched_blocks(&self, ids: &[Id]) -> usize {
        ids.iter().take_while(|&&it| self.contains(it)).count()
    }

    /// Returns the sequence number of the next event to request from the engine.
    pub fn next_event(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }

    /// Returns the set of slots in which a prefix may be stored.
    fn set(&self, id: Id) -> &[AtomicU64] {
        let sets = self.slots.len() / WAYS;
        let start = (id as usize & (sets - 1)) * WAYS;
        &self.slots[start..start + WAYS]
    }
}

/// Mutation
impl Index {
    /// Applies a batch of cache events. Must not be called concurrently.
    pub fn apply(&self, batch: &cache::Batch) -> Outcome {
        let expected = self.next_event();
        let mut outcome = Outcome::Applied;
        if batch.gap || batch.next < expected {
            self.clear();
            outcome = Outcome::Reset;
        }
        let mut next = if outcome == Outcome::Reset { None } else { Some(expected) };
        for event in &batch.events {
            if next.is_some_and(|it| event.seq < it) {
                continue;
            }
            if next.is_some_and(|it| event.seq > it) {
                self.clear();
                outcome = Outcome::Reset;
            }
            self.apply_event(event);
            next = Some(event.seq + 1);
        }
        self.next.store(batch.next, Ordering::Relaxed);
        outcome
    }

    /// Adds the prefixes that a request just sent will leave in the cache.
    pub fn insert_all(&self, ids: &[Id]) {
        ids.iter().for_each(|&it| self.insert(it));
    }

    /// Adds a prefix. If its set is full, the prefix replaces another one.
    pub fn insert(&self, id: Id) {
        let set = self.set(id);
        if set.iter().any(|it| it.load(Ordering::Relaxed) == id) {
            return;
        }
        let empty = set.iter().find(|it| it.load(Ordering::Relaxed) == EMPTY);
        let victim = (id >> 61) as usize % WAYS;
        empty.unwrap_or(&set[victim]).store(id, Ordering::Relaxed);
    }

    /// Removes a prefix.
    pub fn remove(&self, id: Id) {
        for slot in self.set(id) {
            let _ = slot.compare_exchange(id, EMPTY, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Removes all prefixes.
    pub fn clear(&self) {
        self.slots.iter().for_each(|it| it.store(EMPTY, Ordering::Relaxed));
    }

    /// Applies one event; an event with a malformed id is ignored.
    fn apply_event(&self, event: &cache::Event) {
        let Ok(id) = Id::from_str_radix(&event.prefix, 16) else { return };
        match event.kind {
            cache::Kind::Stored => self.insert(id),
            cache::Kind::Removed => self.remove(id),
        }
    }
}

/// Replaces the contents of `ids` by the ids of the prompt's whole blocks, at most [`MAX_BLOCKS`].
pub fn compute_ids(prompt: &[u8], ids: &mut Vec<Id>) {
    ids.clear();
    let mut hash = xxh3::Xxh3::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        hash.update(block);
        ids.push(hash.digest());
    }
}
