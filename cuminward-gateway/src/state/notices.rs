//! What hosts say of themselves in their responses, for each start of a host.

use std::{
    fmt,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_derive::record;
use cuminward_event::kind::Kind;
use cuminward_serving::{
    leaving::Start,
    nodes::Standing,
    notice::{self, Change, Notice, Pause, Rate, Tracker},
};

use super::{
    State,
    routing::{self, Key},
};

/// Time for which the limit of a host is kept that no upstream uses, as its entry may come back.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a node tells the others that a limit began or ended, or that a host is leaving.
const NEWS_TIME: Duration = Duration::from_secs(6);

/// Largest number of limits, and of hosts that are leaving, of which a node tells the others at a time.
const MAX_REPORTS: usize = 64;

/// Time after a pause in which a host gets fewer requests.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two events about values of a host that can't be read.
const UNREADABLE_INTERVAL: Duration = Duration::from_secs(60);

/// What a node tells the others about the limit of a start of a host.
#[record]
pub(crate) struct Report {
    /// The host and its start.
    pub(crate) host: Key,
    /// Requests per second that the host takes from all nodes together; `None` if it names no limit any more.
    pub(crate) rate: Option<Rate>,
    /// Time since the node knew it, in milliseconds.
    pub(crate) age_ms: u64,
}

/// Returns the key of a start of a host, which is the same on all nodes.
pub(crate) fn key(host: &str, started_ms: u64) -> Key {
    routing::key(&format!("{host}/{started_ms}"))
}

/// What one start of a host says of itself. Requests to hosts without a limit take no lock.
#[derive(Debug)]
pub(crate) struct Host {
    start: Start,
    /// Whether this start of the host has responded, or the start before it named no limit.
    is_heard: AtomicBool,
    is_leaving: AtomicBool,
    /// Until when the host wants no requests from this node, in milliseconds since the node's start; 0 if it never asked
    /// for a pause.
    paused_until_ms: AtomicU64,
    /// Until when no event is written about values that can't be read, in milliseconds since the node's start.
    unreadable_until_ms: AtomicU64,
    is_limited: AtomicBool,
    /// When a request was last sent whose response named no limit, while none was known, in milliseconds since the
    /// node's start.
    unlimited_ms: AtomicU64,
    limit: Mutex<Limit>,
}

#[derive(Debug, Default)]
struct Limit {
    tracker: Tracker,
    /// This node's standing among those that share the limit; `None` as long as it isn't known.
    standing: Option<Standing>,
}

/// Life cycle
impl Host {
    /// Creates a start of a host that has said nothing yet. If the start before it named a limit, this node has at
    /// most one request in flight there until it responds.
    pub(crate) fn new(start: Start, was_limited: bool) -> Host {
        Host {
            start,
            is_heard: AtomicBool::new(!was_limited),
            is_leaving: AtomicBool::new(false),
            paused_until_ms: AtomicU64::new(0),
            unreadable_until_ms: AtomicU64::new(0),
            is_limited: AtomicBool::new(false),
            unlimited_ms: AtomicU64::new(0),
            limit: Mutex::default(),
        }
    }
}

/// Access
impl Host {
    /// Returns whether the host is leaving and gets no new requests.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the time for which the host still wants no requests from this node; zero if it takes some.
    pub(crate) fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until().saturating_sub(now)
    }

    /// Returns whether the host wants no requests from this node.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until()
    }

    /// Returns whether a pause of the host ended a short time ago.
    pub(crate) fn is_recovering(&self, now: Duration) -> bool {
        let until = self.paused_until();
        until > Duration::ZERO && now >= until && now < until + RECOVERY_TIME
    }

    /// Returns whether the host takes new requests of this node, as far as it has said so.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_paused(now)
    }

    fn paused_until(&self) -> Duration {
        Duration::from_millis(self.paused_until_ms.load(Ordering::Relaxed))
    }

    /// Returns whether the host names a limit, as far as this node knows.
    pub(crate) fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Relaxed)
    }

    /// Returns whether this start of the host has responded, or the start before it named no limit.
    pub(crate) fn is_heard(&self) -> bool {
        self.is_heard.load(Ordering::Relaxed)
    }

    /// Returns whether this is a start of a host which names a limit.
    pub(crate) fn is_limited_start_of(&self, host: &str) -> bool {
        self.start.host == host && self.is_limited()
    }

    /// Returns this node's part of the limit, in requests per second; 0 without a limit.
    pub(crate) fn share(&self) -> Rate {
        let limit = self.lock();
        limit.tracker.share(limit.standing)
    }

    /// Returns whether the host named a limit within [`RETENTION`].
    pub(crate) fn is_limited_lately(&self, now: Duration) -> bool {
        self.is_limited() && now < self.lock().tracker.known_at() + RETENTION
    }

    /// Returns the time until this node may send a request to the host: zero if it may now, `None` if it may not
    /// until it hears more.
    pub(crate) fn time_to_permit(&self, now: Duration) -> Option<Duration> {
        if !self.is_limited() {
            return Some(Duration::ZERO);
        }
        let limit = self.lock();
        limit.tracker.time_to_permit(now, limit.standing)
    }

    fn lock(&self) -> MutexGuard<'_, Limit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Host {
    /// Takes a permit to send a request to the host. Returns false if there is none now.
    pub(crate) fn try_take_permit(&self, now: Duration) -> bool {
        if !self.is_limited() {
            return true;
        }
        let mut limit = self.lock();
        let standing = limit.standing;
        limit.tracker.try_take_permit(now, standing)
    }

    /// Records that the host is leaving.
    pub(crate) fn mark_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Records that the host wants no requests from this node for a time. Returns whether it took some before.
    fn record_pause(&self, now: Duration, pause: Duration) -> bool {
        if pause.is_zero() {
            return false;
        }
        let was_paused = self.is_paused(now);
        let until = now.saturating_add(pause).as_millis();
        let until = u64::try_from(until).unwrap_or(u64::MAX);
        self.paused_until_ms.fetch_max(until, Ordering::Relaxed);
        !was_paused
    }

    /// Returns whether an event is due about a value that can't be read.
    fn take_unreadable_event(&self, now: Duration) -> bool {
        let (now_ms, next_ms) =
            (now.as_millis() as u64, (now + UNREADABLE_INTERVAL).as_millis() as u64);
        let until = self.unreadable_until_ms.load(Ordering::Relaxed);
        now_ms >= until && self.unreadable_until_ms.fetch_max(next_ms, Ordering::Relaxed) == until
    }

    /// Sets this node's standing among those that share the limit.
    pub(crate) fn set_standing(&self, standing: Option<Standing>) {
        self.lock().standing = standing;
    }

    /// Records what the response to a request that was sent at `sent_at` says about the limit.
    fn record_response(
        &self,
        now: Duration,
        sent_at: Duration,
        limit: Option<Rate>,
    ) -> Option<Change> {
        self.is_heard.store(true, Ordering::Relaxed);
        if limit.is_none() && !self.is_limited() {
            self.unlimited_ms.fetch_max(sent_at.as_millis() as u64, Ordering::Relaxed);
            return None;
        }
        self.update(|it| it.record_response(now, sent_at, limit))
    }

    /// Records what another node knew about the limit at the time `known_at`.
    fn record_report(
        &self,
        now: Duration,
        known_at: Duration,
        limit: Option<Rate>,
    ) -> Option<Change> {
        let unlimited_at = Duration::from_millis(self.unlimited_ms.load(Ordering::Relaxed));
        if known_at <= unlimited_at {
            return None;
        }
        self.update(|it| it.record_report(now, known_at, limit))
    }

    fn update(&self, change: impl FnOnce(&mut Tracker) -> Option<Change>) -> Option<Change> {
        let mut inner = self.lock();
        let change = change(&mut inner.tracker);
        self.is_limited.store(inner.tracker.rate().is_some(), Ordering::Relaxed);
        change
    }
}

