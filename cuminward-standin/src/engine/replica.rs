//! A serving replica: slots, queue, concurrency limit and load.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use cuminward_core::{host, id};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::{Options, cache};

/// Slowdown factor at normal speed, in thousandths.
const NORMAL_SLOWDOWN_PERMILLE: u32 = 1000;

/// A replica in one formation.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) membership: host::Membership,
    /// Cancelled when the formation breaks.
    pub(super) broken: CancellationToken,
    /// Number of paused members; no token is produced while the number isn't 0.
    pub(super) paused: watch::Sender<u32>,
    slowdown_permille: AtomicU32,
    options: Arc<Options>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    started_at: Instant,
    next_number: u64,
    running: HashMap<u64, CancellationToken>,
    waiting: Vec<Waiter>,
    registered: HashMap<u64, Registration>,
    cache: cache::Cache,
    sampled_at: Instant,
    sampled_load: (u32, u32, u32),
}

/// Registration through which a request can be cancelled.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    number: u64,
    request: id::Request,
    /// Cancelled when the request is.
    pub(super) cancel: CancellationToken,
}

#[derive(Debug)]
struct Waiter {
    priority: i64,
    number: u64,
    sender: oneshot::Sender<(Slot, Occupancy)>,
}

/// Occupancy of a replica right after a request took a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Occupancy {
    /// Requests in flight, this one included.
    pub(super) in_flight: u32,
    /// Concurrency limit of the replica.
    pub(super) limit: u32,
    /// Whether the replica was still warming up.
    pub(super) cold: bool,
    /// Whether the limit was exceeded, which makes everything in flight fail.
    pub(super) overrun: bool,
}

/// Slot of a running request. Dropping it passes the slot on to the next waiting request.
#[derive(Debug)]
pub(super) struct Slot {
    replica: Arc<Replica>,
    number: u64,
    /// Cancelled when the replica fails everything in flight.
    pub(super) failed: CancellationToken,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut inner = self.replica.lock();
            inner.running.remove(&self.number);
            let free = inner.running.len() < self.replica.options.slots as usize;
            let next = if free { inner.pop_waiter() } else { None };
            next.map(|it| (it.sender, self.replica.occupy_slot(&mut inner)))
        };
        if let Some((sender, slot)) = next {
            // If the waiting request has ended, the unsent slot is dropped, which passes it on.
            let _ = sender.send(slot);
        }
    }
}

/// Life cycle
impl Replica {
    pub(super) fn new(membership: host::Membership, options: Arc<Options>) -> Replica {
        let inner = Inner {
            started_at: Instant::now(),
            next_number: 0,
            running: HashMap::new(),
            waiting: Vec::new(),
            registered: HashMap::new(),
            cache: cache::Cache::new(options.cache_blocks, options.event_gap_every),
            sampled_at: Instant::now(),
            sampled_load: (0, 0, 0),
        };
        Replica {
            membership,
            broken: CancellationToken::new(),
            paused: watch::Sender::new(0),
            slowdown_permille: AtomicU32::new(NORMAL_SLOWDOWN_PERMILLE),
            options,
            inner: Mutex::new(inner),
        }
    }
}

/// Access
impl Replica {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    pub(super) fn name(&self) -> String {
        format!("{}@{}", self.membership.group, self.membership.generation)
    }

    /// Returns whether all slots are in use and the queue is full.
    pub(super) fn is_full(&self) -> bool {
        let inner = self.lock();
        let slots = self.options.slots as usize;
        inner.running.len() >= slots && inner.waiting.len() >= self.options.queue as usize
    }

    /// Returns the current concurrency limit.
    pub(super) fn concurrency_limit(&self) -> u32 {
        let age = self.lock().started_at.elapsed();
        self.options.ramp().limit_at(age)
    }

    /// Returns the current time per token.
    pub(super) fn decode_time(&self) -> Duration {
        let others = self.lock().running.len().saturating_sub(1) as u32;
        let growth = 1000 + others * self.options.decode_growth_permille;
        self.apply_slowdown(self.options.decode) * growth / 1000
    }

    /// Returns the time to process a number of bytes of the prompt.
    pub(super) fn prefill_time(&self, bytes: usize) -> Duration {
        self.apply_slowdown(self.options.prefill_per_byte) * bytes as u32
    }

