//! Recent events of a node, in bounded memory.
//!
//! Threads write to different shards, so that requests share no lock. A reader locks all shards for
//! a moment and therefore sees every event below the largest index that it sees.

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

/// Buffers with a lock of their own.
const SHARDS: usize = 16;

/// Largest length of a request's id that is kept, in bytes.
const MAX_REQUEST: usize = 128;

/// Where a node's events go.
pub struct Sink {
    node: id::Node,
    clock: Arc<hlc::Clock>,
    next: AtomicU64,
    /// Largest number of events in a shard.
    capacity: usize,
    shards: Vec<Mutex<VecDeque<Record>>>,
    /// Events so far, by index of the kind.
    counts: Vec<AtomicU64>,
    /// Where events are written as lines of JSON, instead of to the log as text.
    output: Option<line::Writer>,
}

/// How often a kind of event happened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Count {
    /// The kind.
    pub entry: &'static kind::Entry,
    /// Events since the start.
    pub count: u64,
}

/// Life cycle
impl Sink {
    /// Makes an empty sink that keeps about `capacity` events; at least one for each shard.
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
    /// Makes an empty sink that writes its events as lines of JSON.
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
    /// Node whose events the sink keeps.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Clock that stamps the events.
    pub fn clock(&self) -> &hlc::Clock {
        &self.clock
    }

    /// Events with an index of at least `from`, of one request if one is named, at most `max`, in
    /// order. Events that were pushed out of the buffer are missing.
    pub fn since(&self, from: kind::Seq, max: usize, request: Option<&str>) -> Vec<Record> {
        let is_wanted = |it: &&Record| {
            it.seq >= from && request.is_none_or(|request| it.request.as_deref() == Some(request))
        };
        let shards: Vec<_> = self.shards.iter().map(lock).collect();
        let mut wanted: Vec<&Record> =
            shards.iter().flat_map(|it| it.iter()).filter(is_wanted).collect();
        wanted.sort_unstable_by_key(|it| it.seq);
        wanted.into_iter().take(max).cloned().collect()
    }

    /// How often each kind of event happened since the start.
    pub fn counts(&self) -> impl Iterator<Item = Count> {
        kind::ENTRIES
            .iter()
            .zip(&self.counts)
            .map(|(entry, count)| Count { entry, count: count.load(Ordering::Relaxed) })
    }

    /// How often the kind of event with a number happened since the start.
    pub fn count(&self, number: kind::Number) -> u64 {
        self.counts().find(|it| it.entry.number == number).map_or(0, |it| it.count)
    }
}

/// Mutation
impl Sink {
    /// Records an event.
    pub fn emit(&self, kind: Kind) {
        self.push(None, kind);
    }

    /// Records an event of a request.
    pub fn emit_for(&self, request: &str, kind: Kind) {
        let end = request.floor_char_boundary(MAX_REQUEST.min(request.len()));
        self.push(Some(request[..end].to_owned()), kind);
    }

    fn push(&self, request: Option<id::Request>, mut kind: Kind) {
        kind.bound();
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

/// A panic while the lock is held leaves the buffer whole, so that it can be used further.
fn lock(shard: &Mutex<VecDeque<Record>>) -> MutexGuard<'_, VecDeque<Record>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The shard that the current thread writes to.
fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<usize> = Cell::new(NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS);
    }
    SHARD.with(Cell::get)
}