/// Access
impl State {
    /// Returns the number of hosts that name a limit, as far as this node knows.
    pub(crate) fn limited_hosts(&self) -> usize {
        self.cluster().all_notices().filter(|(_, it)| it.is_limited()).count()
    }

    /// Returns the number of hosts that want no requests from this node now.
    pub(crate) fn paused_hosts(&self) -> usize {
        let now = self.now();
        self.cluster().all_notices().filter(|(_, it)| it.is_paused(now)).count()
    }

    /// Returns the number of pauses that hosts asked for and whose value couldn't be read.
    pub(crate) fn unreadable_pauses(&self) -> u64 {
        self.unreadable_pauses.load(Ordering::Relaxed)
    }

    /// Returns the number of hosts that are leaving, as far as this node knows.
    pub(crate) fn leaving_hosts(&self) -> usize {
        self.cluster().leaving_hosts().len()
    }

    /// Returns the starts of hosts of which this node tells the others that they are leaving.
    pub(crate) fn leaving_reports(&self) -> Vec<Start> {
        let now = self.now();
        self.cluster().leaving_hosts().news(now, NEWS_TIME).take(MAX_REPORTS).collect()
    }

    /// Returns what this node tells the others about the limits of hosts.
    pub(crate) fn limit_reports(&self) -> Vec<Report> {
        let now = self.now();
        let cluster = self.cluster();
        let reports = cluster.all_notices().filter_map(|(host, it)| {
            let limit = it.lock();
            let (rate, known_at) = limit.tracker.news(now, NEWS_TIME, limit.standing)?;
            let age_ms = now.saturating_sub(known_at).as_millis() as u64;
            Some(Report { host, rate, age_ms })
        });
        reports.take(MAX_REPORTS).collect()
    }
}

