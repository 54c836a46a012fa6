//! What the tasks of a node share.

pub(crate) mod duty;
pub(crate) mod gauge;
pub(crate) mod knowledge;
pub(crate) mod view;
pub(crate) mod waiting;

use std::{
    collections::HashMap,
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
use cuminward_route::attempt::Budget;
use cuminward_serving::{crash, id, slowdown};
use cuminward_upstream::pool;
use http_body_util::Full;
use tokio::sync::Notify;

use crate::settings::Settings;

/// Longest time to connect to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for a call to the store, beside the time that it is asked to wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest silence within an answer. Replicas are watched more closely.
const SILENCE: Duration = Duration::from_secs(20);

/// Recent events that are kept in memory.
const EVENT_CAPACITY: usize = 64;

/// Longest time that a connection to an upstream is kept idle.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Interval at which a lost host is asked again, by a steward and by other nodes.
const STEWARD_ASKS_AGAIN: Duration = Duration::from_millis(400);
const ASKS_AGAIN: Duration = Duration::from_millis(1000);

/// State of a node.
pub(crate) struct State {
    /// Settings with which the node started.
    pub(crate) settings: Settings,
    /// Settings as they were read last.
    current: ArcSwap<Settings>,
    started: Instant,
    /// Where events go.
    pub(crate) events: Arc<Sink>,
    /// What requests read.
    pub(crate) view: ArcSwap<view::View>,
    /// What the control tasks know.
    knowledge: Mutex<knowledge::Knowledge>,
    /// Connections to upstreams.
    pub(crate) upstreams: pool::Pool<Full<Bytes>>,
    pub(crate) store: store::Client,
    /// Steward's duties of this node.
    pub(crate) duty: duty::Duty,
    crashes: Mutex<crash::Tracker>,
    budgets: Mutex<HashMap<id::Service, Arc<Budget>>>,
    /// Nodes that are known, this one included.
    nodes: AtomicUsize,
    /// When the node began to stop, in milliseconds since its start; 0 if it didn't.
    stopping_ms: AtomicU64,
    /// Wakes the task that takes part in the division of duties when the node begins to stop.
    pub(crate) stops: Notify,
    /// Whether callers may have sent requests, to any node, since the system first started.
    has_traffic: AtomicBool,
    /// Requests of callers under way.
    pub(crate) requests: AtomicUsize,
    /// Requests that wait for an upstream.
    pub(crate) waiting: waiting::Waiting,
    /// Wakes the task that serves waiting requests.
    pub(crate) capacity: Notify,
    /// Wakes the exchange with other nodes.
    pub(crate) news: Notify,
    /// When the last read of the list of hosts that succeeded began, in milliseconds since the start.
    listing_read_ms: AtomicU64,
    /// Whether all other nodes are to be told at once.
    is_urgent: AtomicBool,
}

/// Life cycle
impl State {
    /// Makes the state of a node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// The thread that writes events can't be started.
    pub(crate) fn new(settings: Settings) -> io::Result<State> {
        let clock = Arc::new(hlc::Clock::default());
        let node = settings.node.name.clone();
        let output = line::Writer::stdout()?;
        let events = Arc::new(Sink::with_output(node.clone(), clock, EVENT_CAPACITY, output));
        let store = store::Client::new(settings.store.address.to_string(), STORE_TIMEOUT);
        let options = pool::Options {
            connect: CONNECT_TIMEOUT,
            silence: SILENCE,
            idle: MAX_IDLE,
            ..pool::Options::default()
        };
        let has_traffic = AtomicBool::new(!settings.node.is_first_start);
        let knowledge = Mutex::new(knowledge::Knowledge::new(node, Arc::clone(&events)));
        Ok(State {
            events,
            current: ArcSwap::from_pointee(settings.clone()),
            settings,
            has_traffic,
            started: Instant::now(),
            view: ArcSwap::from_pointee(view::View::default()),
            knowledge,
            upstreams: pool::Pool::new(options),
            store,
            duty: duty::Duty::default(),
            crashes: Mutex::default(),
            budgets: Mutex::default(),
            nodes: AtomicUsize::new(1),
            stopping_ms: AtomicU64::new(0),
            stops: Notify::new(),
            requests: AtomicUsize::new(0),
            waiting: waiting::Waiting::default(),
            capacity: Notify::new(),
            news: Notify::new(),
            listing_read_ms: AtomicU64::new(0),
            is_urgent: AtomicBool::new(false),
        })
    }
}

/// Access
impl State {
    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Settings as they were read last.
    pub(crate) fn current(&self) -> arc_swap::Guard<Arc<Settings>> {
        self.current.load()
    }

    /// Tells whether the node can serve: it knows a catalog and isn't stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.load().catalog.is_some()
    }

    /// Tells whether the node is about to end.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_ms.load(Ordering::Relaxed) > 0
    }

    /// Time since the node began to stop; `None` if it didn't.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        let since = Duration::from_millis(self.stopping_ms.load(Ordering::Relaxed));
        (since > Duration::ZERO).then(|| self.now().saturating_sub(since))
    }

    /// Tells whether callers may have sent requests since the system first started.
    pub(crate) fn has_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    /// Nodes that are known, this one included.
    pub(crate) fn nodes(&self) -> usize {
        self.nodes.load(Ordering::Relaxed)
    }

    /// Interval at which a lost host is asked again.
    pub(crate) fn ask_interval(&self) -> Duration {
        if self.duty.is_steward() { STEWARD_ASKS_AGAIN } else { ASKS_AGAIN }
    }

    /// When the last read of the list of hosts that succeeded began; zero if none did.
    pub(crate) fn listing_read(&self) -> Duration {
        Duration::from_millis(self.listing_read_ms.load(Ordering::Relaxed))
    }

    /// What the control tasks know.
    pub(crate) fn knowledge(&self) -> MutexGuard<'_, knowledge::Knowledge> {
        self.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that crash hosts.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, crash::Tracker> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This node's part of the repeats of a service.
    pub(crate) fn budget(&self, service: &str) -> Arc<Budget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = budgets.get(service) {
            return Arc::clone(it);
        }
        let current = self.current();
        let retry = &current.retry;
        let reserve = (retry.reserve as usize / self.nodes().max(1)).max(1);
        let budget = Arc::new(Budget::new((retry.ratio * 1000.0) as u32, reserve as u32));
        budgets.insert(service.to_owned(), Arc::clone(&budget));
        budget
    }
}

