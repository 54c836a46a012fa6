//! Bounded buffer of the recent events of a node.
//!
//! Threads are spread over shards with separate locks to avoid contention. A reader locks all shards at
//! once, so that it sees every buffered event up to the largest sequence number that it returns.

use std::{
    cell::Cell,
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use cuminward_core::{hlc, id};

use crate::{
    kind::{self, Kind},
    line,
    record::Record,
};

/// Number of shards; each has its own lock.
const SHARDS: usize = 16;

/// Maximum length of a request id, in bytes; longer ids are truncated.
const MAX_REQUEST_ID: usize = 128;

/// Receives the events of a node: buffers the recent ones, counts them and writes them to the log.
pub struct Sink {
    node: id::Node,
    clock: Arc<hlc::Clock>,
    next: AtomicU64,
    /// Maximum number of events in a shard.
    capacity: usize,
    shards: Vec<Mutex<VecDeque<Record>>>,
    /// Number of events since the start, by index of the kind.
    counts: Vec<AtomicU64>,
    /// Writer of JSON lines; if `None`, events are written to the log as text.
    output: Option<line::Writer>,
}

/// Number of events of a kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Count {
    /// The kind.
    pub entry: &'static kind::Entry,
    /// Number of events since the start.
    pub count: u64,
}

/// Life cycle
impl Sink {
    /// Creates an empty sink that buffers about `capacity` events, at least one for each shard.
    pub fn new(node: id::Node, clock: Arc<hlc::Clock>, capacity: usize) -> Sink {
        Sink {
            output: None,
            node,
            clock,
            next: AtomicU64::new(0),
            capacity: capacity.div_ceil(SHARDS).max(1),
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            counts: kind::ENTRIES.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

/// Life cycle
impl Sink {
    /// Creates an empty sink that writes its events as JSON lines to `output`.
    pub fn with_output(
        node: id::Node,
        clock: Arc<hlc::Clock>,
        capacity: usize,
        output: line::Writer,
    ) -> Sink {
        Sink { output: Some(output), ..Sink::new(node, clock, capacity) }
    }
}

/// Access
impl Sink {
    /// Returns the node that emits the events.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns the clock that stamps the events.
    pub fn clock(&self) -> &hlc::Clock {
        &self.clock
    }

    /// Returns the first `max` buffered events, in order, with a sequence number of at least `from`,
    /// only those of `request` if it is given. Events that were evicted from the buffer are missing.
    pub fn since(&self, from: kind::Seq, max: usize, request: Option<&str>) -> Vec<Record> {
        let is_match = |it: &&Record| {
            it.seq >= from && request.is_none_or(|request| it.request.as_deref() == Some(request))
        };
        let shards: Vec<_> = self.shards.iter().map(lock).collect();
        let mut matches: Vec<&Record> =
            shards.iter().flat_map(|it| it.iter()).filter(is_match).collect();
        matches.sort_unstable_by_key(|it| it.seq);
        matches.into_iter().take(max).cloned().collect()
    }

    /// Returns the number of events of each kind since the start.
    pub fn counts(&self) -> impl Iterator<Item = Count> {
        kind::ENTRIES
            .iter()
            .zip(&self.counts)
            .map(|(entry, count)| Count { entry, count: count.load(Ordering::Relaxed) })
    }

    /// Returns the number of events since the start of the kind with a number.
    pub fn count(&self, number: kind::Number) -> u64 {
        self.counts().find(|it| it.entry.number == number).map_or(0, |it| it.count)
    }
}

/// Mutation
impl Sink {
    /// Emits an event that concerns no request.
    pub fn emit(&self, kind: Kind) {
        self.push(None, kind);
    }

    /// Emits an event that concerns a request.
    pub fn emit_for(&self, request: &str, kind: Kind) {
        let end = request.floor_char_boundary(MAX_REQUEST_ID.min(request.len()));
        self.push(Some(request[..end].to_owned()), kind);
    }

    fn push(&self, request: Option<id::Request>, mut kind: Kind) {
        kind.truncate_texts();
        self.counts[kind.index()].fetch_add(1, Ordering::Relaxed);
        if self.output.is_none() {
            match &request {
                Some(request) => log::log!(kind.level(), "{kind} request={request}"),
                None => log::log!(kind.level(), "{kind}"),
            }
        }
        let mut shard = lock(&self.shards[shard_of_thread()]);
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let stamp = self.clock.now();
        if shard.len() == self.capacity {
            shard.pop_front();
        }
        let record = Record { seq, stamp, node: self.node.clone(), request, kind };
        if let Some(output) = &self.output {
            output.write(&record);
        }
        shard.push_back(record);
    }
}

/// Locks a shard. A poisoned lock is used further, because a panic leaves the buffer consistent.
fn lock(shard: &Mutex<VecDeque<Record>>) -> MutexGuard<'_, VecDeque<Record>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the index of the shard that the current thread writes to.
fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<usize> = Cell::new(NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS);
    }
    SHARD.with(Cell::get)
}
