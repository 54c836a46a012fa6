//! Activity of a caller's connection, shared by its socket and its requests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use cuminward_serving::id;

use crate::state::{State, callers};

/// Activity of a connection.
pub(super) struct Activity {
    state: Arc<State>,
    /// Requests in flight, those whose response isn't sent yet, and when the last one ended.
    connection: Arc<callers::Connection>,
    /// Requests of these whose response is in the buffer for sending, or abandoned.
    answered: AtomicUsize,
    /// Since when bytes of the next request have arrived, in milliseconds since the node's start; 0 if none have.
    receiving_ms: AtomicU64,
    /// Since when the caller has read nothing of what waits for it, in milliseconds since the node's start; 0 if nothing
    /// waits.
    unread_ms: AtomicU64,
    /// Whether the caller has closed its side of the connection.
    is_ended: AtomicBool,
    /// Id of the last request.
    request: ArcSwapOption<id::Request>,
}

/// Life cycle
impl Activity {
    /// Creates the activity of a connection that is accepted now.
    pub(super) fn new(state: Arc<State>) -> Activity {
        Activity {
            connection: Arc::new(callers::Connection::new(state.now())),
            state,
            answered: AtomicUsize::new(0),
            receiving_ms: AtomicU64::new(0),
            unread_ms: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
            request: ArcSwapOption::empty(),
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.end_requests(self.active());
    }
}

/// Access
impl Activity {
    /// Returns the number of requests in flight.
    pub(super) fn active(&self) -> usize {
        self.connection.active()
    }

    /// Returns what tells whether the connection is to be closed to make room.
    pub(super) fn connection(&self) -> &Arc<callers::Connection> {
        &self.connection
    }

    /// Returns the time since the last request ended, or since the connection was accepted.
    pub(super) fn unused_for(&self) -> Duration {
        self.connection.unused_for(self.state.now())
    }

    /// Returns the time since bytes of the next request began to arrive; `None` if none have.
    pub(super) fn receiving_for(&self) -> Option<Duration> {
        let since = Duration::from_millis(self.receiving_ms.load(Ordering::Relaxed));
        (since > Duration::ZERO).then(|| self.state.now().saturating_sub(since))
    }

    /// Returns for how long the caller has read nothing of what waits for it; `None` if nothing waits.
    pub(super) fn unread_for(&self) -> Option<Duration> {
        let since = Duration::from_millis(self.unread_ms.load(Ordering::Relaxed));
        (since > Duration::ZERO).then(|| self.state.now().saturating_sub(since))
    }

    /// Returns whether the caller has closed its side of the connection.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is needed soon: the node is being stopped, or callers crowd it.
    pub(super) fn is_wanted_back(&self) -> bool {
        self.state.stopping_for().is_some() || self.is_crowded()
    }

    /// Returns whether connections are needed for other callers.
    pub(super) fn is_crowded(&self) -> bool {
        self.state.callers.is_short()
    }

    /// Returns the id of the last request, if it had one.
    pub(super) fn request(&self) -> Option<Arc<id::Request>> {
        self.request.load_full()
    }
}

/// Mutation
impl Activity {
    /// Records that a request begins, with its id.
    pub(super) fn begin_request(&self, id: Option<id::Request>) {
        self.connection.begin_request(self.state.now());
        self.state.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        self.reset_receiving();
        self.request.store(id.map(Arc::new));
    }

    /// Records that bytes have arrived. Between requests, they belong to the next one.
    pub(super) fn record_bytes(&self) {
        if self.active() == 0 && self.receiving_ms.load(Ordering::Relaxed) == 0 {
            let now = self.state.now().as_millis().max(1) as u64;
            self.receiving_ms.store(now, Ordering::Relaxed);
        }
    }

    /// Records whether bytes wait for the caller to read.
    pub(super) fn record_unread(&self, is_unread: bool) {
        if !is_unread {
            self.unread_ms.store(0, Ordering::Relaxed);
        } else if self.unread_ms.load(Ordering::Relaxed) == 0 {
            let now = self.state.now().as_millis().max(1) as u64;
            self.unread_ms.store(now, Ordering::Relaxed);
        }
    }

    /// Records that no bytes of the next request have arrived.
    pub(super) fn reset_receiving(&self) {
        self.receiving_ms.store(0, Ordering::Relaxed);
    }

    /// Records that the rest of a refused request is being read, which counts as a request in flight until the
    /// connection ends.
    pub(super) fn begin_drain(&self) {
        self.connection.begin_refusal(self.state.now());
        self.state.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the response of a request is in the buffer for sending, or abandoned.
    pub(super) fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the buffer for sending is empty: the requests that were answered are no longer in flight.
    pub(super) fn record_flush(&self) {
        let answered = self.answered.swap(0, Ordering::Relaxed);
        if answered > 0 {
            self.end_requests(answered);
        }
    }

    fn end_requests(&self, count: usize) {
        self.connection.end_requests(self.state.now(), count);
        self.state.requests_in_flight.fetch_sub(count, Ordering::Relaxed);
    }

    /// Records that the caller has closed its side of the connection.
    pub(super) fn record_end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}