    fn apply_slowdown(&self, time: Duration) -> Duration {
        time * self.slowdown_permille.load(Ordering::Relaxed) / NORMAL_SLOWDOWN_PERMILLE
    }

    /// Returns the load as last sampled.
    pub(super) fn load(&self) -> host::Load {
        let inner = self.lock();
        let (running, queued, cache_permille) = inner.sampled_load;
        host::Load { running, queued, cache_permille, age: inner.sampled_at.elapsed() }
    }

    /// Calls `operation` with the cache.
    pub(super) fn with_cache<T>(&self, operation: impl FnOnce(&mut cache::Cache) -> T) -> T {
        operation(&mut self.lock().cache)
    }
}

/// Mutation
impl Replica {
    /// Samples the load to report from now on.
    pub(super) fn sample_load(&self) {
        let mut inner = self.lock();
        let running = inner.running.len() as u32;
        let queued = inner.waiting.len() as u32;
        inner.sampled_load = (running, queued, inner.cache.used_permille());
        inner.sampled_at = Instant::now();
    }

    /// Sets the factor by which the replica is slower than normal.
    pub(super) fn set_slowdown(&self, factor: f64) {
        let permille = (factor * f64::from(NORMAL_SLOWDOWN_PERMILLE)) as u32;
        self.slowdown_permille.store(permille, Ordering::Relaxed);
    }

    /// Registers a request so that it can be cancelled; several requests may have the same id.
    pub(super) fn register(&self, request: &str) -> Registration {
        let mut inner = self.lock();
        let number = inner.next_number;
        inner.next_number += 1;
        let cancel = CancellationToken::new();
        let registration = Registration { number, request: request.to_owned(), cancel };
        inner.registered.insert(number, registration.clone());
        registration
    }

    /// Removes the registration of a request.
    pub(super) fn unregister(&self, registration: &Registration) {
        self.lock().registered.remove(&registration.number);
    }

    /// Cancels all requests with an id. Returns whether there was one.
    pub(super) fn cancel(&self, request: &str) -> bool {
        let inner = self.lock();
        let found: Vec<&Registration> =
            inner.registered.values().filter(|it| it.request == request).collect();
        found.iter().for_each(|it| it.cancel.cancel());
        !found.is_empty()
    }

    /// Waits for a free slot and takes it; a larger `priority` goes first.
    pub(super) async fn acquire_slot(self: &Arc<Self>, priority: i64) -> (Slot, Occupancy) {
        let receiver = {
            let mut inner = self.lock();
            if inner.running.len() < self.options.slots as usize {
                return self.occupy_slot(&mut inner);
            }
            let (sender, receiver) = oneshot::channel();
            let number = inner.next_number;
            inner.next_number += 1;
            inner.waiting.push(Waiter { priority, number, sender });
            receiver
        };
        receiver.await.expect("the replica keeps the sender until it sends a slot")
    }

    /// Takes a slot. A request above the concurrency limit makes everything in flight fail, itself
    /// included, and restarts the warm-up.
    fn occupy_slot(self: &Arc<Self>, inner: &mut Inner) -> (Slot, Occupancy) {
        let number = inner.next_number;
        inner.next_number += 1;
        let failed = CancellationToken::new();
        inner.running.insert(number, failed.clone());
        let in_flight = inner.running.len() as u32;
        let limit = self.options.ramp().limit_at(inner.started_at.elapsed());
        let overrun = in_flight > limit;
        let occupancy = Occupancy { in_flight, limit, cold: limit < self.options.slots, overrun };
        if overrun {
            inner.running.drain().for_each(|(_, it)| it.cancel());
            inner.started_at = Instant::now();
        }
        (Slot { replica: self.clone(), number, failed }, occupancy)
    }
}

impl Inner {
    /// Removes the waiting request with the largest priority, the earliest among equals.
    fn pop_waiter(&mut self) -> Option<Waiter> {
        let rank = |it: &Waiter| (it.priority, std::cmp::Reverse(it.number));
        let index = (0..self.waiting.len()).max_by_key(|it| rank(&self.waiting[*it]))?;
        Some(self.waiting.swap_remove(index))
    }
}
