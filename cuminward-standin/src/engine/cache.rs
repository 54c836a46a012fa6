//! Prefix cache of a replica: blocks of the prompt, the least recently used ones go first.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use cuminward_core::cache::{Batch, Event, Kind};
use xxhash_rust::xxh3;

/// Size of a block, in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Events that are kept for readers.
const KEPT_EVENTS: usize = 8192;

/// Hash of a run of whole blocks from the start of a prompt.
pub type Prefix = u64;

/// A prefix cache with limited memory.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    gap_every: u64,
    clock: u64,
    blocks: HashMap<Prefix, Block>,
    ages: BTreeMap<u64, Prefix>,
    events: VecDeque<(Instant, Event)>,
    next_event: u64,
}

#[derive(Debug)]
struct Block {
    age: u64,
    chain: Vec<Prefix>,
}

/// Hashes of all runs of whole blocks from the start of a prompt.
pub fn prefixes(prompt: &str) -> Vec<Prefix> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES).map(|it| xxh3::xxh3_64(&bytes[..it * BLOCK_BYTES])).collect()
}

/// Life cycle
impl Cache {
    /// Makes an empty cache of `capacity` blocks whose every `gap_every`-th event is lost (0: none).
    pub fn new(capacity: usize, gap_every: u64) -> Cache {
        Cache {
            capacity,
            gap_every,
            clock: 0,
            blocks: HashMap::new(),
            ages: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }
}

/// Access
impl Cache {
    /// Used part, in thousandths.
    pub fn used_permille(&self) -> u32 {
        (self.blocks.len() * 1000 / self.capacity.max(1)) as u32
    }

    /// Leading prefixes that are cached.
    pub fn count_cached(&self, prefixes: &[Prefix]) -> usize {
        prefixes.iter().take_while(|it| self.blocks.contains_key(it)).count()
    }

    /// The run of prefixes that ends with one, for export; `None` when it isn't cached.
    pub fn export(&self, prefix: Prefix) -> Option<Vec<Prefix>> {
        self.blocks.get(&prefix).map(|it| it.chain.clone())
    }

    /// Events from a number on that are older than a lag.
    pub fn events_since(&self, from: u64, lag: Duration) -> Batch {
        let due = |at: &Instant| at.elapsed() >= lag;
        let events: Vec<Event> = self
            .events
            .iter()
            .filter(|(at, it)| it.seq >= from && due(at))
            .map(|(_, it)| it.clone())
            .collect();
        let next = events.last().map_or(from, |it| it.seq + 1);
        Batch { next, gap: next - from != events.len() as u64, events }
    }
}

/// Mutation
impl Cache {
    /// Stores prefixes and marks them as used now.
    pub fn store(&mut self, prefixes: &[Prefix]) {
        for index in 0..prefixes.len() {
            self.touch(&prefixes[..=index]);
        }
        while self.blocks.len() > self.capacity {
            let (_, prefix) = self.ages.pop_first().expect("each block has an age");
            self.blocks.remove(&prefix);
            self.record(Kind::Removed, prefix);
        }
    }

    fn touch(&mut self, chain: &[Prefix]) {
        let Some(&prefix) = chain.last() else { return };
        self.clock += 1;
        let age = self.clock;
        self.ages.insert(age, prefix);
        if let Some(block) = self.blocks.get_mut(&prefix) {
            self.ages.remove(&block.age);
            block.age = age;
            return;
        }
        self.blocks.insert(prefix, Block { age, chain: chain.to_vec() });
        self.record(Kind::Stored, prefix);
    }

    fn record(&mut self, kind: Kind, prefix: Prefix) {
        let seq = self.next_event;
        self.next_event += 1;
        let lost = self.gap_every > 0 && seq % self.gap_every == self.gap_every - 1;
        if lost {
            return;
        }
        let event = Event { seq, kind, prefix: format!("{prefix:016x}") };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
