//! Prefixes of prompts that an engine's cache is taken to hold.
//!
//! An [`Index`] is a set-associative table of prefix ids with a fixed size. It is filled from the
//! engine's cache events and, optimistically, when a request is sent. Requests read it without a
//! lock; a wrong answer costs a cache miss and nothing else.

use std::sync::atomic::{AtomicU64, Ordering};

use cuminward_core::cache;
use cuminward_derive::value;
use xxhash_rust::xxh3;

/// Id of a prefix: XXH3-64 of the bytes from the start of the prompt to the end of a block.
pub type Id = u64;

/// Bytes of a block.
pub const BLOCK_BYTES: usize = 64;

/// Blocks of a prompt that are taken into account.
pub const MAX_BLOCKS: usize = 256;

/// Places of a set.
const WAYS: usize = 8;

/// Marks an empty place.
const EMPTY: Id = 0;

/// Size of an index.
#[value]
pub struct Options {
    /// Prefixes that are remembered; rounded up to a power of two.
    pub entries: usize,
}

/// What became of the index when events were applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All events were applied.
    Applied,
    /// Events were missing: everything was forgotten before the events were applied.
    Reset,
}

/// Prefixes that one engine is taken to hold.
#[derive(Debug)]
pub struct Index {
    slots: Box<[AtomicU64]>,
    next: AtomicU64,
}

impl Default for Options {
    fn default() -> Options {
        Options { entries: 8192 }
    }
}

/// Life cycle
impl Index {
    /// Makes an empty index.
    pub fn new(options: Options) -> Index {
        let entries = options.entries.next_power_of_two().max(WAYS);
        let slots = (0..entries).map(|_| AtomicU64::new(EMPTY)).collect();
        Index { slots, next: AtomicU64::new(0) }
    }
}

/// Access
impl Index {
    /// Tells whether the prefix is taken to be cached.
    pub fn contains(&self, id: Id) -> bool {
        self.set(id).iter().any(|it| it.load(Ordering::Relaxed) == id)
    }

    /// Number of leading blocks that are taken to be cached.
    pub fn matched_blocks(&self, ids: &[Id]) -> usize {
        ids.iter().take_while(|&&it| self.contains(it)).count()
    }

    /// Number of the next event to ask the engine for.
    pub fn next_event(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }

    fn set(&self, id: Id) -> &[AtomicU64] {
        let sets = self.slots.len() / WAYS;
        let start = (id as usize & (sets - 1)) * WAYS;
        &self.slots[start..start + WAYS]
    }
}

/// Mutation
impl Index {
    /// Applies a batch of events; one caller at a time.
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
            self.change(event);
            next = Some(event.seq + 1);
        }
        self.next.store(batch.next, Ordering::Relaxed);
        outcome
    }

    /// Notes prefixes that a request just sent will leave in the cache.
    pub fn insert_all(&self, ids: &[Id]) {
        ids.iter().for_each(|&it| self.insert(it));
    }

    /// Notes that the engine holds the prefix; another one of the same set may be forgotten.
    pub fn insert(&self, id: Id) {
        let set = self.set(id);
        if set.iter().any(|it| it.load(Ordering::Relaxed) == id) {
            return;
        }
        let empty = set.iter().find(|it| it.load(Ordering::Relaxed) == EMPTY);
        let victim = (id >> 61) as usize % WAYS;
        empty.unwrap_or(&set[victim]).store(id, Ordering::Relaxed);
    }

    /// Notes that the engine no longer holds the prefix.
    pub fn remove(&self, id: Id) {
        for slot in self.set(id) {
            let _ = slot.compare_exchange(id, EMPTY, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Forgets all prefixes.
    pub fn clear(&self) {
        self.slots.iter().for_each(|it| it.store(EMPTY, Ordering::Relaxed));
    }

    fn change(&self, event: &cache::Event) {
        let Ok(id) = Id::from_str_radix(&event.prefix, 16) else { return };
        match event.kind {
            cache::Kind::Stored => self.insert(id),
            cache::Kind::Removed => self.remove(id),
        }
    }
}

/// Writes the ids of a prompt's whole blocks to `ids`, at most [`MAX_BLOCKS`].
pub fn compute_ids(prompt: &[u8], ids: &mut Vec<Id>) {
    ids.clear();
    let mut hash = xxh3::Xxh3::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        hash.update(block);
        ids.push(hash.digest());
    }
}
