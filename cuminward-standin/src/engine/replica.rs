//! A replica that serves: slots, queue, cold bound and load.

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

/// Thousandths of normal speed.
const NORMAL_SPEED: u32 = 1000;

/// A replica in one formation.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) membership: host::Membership,
    /// Cancelled when the formation breaks.
    pub(super) broken: CancellationToken,
    /// Number of paused members; no token comes while it isn't 0.
    pub(super) paused: watch::Sender<u32>,
    slowdown_permille: AtomicU32,
    options: Arc<Options>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    started: Instant,
    next_run: u64,
    running: HashMap<u64, CancellationToken>,
    waiting: Vec<Waiting>,
    registered: HashMap<u64, Registration>,
    cache: cache::Cache,
    sampled: Instant,
    load: (u32, u32, u32),
}

/// A request that can be cancelled.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    number: u64,
    request: id::Request,
    /// Cancelled when the request is.
    pub(super) cancel: CancellationToken,
}

#[derive(Debug)]
struct Waiting {
    priority: i64,
    number: u64,
    grant: oneshot::Sender<(Slot, Start)>,
}

/// What the start of a request did to a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Start {
    /// Requests in flight, this one included.
    pub(super) in_flight: u32,
    /// Requests that the replica bore.
    pub(super) bound: u32,
    /// Whether the replica was still warming up.
    pub(super) cold: bool,
    /// Whether everything in flight failed.
    pub(super) overrun: bool,
}

/// A place among the running requests, given back when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    replica: Arc<Replica>,
    number: u64,
    /// Cancelled when the replica fails what is in flight.
    pub(super) failed: CancellationToken,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut inner = self.replica.lock();
            inner.running.remove(&self.number);
            let free = inner.running.len() < self.replica.options.slots as usize;
            let next = if free { inner.pop() } else { None };
            next.map(|it| (it.grant, self.replica.start(&mut inner)))
        };
        if let Some((grant, slot)) = next {
            // A waiting request that has gone drops its slot, which passes it on.
            let _ = grant.send(slot);
        }
    }
}

/// Life cycle
impl Replica {
    pub(super) fn new(membership: host::Membership, options: Arc<Options>) -> Replica {
        let inner = Inner {
            started: Instant::now(),
            next_run: 0,
            running: HashMap::new(),
            waiting: Vec::new(),
            registered: HashMap::new(),
            cache: cache::Cache::new(options.cache_blocks, options.event_gap_every),
            sampled: Instant::now(),
            load: (0, 0, 0),
        };
        Replica {
            membership,
            broken: CancellationToken::new(),
            paused: watch::Sender::new(0),
            slowdown_permille: AtomicU32::new(NORMAL_SPEED),
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

    /// Whether another request would find the queue full.
    pub(super) fn full(&self) -> bool {
        let inner = self.lock();
        let slots = self.options.slots as usize;
        inner.running.len() >= slots && inner.waiting.len() >= self.options.queue as usize
    }

    /// Requests that the replica bears now.
    pub(super) fn bound(&self) -> u32 {
        let age = self.lock().started.elapsed();
        self.options.ramp().bound(age)
    }

    /// Time of one token now.
    pub(super) fn decode_time(&self) -> Duration {
        let others = self.lock().running.len().saturating_sub(1) as u32;
        let growth = 1000 + others * self.options.decode_growth_permille;
        self.slow(self.options.decode) * growth / 1000
    }

    /// Time to process a number of bytes of the prompt.
    pub(super) fn prefill_time(&self, bytes: usize) -> Duration {
        self.slow(self.options.prefill_per_byte) * bytes as u32
    }

    fn slow(&self, time: Duration) -> Duration {
        time * self.slowdown_permille.load(Ordering::Relaxed) / NORMAL_SPEED
    }

    /// The load as it was last sampled.
    pub(super) fn load(&self) -> host::Load {
        let inner = self.lock();
        let (running, queued, cache_permille) = inner.load;
        host::Load { running, queued, cache_permille, age: inner.sampled.elapsed() }
    }

    /// Uses the cache.
    pub(super) fn cache<T>(&self, using: impl FnOnce(&mut cache::Cache) -> T) -> T {
        using(&mut self.lock().cache)
    }
}

/// Mutation
impl Replica {
    /// Samples the load that is reported from now on.
    pub(super) fn sample(&self) {
        let mut inner = self.lock();
        let running = inner.running.len() as u32;
        let queued = inner.waiting.len() as u32;
        inner.load = (running, queued, inner.cache.used_permille());
        inner.sampled = Instant::now();
    }

    /// Sets how many times slower than normal the replica is.
    pub(super) fn set_slowdown(&self, factor: f64) {
        let permille = (factor * f64::from(NORMAL_SPEED)) as u32;
        self.slowdown_permille.store(permille, Ordering::Relaxed);
    }

    /// Registers a request so that it can be cancelled; several may have the same id.
    pub(super) fn register(&self, request: &str) -> Registration {
        let mut inner = self.lock();
        let number = inner.next_run;
        inner.next_run += 1;
        let cancel = CancellationToken::new();
        let registration = Registration { number, request: request.to_owned(), cancel };
        inner.registered.insert(number, registration.clone());
        registration
    }

    /// Ends the registration of a request.
    pub(super) fn unregister(&self, registration: &Registration) {
        self.lock().registered.remove(&registration.number);
    }

    /// Cancels all requests with an id; tells whether there was one.
    pub(super) fn cancel(&self, request: &str) -> bool {
        let inner = self.lock();
        let found: Vec<&Registration> =
            inner.registered.values().filter(|it| it.request == request).collect();
        found.iter().for_each(|it| it.cancel.cancel());
        !found.is_empty()
    }

    /// Waits for a place among the running requests and takes it.
    pub(super) async fn slot(self: &Arc<Self>, priority: i64) -> (Slot, Start) {
        let granted = {
            let mut inner = self.lock();
            if inner.running.len() < self.options.slots as usize {
                return self.start(&mut inner);
            }
            let (grant, granted) = oneshot::channel();
            let number = inner.next_run;
            inner.next_run += 1;
            inner.waiting.push(Waiting { priority, number, grant });
            granted
        };
        granted.await.expect("the replica that this borrows holds the sender until it grants")
    }

    fn start(self: &Arc<Self>, inner: &mut Inner) -> (Slot, Start) {
        let number = inner.next_run;
        inner.next_run += 1;
        let failed = CancellationToken::new();
        inner.running.insert(number, failed.clone());
        let in_flight = inner.running.len() as u32;
        let bound = self.options.ramp().bound(inner.started.elapsed());
        let overrun = in_flight > bound;
        let start = Start { in_flight, bound, cold: bound < self.options.slots, overrun };
        if overrun {
            inner.running.drain().for_each(|(_, it)| it.cancel());
            inner.started = Instant::now();
        }
        (Slot { replica: self.clone(), number, failed }, start)
    }
}

impl Inner {
    /// Takes the waiting request with the largest priority, the earliest among equals.
    fn pop(&mut self) -> Option<Waiting> {
        let rank = |it: &Waiting| (it.priority, std::cmp::Reverse(it.number));
        let index = (0..self.waiting.len()).max_by_key(|it| rank(&self.waiting[*it]))?;
        Some(self.waiting.swap_remove(index))
    }
}
