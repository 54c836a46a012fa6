//! Memory and connections that callers take of this node.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    eviction::{self, Candidate, Stage},
    share,
};
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::ingress::listener::Bounds;

/// Time between two events about the same shortage.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of responses that the kernel holds for a connection.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Interval at which a listener that waits for a place looks for connections to close.
const ROOM_INTERVAL: Duration = Duration::from_millis(100);

/// Largest request line, in bytes.
pub(crate) const REQUEST_LINE_BYTES: usize = 8 << 10;

/// Size of the buffer of a connection beside the largest request line and headers, in bytes: for blanks around values.
const BUFFER_MARGIN_BYTES: usize = 2 << 10;

/// Largest headers if the catalog limits none, in bytes.
const DEFAULT_HEADER_BYTES: usize = 32 << 10;

/// Returns the size of the buffer of a connection whose headers have up to `header_bytes` bytes.
pub(crate) fn buffer_bytes(header_bytes: Option<usize>) -> usize {
    let header_bytes = header_bytes.unwrap_or(DEFAULT_HEADER_BYTES).min(DEFAULT_HEADER_BYTES);
    header_bytes + REQUEST_LINE_BYTES + BUFFER_MARGIN_BYTES
}

/// A connection of a caller, which can be closed to make room.
#[derive(Debug)]
pub(crate) struct Connection {
    /// When the connection was accepted, since the node's start.
    accepted: Duration,
    /// Number of requests in flight.
    active: AtomicUsize,
    /// When the last request ended, or the connection was accepted, in milliseconds since the node's start.
    used_ms: AtomicU64,
    /// When the last request or refusal began, in milliseconds since the node's start.
    begun_ms: AtomicU64,
    /// Whether a part of the last request's body hasn't arrived.
    is_body_open: AtomicBool,
    /// Whether the rest of a refused request is read.
    is_refused: AtomicBool,
    /// Bytes of the last request's body that have arrived.
    received: AtomicU64,
    is_evicted: AtomicBool,
    /// Wakes the task that serves the connection when it is to be closed.
    pub(crate) eviction: Notify,
}

/// Memory of the requests and connections of callers.
pub(crate) struct Callers {
    /// Bytes that all requests together may take.
    capacity: usize,
    /// Bytes that requests take.
    used: AtomicUsize,
    /// Connections that may still be accepted.
    free: Arc<Semaphore>,
    max_connections: usize,
    connections: Mutex<Vec<Weak<Connection>>>,
    /// Requests that were refused for want of memory.
    refused: AtomicU64,
    /// Connections that were closed to make room.
    evicted: AtomicU64,
    events: Arc<Sink>,
    /// When the last event was written, in milliseconds since the node's start.
    event_ms: AtomicU64,
}

/// Memory that a request or a part of a response takes until the reservation is dropped.
pub(crate) struct Reservation {
    callers: Arc<Callers>,
    bytes: usize,
    /// Size of the request by which the memory that is left to smaller ones is found; `None` for its bytes.
    counted_as: Option<usize>,
}

/// Life cycle
impl Callers {
    pub(crate) fn new(memory_bytes: u64, descriptors: u64, events: Arc<Sink>) -> Callers {
        let max_connections = share::connections(memory_bytes, descriptors, buffer_bytes(None));
        Callers {
            capacity: share::request_bytes(memory_bytes),
            used: AtomicUsize::new(0),
            free: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            connections: Mutex::default(),
            refused: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            events,
            event_ms: AtomicU64::new(0),
        }
    }
}

/// Access
impl Callers {
    /// Returns what the kernel may hold for connections.
    pub(crate) fn listener_bounds(&self) -> Bounds {
        Bounds {
            backlog: share::waiting_connections(self.max_connections) as u32,
            receive_bytes: share::RECEIVE_BUFFER_BYTES as u32,
            send_bytes: SEND_BUFFER_BYTES,
        }
    }

    /// Returns the bytes that requests take.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.max_connections - self.free.available_permits()
    }

    /// Returns the numbers of requests that were refused and of connections that were closed to make room.
    pub(crate) fn turned_away(&self) -> (u64, u64) {
        (self.refused.load(Ordering::Relaxed), self.evicted.load(Ordering::Relaxed))
    }

    /// Returns whether memory or connections are so short that bodies which make no progress have to end.
    pub(crate) fn is_short(&self) -> bool {
        self.used() > self.capacity / 2 || self.free.available_permits() < self.spare()
    }

    /// Returns the number of connections that are kept free.
    fn spare(&self) -> usize {
        share::spare_connections(self.max_connections)
    }
}

/// Mutation
impl Callers {
    /// Waits until a further connection may be accepted. If few are left, connections without use are closed; if there is
    /// none such, the wait lasts until a request ends. `now` returns the time since the node's start.
    pub(crate) async fn admit(&self, now: impl Fn() -> Duration) -> OwnedSemaphorePermit {
        loop {
            self.make_room(now());
            let permit = Arc::clone(&self.free).acquire_owned();
            if let Ok(permit) = time::timeout(ROOM_INTERVAL, permit).await {
                return permit.expect("the semaphore is never closed");
            }
        }
    }

    /// Adds a connection, so that it can be closed to make room.
    pub(crate) fn add(&self, connection: &Arc<Connection>) {
        let mut connections = self.lock();
        connections.retain(|it| it.strong_count() > 0);
        connections.push(Arc::downgrade(connection));
    }