/// Mutation
impl State {
    /// Records what the response of a host to a request that was sent at `sent_at` says of the host. It ends a limit
    /// by naming none only if `may_end_limit`.
    pub(crate) fn record_notice(
        &self,
        host: &Host,
        sent_at: Duration,
        notice: Notice,
        may_end_limit: bool,
    ) {
        if notice.is_leaving && !host.is_leaving() {
            host.mark_leaving();
            self.record_leaving(&host.start, Source::Response);
        }
        if let Some(pause) = notice.pause {
            self.record_pause(host, pause);
        }
        if notice.limit.is_some() || may_end_limit && !notice.is_limit_unreadable {
            let change = host.record_response(self.now(), sent_at, notice.limit);
            self.apply_limit_change(host, change, Source::Response);
        }
    }

    fn record_pause(&self, host: &Host, pause: Pause) {
        let now = self.now();
        let id = || host.start.host.clone();
        match pause {
            Pause::For(time) if host.record_pause(now, time) => {
                let pause_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                let start = host.start.started_ms;
                self.events.emit(Kind::HostPaused { host: id(), start, pause_ms });
            }
            Pause::For(_) => {}
            Pause::Unreadable => {
                self.unreadable_pauses.fetch_add(1, Ordering::Relaxed);
                if host.take_unreadable_event(now) {
                    self.events.emit(Kind::PauseUnreadable { host: id() });
                }
            }
        }
    }

    /// Records what another node tells about hosts that are leaving.
    pub(crate) fn apply_leaving_reports(&self, reports: &[Start]) {
        reports.iter().for_each(|it| self.record_leaving(it, Source::Node));
    }

    fn record_leaving(&self, start: &Start, source: Source) {
        if !self.cluster().mark_leaving(self.now(), start) {
            return;
        }
        if source == Source::Response {
            self.has_host_news.store(true, Ordering::Relaxed);
            self.request_broadcast();
        }
        let (host, source) = (start.host.clone(), source.to_string());
        self.events.emit(Kind::HostLeaving { host, start: start.started_ms, source });
        self.publish();
    }

    /// Records what another node tells about the limits of hosts.
    pub(crate) fn apply_limit_reports(&self, reports: &[Report]) {
        let now = self.now();
        for it in reports {
            let Some(host) = self.cluster().notices_of(it.host) else { continue };
            let known_at = now.saturating_sub(Duration::from_millis(it.age_ms));
            let change = host.record_report(now, known_at, it.rate);
            self.apply_limit_change(&host, change, Source::Node);
        }
    }

    fn apply_limit_change(&self, host: &Host, change: Option<Change>, source: Source) {
        let Some(change) = change else { return };
        self.has_host_news.fetch_or(source == Source::Response, Ordering::Relaxed);
        let source = source.to_string();
        match change {
            Change::Named(rate) => {
                let standing = self.cluster().nodes.standing(routing::key(&host.start.host));
                host.set_standing(standing);
                self.events.emit(Kind::LimitNamed {
                    host: host.start.host.clone(),
                    rate: per_minute(rate),
                    share: per_minute(notice::limit(rate).share(standing)),
                    source,
                });
            }
            Change::Ended => {
                self.events.emit(Kind::LimitEnded { host: host.start.host.clone(), source });
                self.capacity_changed.notify_one();
            }
        }
    }

    /// Returns whether this node has found since the last call that a limit of a host began or ended, or that a host is
    /// leaving.
    pub(crate) fn take_host_news(&self) -> bool {
        self.has_host_news.swap(false, Ordering::Relaxed)
    }
}

/// How a node learnt what a host says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From a response of the host.
    Response,
    /// From another node.
    Node,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Response => "response",
            Source::Node => "node",
        })
    }
}

/// Returns a rate in requests per minute.
fn per_minute(rate: Rate) -> u64 {
    (rate * 60.0).round() as u64
}
