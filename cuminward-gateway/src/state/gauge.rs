//! Counts of one upstream, shared by the requests that it serves.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_serving::cold::Bucket;
use tokio::sync::Notify;

/// Time without progress after which a busy upstream gets no new requests if others can take them.
const DOUBT_AFTER: Duration = Duration::from_millis(350);

/// Shortest and longest time for which an upstream that failed gets no requests if others can.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Counts of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    in_flight: AtomicU32,
    /// Requests in flight from other nodes.
    others: AtomicU32,
    /// When something last arrived from it, in milliseconds since the node's start.
    progress_ms: AtomicU64,
    /// When it was last found to be lost, in milliseconds since the node's start; 0 if never.
    lost_ms: AtomicU64,
    /// Until when it gets no requests if others can take them, in milliseconds since the start.
    paused_until_ms: AtomicU64,
    /// Whether its members should be asked whether they live.
    is_suspect: AtomicBool,
    /// Failures since the last success.
    failures: AtomicU32,
    /// Until when it is cold, in milliseconds since the node's start.
    cold_until_ms: AtomicU64,
    allowance: Mutex<Bucket>,
    /// Wakes the requests at the upstream when it stalls or is lost.
    pub(crate) alarm: Notify,
}

/// A request in flight.
pub(crate) struct Flight {
    gauge: Arc<Gauge>,
}

/// Access
impl Gauge {
    /// Requests in flight from this node.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests in flight from all nodes.
    pub(crate) fn load(&self) -> u32 {
        self.in_flight() + self.others.load(Ordering::Relaxed)
    }

    /// Time since something last arrived, if requests are in flight.
    pub(crate) fn silence(&self, now: Duration) -> Option<Duration> {
        let progress = Duration::from_millis(self.progress_ms.load(Ordering::Relaxed));
        (self.in_flight() > 0).then(|| now.saturating_sub(progress))
    }

    /// Tells whether the upstream was lost after a moment.
    pub(crate) fn is_lost_since(&self, since: Duration) -> bool {
        self.lost_ms.load(Ordering::Relaxed) > since.as_millis() as u64
    }

    /// Tells whether requests should rather go elsewhere.
    pub(crate) fn is_doubtful(&self, now: Duration) -> bool {
        self.silence(now).is_some_and(|it| it > DOUBT_AFTER)
            || self.paused_until_ms.load(Ordering::Relaxed) > now.as_millis() as u64
    }

    /// Tells whether the upstream is cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.cold_until_ms.load(Ordering::Relaxed) > now.as_millis() as u64
    }

    /// Tells whether a cold upstream may get a request from this node now.
    pub(crate) fn is_allowed(&self, now: Duration, rate: f64) -> bool {
        self.allowance.lock().unwrap_or_else(PoisonError::into_inner).has_token(now, rate)
    }
}

/// Mutation
impl Gauge {
    /// Counts a request until the flight is dropped.
    pub(crate) fn enter(self: &Arc<Gauge>, now: Duration) -> Flight {
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            self.note_progress(now);
        }
        Flight { gauge: Arc::clone(self) }
    }

    /// Takes a request of this node's part of what a cold upstream bears.
    pub(crate) fn take_allowance(&self, now: Duration, rate: f64) -> bool {
        self.allowance.lock().unwrap_or_else(PoisonError::into_inner).try_take(now, rate)
    }

    /// Notes that something arrived.
    pub(crate) fn note_progress(&self, now: Duration) {
        self.progress_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes that its members should be asked whether they live.
    pub(crate) fn note_suspicion(&self) {
        self.is_suspect.store(true, Ordering::Relaxed);
    }

    /// Tells whether its members should be asked; true once for each suspicion.
    pub(crate) fn take_suspicion(&self) -> bool {
        self.is_suspect.swap(false, Ordering::Relaxed)
    }

    /// Notes an answer that was complete.
    pub(crate) fn note_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Notes a failure: the upstream is spared for a time that doubles with each one.
    pub(crate) fn note_failure(&self, now: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let pause = (MIN_PAUSE * 2_u32.pow(failures)).min(MAX_PAUSE);
        let until = (now + pause).as_millis() as u64;
        self.paused_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Notes that the upstream is lost; its requests are woken.
    pub(crate) fn note_loss(&self, now: Duration) {
        self.lost_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.alarm.notify_waiters();
    }

    /// Notes until when the upstream is cold.
    pub(crate) fn set_cold(&self, until: Duration) {
        self.cold_until_ms.fetch_max(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets the requests in flight from other nodes.
    pub(crate) fn set_others(&self, count: u32) {
        self.others.store(count, Ordering::Relaxed);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