    /// Closes connections until enough are free, or will be when those that are being closed have ended.
    fn make_room(&self, now: Duration) {
        let wanted = self.spare().saturating_sub(self.free.available_permits());
        if wanted == 0 {
            return;
        }
        let connections: Vec<Arc<Connection>> =
            self.lock().iter().filter_map(Weak::upgrade).collect();
        let (evicted, open): (Vec<_>, Vec<_>) = connections.iter().partition(|it| it.is_evicted());
        let closing = evicted.iter().filter(|it| it.stage() != Stage::Serving).count();
        let candidates: Vec<Candidate> = open.iter().map(|it| it.candidate(now)).collect();
        let chosen = eviction::choose(&candidates, wanted.saturating_sub(closing));
        self.evicted.fetch_add(chosen.len() as u64, Ordering::Relaxed);
        for index in chosen {
            open[index].evict();
        }
        self.emit_shortage(now, "connections");
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn emit_shortage(&self, now: Duration, what: &str) {
        let now_ms = now.as_millis() as u64;
        let last_ms = self.event_ms.load(Ordering::Relaxed);
        if last_ms > 0 && now_ms < last_ms + EVENT_INTERVAL.as_millis() as u64 {
            return;
        }
        self.event_ms.store(now_ms.max(1), Ordering::Relaxed);
        let (refused, evicted) = self.turned_away();
        self.events.emit(Kind::CallersCrowded {
            what: what.to_owned(),
            connections: self.connections() as u64,
            max_connections: self.max_connections as u64,
            bytes: self.used() as u64,
            max_bytes: self.capacity as u64,
            refused,
            evicted,
        });
    }
}

/// Life cycle
impl Connection {
    /// Creates a connection that is accepted at `now`.
    pub(crate) fn new(now: Duration) -> Connection {
        Connection {
            accepted: now,
            active: AtomicUsize::new(0),
            used_ms: AtomicU64::new(now.as_millis() as u64),
            begun_ms: AtomicU64::new(0),
            is_body_open: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            received: AtomicU64::new(0),
            is_evicted: AtomicBool::new(false),
            eviction: Notify::new(),
        }
    }
}

/// Access
impl Connection {
    /// Returns the number of requests in flight.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns the time since the last request ended, or since the connection was accepted.
    pub(crate) fn unused_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.used_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the connection is to be closed to make room.
    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    /// Returns whether a part of the last request's body hasn't arrived.
    pub(crate) fn is_body_open(&self) -> bool {
        self.is_body_open.load(Ordering::Relaxed)
    }

    /// Returns what the connection is used for.
    fn stage(&self) -> Stage {
        if self.is_refused.load(Ordering::Relaxed) {
            Stage::Refused
        } else if self.active() == 0 {
            Stage::Idle
        } else if self.is_body_open() {
            Stage::Receiving
        } else {
            Stage::Serving
        }
    }

    fn candidate(&self, now: Duration) -> Candidate {
        let stage = self.stage();
        let begun = Duration::from_millis(self.begun_ms.load(Ordering::Relaxed));
        let age = match stage {
            Stage::Idle => self.unused_for(now),
            Stage::Receiving | Stage::Refused => now.saturating_sub(begun),
            Stage::Serving => now.saturating_sub(self.accepted),
        };
        Candidate { stage, age, received: self.received.load(Ordering::Relaxed) }
    }
}

/// Mutation
impl Connection {
    /// Records that a request begins.
    pub(crate) fn begin_request(&self, now: Duration) {
        self.begun_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.received.store(0, Ordering::Relaxed);
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the rest of a refused request is read, which counts as a request in flight.
    pub(crate) fn begin_refusal(&self, now: Duration) {
        self.begin_request(now);
        self.is_refused.store(true, Ordering::Relaxed);
    }

    /// Sets whether a part of the last request's body hasn't arrived.
    pub(crate) fn set_body_open(&self, is_open: bool) {
        self.is_body_open.store(is_open, Ordering::Relaxed);
    }

    /// Records that bytes of the last request's body have arrived.
    pub(crate) fn record_body_bytes(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that `count` requests have ended.
    pub(crate) fn end_requests(&self, now: Duration, count: usize) {
        self.used_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.active.fetch_sub(count, Ordering::Relaxed);
    }

    /// Marks the connection as one to be closed, and wakes its task.
    fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.eviction.notify_one();
    }
}

/// Life cycle
impl Reservation {
    /// Creates a reservation of nothing for a request.
    pub(crate) fn new(callers: Arc<Callers>) -> Reservation {
        Reservation { callers, bytes: 0, counted_as: None }
    }

    /// Creates a reservation of nothing for a part of a response, which can't take what is left to small requests.
    pub(crate) fn for_response(callers: Arc<Callers>) -> Reservation {
        Reservation { callers, bytes: 0, counted_as: Some(usize::MAX) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.callers.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Mutation
impl Reservation {
    /// Changes the reservation to `bytes`. Returns false, without a change, if there is no room for them.
    pub(crate) fn resize(&mut self, now: Duration, bytes: usize) -> bool {
        let size = self.counted_as.unwrap_or(bytes);
        let capacity = share::request_bytes_for(size, self.callers.capacity);
        let more = bytes.saturating_sub(self.bytes);
        let resized =
            self.callers.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                let next = used + bytes - self.bytes;
                (more == 0 || next <= capacity).then_some(next)
            });
        if resized.is_ok() {
            self.bytes = bytes;
        } else {
            self.callers.refused.fetch_add(1, Ordering::Relaxed);
            self.callers.emit_shortage(now, "requests");
        }
        resized.is_ok()
    }
}