/// Mutation
impl State {
    /// Takes settings that were read anew. Those that are used only at the start stay as they were.
    pub(crate) fn reload(&self, settings: Settings) {
        self.current.store(Arc::new(settings));
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Notes that the node is about to end.
    pub(crate) fn stop(&self) {
        self.stopping_ms.store(self.now().as_millis().max(1) as u64, Ordering::Relaxed);
        self.stops.notify_one();
    }

    /// Notes when a read of the list of hosts that succeeded began.
    pub(crate) fn note_listing_read(&self, began: Duration) {
        self.listing_read_ms.store(began.as_millis() as u64, Ordering::Relaxed);
    }

    /// Notes that a caller sent a request, to this node or another one.
    pub(crate) fn note_traffic(&self) {
        self.has_traffic.store(true, Ordering::Relaxed);
    }

    /// Sets the number of nodes. Parts of shared budgets are divided anew if it grew.
    pub(crate) fn set_nodes(&self, nodes: usize) {
        if self.nodes.swap(nodes, Ordering::Relaxed) < nodes {
            self.budgets.lock().unwrap_or_else(PoisonError::into_inner).clear();
        }
    }

    /// Notes that a host doesn't answer: its replica gets no more requests, and those that it has are
    /// woken.
    pub(crate) fn lose(&self, host: &str, cause: &str) {
        let now = self.now();
        let view = self.view.load();
        let replica = view.watched().find(|it| it.is_replica() && it.has_member(host));
        let mut knowledge = self.knowledge();
        let is_new = knowledge.lose(now, host, self.ask_interval());
        let is_first = !knowledge.is_heard(now, host);
        drop(knowledge);
        if is_new {
            let (host, cause) = (host.to_owned(), cause.to_owned());
            let replica = replica.map(|it| it.name.clone()).unwrap_or_default();
            self.events.emit(Kind::HostLost { host, replica, cause });
            self.is_urgent.fetch_or(is_first, Ordering::Relaxed);
            self.publish();
        }
        if let Some(replica) = replica {
            replica.gauge.note_loss(now);
        }
    }

    /// Tells whether all other nodes are to be told at once; true once for each reason.
    pub(crate) fn take_urgency(&self) -> bool {
        self.is_urgent.swap(false, Ordering::Relaxed)
    }

    /// Notes that a host answers.
    pub(crate) fn find(&self, host: &str) {
        let is_new = self.knowledge().find(host);
        if is_new {
            self.events.emit(Kind::HostFound { host: host.to_owned() });
            self.publish();
        }
    }

    /// Notes how slow a host said that it is.
    pub(crate) fn note_pace(&self, host: &str, pace: slowdown::Factor) {
        let is_new = self.knowledge().set_pace(self.now(), host, pace, self.ask_interval());
        if is_new {
            let (host, pace) = (host.to_owned(), (pace * 100.0) as u64);
            self.events.emit(Kind::PaceChanged { host, pace });
            self.publish();
        }
    }

    /// Makes the next view from what is known, and wakes the requests that wait for it.
    pub(crate) fn publish(&self) {
        let now = self.now();
        // The lock is held until the view is stored, so that views replace each other in order.
        let mut knowledge = self.knowledge();
        let mut view = knowledge.view(now);
        view.retire(&self.view.load());
        self.view.store(Arc::new(view));
        drop(knowledge);
        self.capacity.notify_one();
        self.news.notify_one();
    }
}
