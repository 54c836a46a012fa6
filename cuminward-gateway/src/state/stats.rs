//! Load and health of one upstream, shared by all requests that use it.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cuminward_serving::{bucket::Bucket, progress};
use tokio::sync::Notify;

/// Time without progress after which a busy upstream counts as suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);

/// Shortest and longest time for which an upstream counts as suspect after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which an upstream gets no requests after its host said that it isn't the intended one. The
/// list of hosts is read within this time.
const MISDIRECTION_PAUSE: Duration = Duration::from_millis(1500);

/// Time for which an upstream counts as suspect after another node reported one of its members as lost.
const REPORTED_LOSS_BACKOFF: Duration = Duration::from_millis(1500);

/// Number of requests over which the time in flight is averaged.
const TURNOVER_REQUESTS: u32 = 8;

/// Load and health of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    /// Number of requests in flight from this node.
    in_flight: AtomicU32,
    /// Number of requests in flight from other nodes.
    remote_in_flight: AtomicU32,
    /// Mean time for which a request of this node is in flight, in milliseconds; 0 until one has ended.
    turnover_ms: AtomicU32,
    /// When the last event arrived from the upstream, or when it got a request while idle, in milliseconds
    /// since the node's start.
    progress_ms: AtomicU64,
    /// Longest recent pause between two parts of responses, in milliseconds.
    longest_pause_ms: AtomicU64,
    /// When a member of the upstream was last found lost, in milliseconds since the node's start; 0 if never.
    lost_ms: AtomicU64,
    /// When the upstream was last given up although its members answered, in milliseconds since the node's
    /// start; 0 if never.
    given_up_ms: AtomicU64,
    /// Until when the upstream counts as suspect after a failure, in milliseconds since the node's
    /// start.
    backoff_until_ms: AtomicU64,
    /// Until when the upstream gets no requests, since its host said that it isn't the intended one, in
    /// milliseconds since the node's start.
    excluded_until_ms: AtomicU64,
    /// Whether the members of the upstream are due for a health check.
    is_check_requested: AtomicBool,
    /// Number of failures since the last success.
    failures: AtomicU32,
    /// Until when the upstream is cold, in milliseconds since the node's start.
    cold_until_ms: AtomicU64,
    /// Rate limit of this node's requests while the upstream is cold.
    cold_bucket: Mutex<Bucket>,
    /// Wakes the requests in flight when the upstream stalls or is lost.
    pub(crate) interrupt: Notify,
}

/// Why the requests in flight at an upstream are interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// A member of the upstream doesn't answer.
    MemberLost,
    /// The members answer, but the upstream makes no progress.
    GivenUp,
}

/// Guard that counts a request as in flight until it is dropped.
pub(crate) struct InFlight {
    stats: Arc<Stats>,
    since: Instant,
}

/// Access
impl Stats {
    /// Returns the number of requests in flight from this node.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in flight from all nodes. The part of other nodes is as recent as
    /// their last digests.
    pub(crate) fn load(&self) -> u32 {
        self.in_flight() + self.remote_in_flight.load(Ordering::Relaxed)
    }

    /// Returns the mean time for which a request of this node is in flight; `None` until one has ended.
    pub(crate) fn turnover(&self) -> Option<Duration> {
        let millis = self.turnover_ms.load(Ordering::Relaxed);
        (millis > 0).then(|| Duration::from_millis(millis.into()))
    }

    /// Returns the time since the last event arrived, or since the upstream got a request while idle;
    /// `None` if no request is in flight.
    pub(crate) fn time_since_progress(&self, now: Duration) -> Option<Duration> {
        let progress = Duration::from_millis(self.progress_ms.load(Ordering::Relaxed));
        (self.in_flight() > 0).then(|| now.saturating_sub(progress))
    }

    /// Returns the time without progress after which the members are checked.
    pub(crate) fn check_after(&self) -> Duration {
        let longest = Duration::from_millis(self.longest_pause_ms.load(Ordering::Relaxed));
        progress::check_after(longest)
    }

    /// Returns why requests that are in flight since `since` are interrupted, if they are.
    pub(crate) fn interruption_since(&self, since: Duration) -> Option<Interruption> {
        let is_later = |it: &AtomicU64| it.load(Ordering::Relaxed) > since.as_millis() as u64;
        if is_later(&self.lost_ms) {
            Some(Interruption::MemberLost)
        } else {
            is_later(&self.given_up_ms).then_some(Interruption::GivenUp)
        }
    }

