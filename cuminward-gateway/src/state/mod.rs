//! State that all tasks of a gateway node share.

pub(crate) mod admission;
pub(crate) mod callers;
pub(crate) mod cluster;
pub(crate) mod declarations;
pub(crate) mod election;
pub(crate) mod notices;
pub(crate) mod quarantine;
pub(crate) mod routing;
pub(crate) mod stats;

use std::{
    collections::{BTreeMap, HashMap},
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use cuminward_adapter::store;
use cuminward_core::hlc;
use cuminward_event::{kind::Kind, line, sink::Sink};
use cuminward_serving::{id, progress, quarantine::Subject, retry, slowdown};
use cuminward_upstream::pool;
use http_body_util::Full;
use tokio::sync::Notify;

use crate::{
    peer::loan::{self, Grant},
    settings::Settings,
    tunnel::{dialer::Dialer, paths::Paths},
};

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a call to the store, in addition to the time for which the call asks the store to wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time between two parts of a response. Replicas are also health-checked, which
/// detects a stall earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of recent events that are kept in memory.
const EVENT_CAPACITY: usize = 64;

/// Longest time for which an idle connection to an upstream stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two probes of a lost or slow host, by a steward and by other nodes.
const STEWARD_PROBE_INTERVAL: Duration = Duration::from_millis(400);
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Shared state of a node.
pub(crate) struct State {
    /// Settings with which the node started.
    pub(crate) settings: Settings,
    /// Settings as they were read last.
    current_settings: ArcSwap<Settings>,
    started: Instant,
    /// Records events and writes them to the standard output.
    pub(crate) events: Arc<Sink>,
    /// Routing snapshot that requests read.
    pub(crate) routing: ArcSwap<routing::Snapshot>,
    /// Declarations and hosts, as the control tasks maintain them.
    cluster: Mutex<cluster::Cluster>,
    /// Connection pool of the upstreams.
    pub(crate) upstreams: pool::Pool<Full<Bytes>, Dialer>,
    /// Paths to hosts.
    pub(crate) paths: Arc<Paths>,
    pub(crate) store: store::Client,
    /// This node's role in the election of stewards.
    pub(crate) election: election::Election,
    /// What crashing requests have in common.
    pub(crate) quarantine: quarantine::Quarantine,
    /// Number of nodes that were heard lately, by their build; 0 for builds that were heard before.
    builds: ArcSwap<BTreeMap<String, usize>>,
    /// Number of datagrams of other nodes that couldn't be decoded.
    unreadable: AtomicU64,
    /// Number of pauses that hosts asked for and whose value couldn't be read.
    unreadable_pauses: AtomicU64,
    /// Nodes that lend retries to this one.
    pub(crate) lenders: loan::Lenders,
    /// Requests and retries of this node, by service.
    retry_budgets: Mutex<HashMap<id::Service, retry::Budget>>,
    /// Number of nodes in the list of all nodes, this one included.
    node_count: AtomicUsize,
    /// Number of nodes among which limits on all nodes together are divided; 0 until the list of all nodes
    /// was read.
    sharing_nodes: AtomicUsize,
    /// When the node began to stop, in milliseconds since its start; 0 if it isn't stopping.
    stop_began_ms: AtomicU64,
    /// Wakes the election task when the node begins to stop.
    pub(crate) stop_requested: Notify,
    /// Whether callers may have sent requests, to any node, since the system first started.
    has_traffic: AtomicBool,
    /// Number of requests of callers in flight.
    pub(crate) requests_in_flight: AtomicUsize,
    /// Memory and connections that callers take.
    pub(crate) callers: Arc<callers::Callers>,
    /// Number of tunnels of other nodes that pass through this one.
    pub(crate) tunnels: AtomicUsize,
    /// Admission queues: requests that wait for an upstream.
    pub(crate) admission: admission::Queues,
    /// Wakes the task that assigns upstreams to waiting requests.
    pub(crate) capacity_changed: Notify,
    /// Wakes the task that sends digests to other nodes.
    pub(crate) snapshot_changed: Notify,
    /// When the last successful read of the host list began, in milliseconds since the node's start; 0
    /// if none succeeded.
    host_list_read_ms: AtomicU64,
    /// Whether this node has found since the last digest that a limit of a host began or ended, or that a host is
    /// leaving.
    has_host_news: AtomicBool,
    /// Whether the next digest goes to all other nodes at once.
    is_broadcast_requested: AtomicBool,
    /// Mean time from sending a request with a streamed response to its first event, in milliseconds.
    first_event_ms: AtomicU64,
    /// Time between two reports of another node on its load, in milliseconds; 0 if each round of digests reaches all.
    report_period_ms: AtomicU64,
}

/// Life cycle
impl State {
    /// Creates the state of a node that has read nothing from the store yet.
    ///
    /// # Errors
    ///
    /// Fails if the thread that writes events can't be started.
    pub(crate) fn new(settings: Settings) -> io::Result<State> {
        let clock = Arc::new(hlc::Clock::default());
        let node = settings.node.name.clone();
        let output = line::Writer::stdout()?;
        let events = Arc::new(Sink::with_output(node.clone(), clock, EVENT_CAPACITY, output));
        let store = store::Client::new(settings.store.address.to_string(), STORE_TIMEOUT);
        let options = pool::Options {
            connect_timeout: CONNECT_TIMEOUT,
            read_timeout: READ_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            ..pool::Options::default()
        };
        let has_traffic = AtomicBool::new(!settings.node.is_first_start);
        let cluster =
            Mutex::new(cluster::Cluster::new(node, settings.cold.clone(), Arc::clone(&events)));
        let machine = &settings.machine;
        let (memory, descriptors) = (machine.memory_bytes(), machine.descriptors());
        let callers = callers::Callers::new(memory, descriptors, Arc::clone(&events));
        let started = Instant::now();
        let paths = Arc::new(Paths::new(started, Arc::clone(&events)));
        Ok(State {
            events,
            current_settings: ArcSwap::from_pointee(settings.clone()),
            settings,
            has_traffic,
            started,
            routing: ArcSwap::from_pointee(routing::Snapshot::default()),
            cluster,
            upstreams: pool::Pool::with_connector(options, Dialer::new(Arc::clone(&paths))),
            paths,
            store,
            election: election::Election::default(),
            quarantine: quarantine::Quarantine::new(),
            builds: ArcSwap::default(),
            unreadable: AtomicU64::new(0),
            unreadable_pauses: AtomicU64::new(0),
            lenders: loan::Lenders::default(),
            retry_budgets: Mutex::default(),
            node_count: AtomicUsize::new(1),
            sharing_nodes: AtomicUsize::new(0),
            stop_began_ms: AtomicU64::new(0),
            stop_requested: Notify::new(),
            requests_in_flight: AtomicUsize::new(0),
            callers: Arc::new(callers),
            tunnels: AtomicUsize::new(0),
            admission: admission::Queues::default(),
            capacity_changed: Notify::new(),
            snapshot_changed: Notify::new(),
            host_list_read_ms: AtomicU64::new(0),
            has_host_news: AtomicBool::new(false),
            is_broadcast_requested: AtomicBool::new(false),
            first_event_ms: AtomicU64::new(0),
            report_period_ms: AtomicU64::new(0),
        })
    }
}

/// Access
impl State {
    /// Returns the time since the node's start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the settings as they were read last.
    pub(crate) fn current_settings(&self) -> arc_swap::Guard<Arc<Settings>> {
        self.current_settings.load()
    }

    /// Returns whether the node can serve requests: it has a catalog and isn't stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routing.load().catalog.is_some()
    }

    /// Returns whether the node is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_began_ms.load(Ordering::Relaxed) > 0
    }

    /// Returns the time since the node began to stop; `None` if it isn't stopping.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        let since = Duration::from_millis(self.stop_began_ms.load(Ordering::Relaxed));
        (since > Duration::ZERO).then(|| self.now().saturating_sub(since))
    }

    /// Returns whether callers may have sent requests, to any node, since the system first started.
    pub(crate) fn has_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    /// Returns the number of nodes that were heard lately, by their build.
    pub(crate) fn builds(&self) -> Arc<BTreeMap<String, usize>> {
        self.builds.load_full()
    }

    /// Returns the number of datagrams of other nodes that couldn't be decoded.
    pub(crate) fn unreadable(&self) -> u64 {
        self.unreadable.load(Ordering::Relaxed)
    }

    /// Returns the number of known nodes, this one included.
    pub(crate) fn node_count(&self) -> usize {
        self.node_count.load(Ordering::Relaxed)
    }

    /// Returns the mean time from sending a request with a streamed response to its first event.
    pub(crate) fn mean_first_event(&self) -> Duration {
        Duration::from_millis(self.first_event_ms.load(Ordering::Relaxed))
    }

    /// Returns the time between two reports of another node on its load; zero if each round of digests reaches all.
    pub(crate) fn report_period(&self) -> Duration {
        Duration::from_millis(self.report_period_ms.load(Ordering::Relaxed))
    }

    /// Returns the interval at which this node probes a lost or slow host.
    pub(crate) fn probe_interval(&self) -> Duration {
        if self.election.is_steward() { STEWARD_PROBE_INTERVAL } else { PROBE_INTERVAL }
    }

    /// Returns when the last successful read of the host list began, since the node's start; zero if
    /// none succeeded.
    pub(crate) fn host_list_read_at(&self) -> Duration {
        Duration::from_millis(self.host_list_read_ms.load(Ordering::Relaxed))
    }

    /// Locks and returns the declarations and hosts.
    pub(crate) fn cluster(&self) -> MutexGuard<'_, cluster::Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a retry of a request for a service is allowed now, or another node may lend one.
    pub(crate) fn has_retry(&self, service: &str) -> bool {
        let (now, limit) = (self.now(), self.retry_limit());
        self.retry_budgets().get(service).is_some_and(|it| it.has_retry(now, &limit))
            || self.may_borrow(now, &limit) && self.lenders.may_lend(now, service)
    }

    /// Returns whether this node borrows retries: it doesn't know yet which ones its earlier process made.
    fn may_borrow(&self, now: Duration, limit: &retry::Limit) -> bool {
        !self.settings.node.is_first_start && now < limit.window
    }

    /// Returns whether the node has its part of the limits on all nodes together.
    pub(crate) fn is_sharing(&self) -> bool {
        self.sharing_nodes.load(Ordering::Relaxed) > 0
    }

    /// Returns this node's limit on retries.
    fn retry_limit(&self) -> retry::Limit {
        let settings = &self.current_settings().retry;
        let nodes = self.sharing_nodes.load(Ordering::Relaxed);
        let reserve = if nodes > 0 { settings.reserve / nodes as f64 } else { 0.0 };
        retry::Limit { ratio: settings.ratio, reserve, window: settings.window() }
    }

    fn retry_budgets(&self) -> MutexGuard<'_, HashMap<id::Service, retry::Budget>> {
        self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl State {
    /// Replaces the current settings. Settings that are used only at the start keep their old values.
    pub(crate) fn reload(&self, settings: Settings) {
        self.cluster().cold = settings.cold.clone();
        self.current_settings.store(Arc::new(settings));
    }

    /// Marks the node as stopping, so that it is no longer ready, and wakes the election task so that it resigns.
    pub(crate) fn begin_stop(&self) {
        self.stop_began_ms.store(self.now().as_millis().max(1) as u64, Ordering::Relaxed);
        self.stop_requested.notify_one();
    }

    /// Sets the number of nodes that were heard lately, by their build.
    pub(crate) fn set_builds(&self, mut counts: BTreeMap<String, usize>) {
        for build in self.builds.load().keys() {
            counts.entry(build.clone()).or_default();
        }
        self.builds.store(Arc::new(counts));
    }

    /// Counts a datagram of another node that couldn't be decoded.
    pub(crate) fn count_unreadable(&self) {
        self.unreadable.fetch_add(1, Ordering::Relaxed);
    }

    /// Records when a successful read of the host list began.
    pub(crate) fn record_host_list_read(&self, started: Duration) {
        self.host_list_read_ms.store(started.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that a caller sent a request, to this node or another one.
    pub(crate) fn record_traffic(&self) {
        self.has_traffic.store(true, Ordering::Relaxed);
    }

    /// Adds nodes to the list of all nodes, which contains all that have registered if `is_complete`.
    /// If the list changes, limits on all nodes together are divided again.
    pub(crate) fn add_nodes<'a>(
        &self,
        names: impl IntoIterator<Item = &'a str>,
        is_complete: bool,
    ) {
        let mut cluster = self.cluster();
        let mut is_changed = false;
        for name in names {
            is_changed |= cluster.nodes.add(name);
        }
        is_changed |= is_complete && cluster.nodes.set_complete();
        let count = cluster.nodes.len();
        let sharing = if cluster.nodes.is_complete() { count } else { 0 };
        drop(cluster);
        self.node_count.store(count, Ordering::Relaxed);
        self.sharing_nodes.store(sharing, Ordering::Relaxed);
        if is_changed {
            self.publish();
        }
    }

    /// Counts a request for a service, which allows a part of a retry.
    pub(crate) fn record_request(&self, service: &str) {
        let (now, limit) = (self.now(), self.retry_limit());
        self.with_budget(service, |it| it.record_request(now, &limit));
    }

    /// Counts a retry of a request for a service if one is allowed now, or borrows one. Returns `None` if neither is
    /// possible.
    pub(crate) async fn try_retry(&self, service: &str) -> Option<Grant> {
        let (now, limit) = (self.now(), self.retry_limit());
        if self.with_budget(service, |it| it.try_retry(now, &limit)) {
            return Some(Grant::Own(now));
        }
        let is_lent = self.may_borrow(now, &limit) && self.lenders.borrow(now, service).await;
        is_lent.then_some(Grant::Lent(now))
    }

    /// Counts a retry that another node makes if one is allowed now. Returns whether it is.
    pub(crate) fn lend_retry(&self, service: &str) -> bool {
        let (now, limit) = (self.now(), self.retry_limit());
        self.with_budget(service, |it| it.lend(now, &limit))
    }

    /// Records that a retry is sent now. Returns false if it may not: it was lent too long ago, and no node lends
    /// another one.
    pub(crate) async fn record_retry_sent(&self, service: &str, grant: Grant) -> bool {
        let (now, limit) = (self.now(), self.retry_limit());
        match grant {
            Grant::Own(at) => {
                self.with_budget(service, |it| it.record_sending(at, now, &limit));
                true
            }
            Grant::Lent(at) if now < at + limit.loan_time() => true,
            Grant::Lent(_) => self.try_retry(service).await.is_some(),
        }
    }

    /// Applies `change` to the retry budget of a service.
    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let mut budgets = self.retry_budgets();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let is_first = self.settings.node.is_first_start;
        let budget = if is_first { retry::Budget::first() } else { retry::Budget::default() };
        change(budgets.entry(service.to_owned()).or_insert(budget))
    }

    /// Marks a host as lost because it doesn't answer, or refuses connections. Its replica gets no more requests, and requests
    /// in flight at that replica are interrupted.
    pub(crate) fn mark_host_lost(&self, host: &str, is_refusal: bool, cause: &str) {
        let now = self.now();
        let snapshot = self.routing.load();
        let replica =
            snapshot.including_retired().find(|it| it.is_replica() && it.has_member(host));
        let mut cluster = self.cluster();
        let is_newly_lost = cluster.mark_lost(now, host, is_refusal, self.probe_interval());
        let is_first_report = !cluster.is_reported_lost(now, host);
        drop(cluster);
        if is_newly_lost {
            let (host, cause) = (host.to_owned(), cause.to_owned());
            let replica = replica.map(|it| it.name.clone()).unwrap_or_default();
            let others = if is_first_report { "unreported" } else { "reported" }.to_owned();
            self.events.emit(Kind::HostUnreachable { host, replica, cause, others });
            self.is_broadcast_requested.fetch_or(is_first_report, Ordering::Relaxed);
            self.publish();
        }
        if let Some(replica) = replica {
            replica.stats.mark_lost(now);
        }
    }

    /// Records the time from sending a request to its first event, or until it moved without one.
    pub(crate) fn record_first_event(&self, time: Duration) {
        let mean = progress::mean_first_event(self.mean_first_event(), time);
        self.first_event_ms.store(mean.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets the time between two reports of another node on its load.
    pub(crate) fn set_report_period(&self, period: Duration) {
        self.report_period_ms.store(period.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that a request with these subjects was in flight at a crash.
    pub(crate) fn record_crash(&self, at: Duration, request: &[Subject], crash: id::Crash) {
        if self.quarantine.record_crash(at, request, crash) {
            self.request_broadcast();
            self.update_quarantine();
        }
    }

    /// Decides anew which requests may be sent to hosts, after crashes or responses.
    pub(crate) fn update_quarantine(&self) {
        for change in self.quarantine.update(self.now()) {
            self.events.emit(match change {
                quarantine::Change::Began { subject, companions, crashes } => {
                    let companions: Vec<String> =
                        companions.iter().map(ToString::to_string).collect();
                    Kind::QuarantineBegan {
                        subject: subject.to_string(),
                        companions: companions.join(","),
                        crashes: crashes as u64,
                    }
                }
                quarantine::Change::Ended { subject } => {
                    Kind::QuarantineEnded { subject: subject.to_string() }
                }
            });
        }
    }

    /// Sends the next digest to all other nodes at once.
    pub(crate) fn request_broadcast(&self) {
        self.is_broadcast_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether the next digest goes to all other nodes at once, and clears the mark.
    pub(crate) fn take_broadcast_request(&self) -> bool {
        self.is_broadcast_requested.swap(false, Ordering::Relaxed)
    }

    /// Records that a host answers, so that it no longer counts as lost.
    pub(crate) fn mark_host_reachable(&self, host: &str) {
        let was_lost = self.cluster().mark_reachable(host);
        if was_lost {
            self.events.emit(Kind::HostReachable { host: host.to_owned() });
            self.publish();
        }
    }

    /// Records the slowdown factor that a host reported; 1 is its usual speed.
    pub(crate) fn record_slowdown(&self, host: &str, slowdown: slowdown::Factor) {
        let is_changed =
            self.cluster().set_slowdown(self.now(), host, slowdown, self.probe_interval());
        if is_changed {
            let (host, pace) = (host.to_owned(), (slowdown * 100.0) as u64);
            self.events.emit(Kind::SlowdownChanged { host, pace });
            self.publish();
        }
    }

    /// Publishes a new routing snapshot, and wakes the waiting requests and the task that sends digests.
    pub(crate) fn publish(&self) {
        let now = self.now();
        // The lock is held until the snapshot is stored, so that snapshots replace each other in order.
        let mut cluster = self.cluster();
        let mut snapshot = cluster.snapshot(now);
        snapshot.carry_over_retired(&self.routing.load());
        self.routing.store(Arc::new(snapshot));
        if let Some(hosts) = cluster.take_changed_addresses() {
            self.paths.set_hosts(hosts);
        }
        drop(cluster);
        self.capacity_changed.notify_one();
        self.snapshot_changed.notify_one();
    }
}
