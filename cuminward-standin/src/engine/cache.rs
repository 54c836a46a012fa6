//! Prefix cache of a replica: caches blocks of prompts and evicts the least recently used ones.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use cuminward_core::cache::{Batch, Event, Kind};
use xxhash_rust::xxh3;

/// Size of a block, in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Number of the newest events that readers can get.
const MAX_EVENTS: usize = 8192;

/// Hash of a prompt from its start to the end of a whole block.
pub type Prefix = u64;

/// Prefix cache with a limited number of blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    drop_every: u64,
    /// Logical time: the number of uses so far.
    clock: u64,
    blocks: HashMap<Prefix, Block>,
    /// Blocks in the order of their last use.
    by_last_use: BTreeMap<u64, Prefix>,
    events: VecDeque<(Instant, Event)>,
    next_event: u64,
}

#[derive(Debug)]
struct Block {
    last_use: u64,
    /// Prefixes of all blocks from the start of the prompt to this block.
    chain: Vec<Prefix>,
}

/// Returns the prefixes of a prompt, one for each whole block, in order.
pub fn prefixes(prompt: &str) -> Vec<Prefix> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES).map(|it| xxh3::xxh3_64(&bytes[..it * BLOCK_BYTES])).collect()
}

/// Life cycle
impl Cache {
    /// Creates an empty cache of `capacity` blocks. Every `drop_every`-th event is lost; 0 loses
    /// none.
    pub fn new(capacity: usize, drop_every: u64) -> Cache {
        Cache {
            capacity,
            drop_every,
            clock: 0,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }
}

/// Access
impl Cache {
    /// Returns the used part of the capacity, in thousandths.
    pub fn used_permille(&self) -> u32 {
        (self.blocks.len() * 1000 / self.capacity.max(1)) as u32
    }

    /// Returns how many leading prefixes are cached.
    pub fn count_cached(&self, prefixes: &[Prefix]) -> usize {
        prefixes.iter().take_while(|it| self.blocks.contains_key(it)).count()
    }

    /// Returns the chain of prefixes that ends with `prefix`; `None` when it isn't cached.
    pub fn export(&self, prefix: Prefix) -> Option<Vec<Prefix>> {
        self.blocks.get(&prefix).map(|it| it.chain.clone())
    }

    /// Returns the events from sequence number `from` on that are at least as old as `lag`.
    pub fn events_since(&self, from: u64, lag: Duration) -> Batch {
        let is_visible = |at: &Instant| at.elapsed() >= lag;
        let events: Vec<Event> = self
            .events
            .iter()
            .filter(|(at, it)| it.seq >= from && is_visible(at))
            .map(|(_, it)| it.clone())
            .collect();
        let next = events.last().map_or(from, |it| it.seq + 1);
        Batch { next, gap: next - from != events.len() as u64, events }
    }
}

/// Mutation
impl Cache {
    /// Stores the prefixes of a prompt, marks them as used now and evicts surplus blocks.
    pub fn store(&mut self, prefixes: &[Prefix]) {
        for index in 0..prefixes.len() {
            self.touch(&prefixes[..=index]);
        }
        while self.blocks.len() > self.capacity {
            let (_, prefix) =
                self.by_last_use.pop_first().expect("each block has an entry in the order of use");
            self.blocks.remove(&prefix);
            self.record_event(Kind::Removed, prefix);
        }
    }

    fn touch(&mut self, chain: &[Prefix]) {
        let Some(&prefix) = chain.last() else { return };
        self.clock += 1;
        let last_use = self.clock;
        self.by_last_use.insert(last_use, prefix);
        if let Some(block) = self.blocks.get_mut(&prefix) {
            self.by_last_use.remove(&block.last_use);
            block.last_use = last_use;
            return;
        }
        self.blocks.insert(prefix, Block { last_use, chain: chain.to_vec() });
        self.record_event(Kind::Stored, prefix);
    }

    fn record_event(&mut self, kind: Kind, prefix: Prefix) {
        let seq = self.next_event;
        self.next_event += 1;
        let dropped = self.drop_every > 0 && seq % self.drop_every == self.drop_every - 1;
        if dropped {
            return;
        }
        let event = Event { seq, kind, prefix: format!("{prefix:016x}") };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
