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

/// Activity of a connection.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Requests in flight.
    active: AtomicUsize,
    /// When the last request ended, or the connection was accepted, in milliseconds since the node's start.
    used_ms: AtomicU64,
    /// Whether the caller has closed its side of the connection.
    is_ended: AtomicBool,
    /// Id of the last request.
    request: ArcSwapOption<id::Request>,
}

/// Life cycle
impl Activity {
    /// Creates the activity of a connection that was accepted at `now`.
    pub(super) fn new(now: Duration) -> Activity {
        let activity = Activity::default();
        activity.used_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        activity
    }
}

/// Access
impl Activity {
    /// Returns the number of requests in flight.
    pub(super) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns the time since the last request ended, or since the connection was accepted.
    pub(super) fn unused_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.used_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the caller has closed its side of the connection.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
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
        self.active.fetch_add(1, Ordering::Relaxed);
        self.request.store(id.map(Arc::new));
    }

    /// Records that a request ended at `now`.
    pub(super) fn end_request(&self, now: Duration) {
        self.used_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.active.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the caller has closed its side of the connection.
    pub(super) fn record_end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}