    /// Returns whether the upstream is suspect and should get requests only if no other one can take
    /// them: it makes no progress, or it failed a short time ago.
    pub(crate) fn is_suspect(&self, now: Duration) -> bool {
        self.time_since_progress(now).is_some_and(|it| it > SUSPECT_AFTER)
            || self.backoff_until_ms.load(Ordering::Relaxed) > now.as_millis() as u64
    }

    /// Returns whether the upstream gets no requests, since its host said that it isn't the intended one.
    pub(crate) fn is_excluded(&self, now: Duration) -> bool {
        self.excluded_until_ms.load(Ordering::Relaxed) > now.as_millis() as u64
    }

    /// Returns whether the upstream is cold, that is, still warming up after its start.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.cold_until_ms.load(Ordering::Relaxed) > now.as_millis() as u64
    }

    /// Returns whether this node may send a request to the cold upstream now. `rate` is its limit in
    /// requests per second.
    pub(crate) fn has_cold_permit(&self, now: Duration, rate: f64) -> bool {
        self.cold_bucket.lock().unwrap_or_else(PoisonError::into_inner).has_token(now, rate)
    }
}

/// Mutation
impl Stats {
    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Stats>, now: Duration) -> InFlight {
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            self.progress_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        }
        InFlight { stats: Arc::clone(self), since: Instant::now() }
    }

    /// Takes a permit to send a request to the cold upstream; false if none is left. `rate` is this
    /// node's limit in requests per second.
    pub(crate) fn acquire_cold_permit(&self, now: Duration, rate: f64) -> bool {
        self.cold_bucket.lock().unwrap_or_else(PoisonError::into_inner).try_take(now, rate)
    }

    /// Records that an event arrived from the upstream.
    pub(crate) fn record_progress(&self, now: Duration) {
        let last = self.progress_ms.swap(now.as_millis() as u64, Ordering::Relaxed);
        let pause = now.saturating_sub(Duration::from_millis(last));
        let recent = Duration::from_millis(self.longest_pause_ms.load(Ordering::Relaxed));
        let longest = progress::longest_pause(recent, pause);
        self.longest_pause_ms.store(longest.as_millis() as u64, Ordering::Relaxed);
    }

    /// Requests a health check of the members.
    pub(crate) fn request_health_check(&self) {
        self.is_check_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether a health check of the members was requested, and clears the mark.
    pub(crate) fn take_health_check_request(&self) -> bool {
        self.is_check_requested.swap(false, Ordering::Relaxed)
    }

    /// Records a complete response, which resets the backoff.
    pub(crate) fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Records a failure: the upstream counts as suspect for a time that doubles with each failure.
    pub(crate) fn record_failure(&self, now: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let backoff = (MIN_BACKOFF * 2_u32.pow(failures)).min(MAX_BACKOFF);
        let until = (now + backoff).as_millis() as u64;
        self.backoff_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Records that the host of the upstream said that it isn't the intended one, or doesn't take requests
    /// for its group any more. The upstream gets no requests until the host list has been read again.
    pub(crate) fn record_misdirection(&self, now: Duration) {
        let until = (now + MISDIRECTION_PAUSE).as_millis() as u64;
        self.excluded_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Records that another node reported a member of the upstream as lost: the upstream counts as suspect
    /// until the report expires or is repeated.
    pub(crate) fn record_reported_loss(&self, now: Duration) {
        let until = (now + REPORTED_LOSS_BACKOFF).as_millis() as u64;
        self.backoff_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Interrupts the requests in flight, since a member of the upstream doesn't answer.
    pub(crate) fn mark_lost(&self, now: Duration) {
        self.lost_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.interrupt.notify_waiters();
    }

    /// Interrupts the requests in flight, since the upstream makes no progress although its members answer.
    pub(crate) fn give_up(&self, now: Duration) {
        self.given_up_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.interrupt.notify_waiters();
    }

    /// Sets until when the upstream is cold, unless a later time is set already.
    pub(crate) fn set_cold_until(&self, until: Duration) {
        self.cold_until_ms.fetch_max(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records for how long a request of this node was in flight.
    fn record_turnover(&self, time: Duration) {
        let time = time.as_millis().clamp(1, u128::from(u32::MAX)) as u32;
        let mean = match self.turnover_ms.load(Ordering::Relaxed) {
            0 => time,
            mean => mean - mean / TURNOVER_REQUESTS + time / TURNOVER_REQUESTS,
        };
        self.turnover_ms.store(mean.max(1), Ordering::Relaxed);
    }

    /// Sets the number of requests in flight from other nodes.
    pub(crate) fn set_remote_in_flight(&self, count: u32) {
        self.remote_in_flight.store(count, Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.record_turnover(self.since.elapsed());
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
