//! State that all tasks of a node share.
//!
//! Requests read immutable snapshots that are replaced atomically, so they never wait for control
//! tasks.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use cuminward_core::{catalog, hlc, host, id, replica};
use cuminward_event::sink;
use cuminward_group::{assembly, probe::table};
use cuminward_peer::count;
use cuminward_platform::hosts;
use cuminward_route::{admission, attempt, route::Candidate};
use cuminward_upstream::{engine, plain, pool};
use http_body_util::Full;

use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    availability,
    control::{configure, keys, outlier, peer},
    departed, node, peers,
    request::{dispatch, once, suspect},
    retiring, settings, view,
};

/// Maximum number of events that a node keeps in memory.
const EVENT_CAPACITY: usize = 16_384;

/// Retries that the retry budget allows for each thousand requests.
const RETRY_PERMILLE: u32 = 200;

/// Retries that are allowed in addition, for bursts such as after the loss of a replica.
const RETRY_RESERVE: u32 = 200;

/// State that all tasks of a node share.
pub struct State {
    /// Settings of the node.
    pub settings: settings::Settings,
    /// Distinguishes this start of the node from others: its time in milliseconds since the Unix
    /// epoch.
    pub incarnation: id::Incarnation,
    /// Sink that receives all events of the node.
    pub events: Arc<sink::Sink>,
    /// Configuration in force; empty before there is one.
    pub catalog: ArcSwap<catalog::Catalog>,
    /// Snapshot that requests read.
    pub view: ArcSwap<view::View>,
    /// The platform's host list as of the last successful read.
    pub hosts: ArcSwap<hosts::List>,
    /// Replicas that were complete when they were last assembled.
    pub replicas: ArcSwap<assembly::Outcome>,
    /// Nodes that have shut down gracefully.
    pub departed: departed::Nodes,
    /// Groups that receive no new requests because they are about to be released.
    pub retiring: retiring::Retiring,
    /// The other nodes, with the last status that was received from each.
    pub peers: peers::Peers,
    /// Connection pool for calls to the other nodes.
    pub pool: peer::Pool,
    /// Counts the bytes of calls that other nodes make to this one.
    pub counter: Arc<count::Counter>,
    /// Revision of the configuration in force; 0 before there is one.
    pub revision: watch::Sender<id::Revision>,
    /// The configuration that this node has folded from the records of the log.
    pub config: configure::Config,
    /// Whether a configuration was put in force since the start.
    pub configured: AtomicBool,
    /// Whether the last call of the platform's log failed.
    pub is_log_unreachable: AtomicBool,
    /// Queues requests until an upstream has a free slot.
    pub dispatcher: dispatch::Dispatcher,
    /// Outlier detection: replicas that receive no new requests because they fail or are slow.
    pub outliers: outlier::Outliers,
    /// Requests in flight at replicas, and which of them may have crashed one.
    pub suspects: Arc<suspect::Tracker>,
    /// Handle of this node's ledger of claimed idempotency keys.
    pub keys: keys::Handle,
    /// Calls with idempotency keys that this node executes.
    pub once: once::Registry,
    /// Addresses that the node is bound to.
    pub addresses: node::Addresses,
    /// Whether the host list was read since the start.
    pub host_list_read: AtomicBool,
    /// Whether the node is shutting down and refuses new requests.
    pub draining: AtomicBool,
    /// Notified when a slot of an upstream may have become free.
    pub slot_freed: Notify,
    /// HTTP client for the engines.
    pub engines: engine::Client,
    /// HTTP client for the hosts of plain services.
    pub plains: plain::Client<Full<Bytes>>,
    /// Bounds retries to a share of the requests.
    pub retry_budget: attempt::Budget,
    /// Cancelled when all tasks have to stop.
    pub stop: CancellationToken,
    /// Builds the snapshots that requests read.
    pub view_builder: view::Builder,
    admission: Mutex<admission::Controller>,
    availability: Mutex<availability::Totals>,
    observations: Mutex<table::Table>,
    started: Instant,
}

/// Life cycle
impl State {
    /// Creates the state of a node that has read neither configuration nor host list yet.
    pub fn new(settings: settings::Settings, addresses: node::Addresses) -> State {
        let clock = Arc::new(hlc::Clock::default());
        let epoch = unix_time().as_secs() as u32;
        State {
            incarnation: unix_time().as_millis() as u64,
            admission: Mutex::new(admission::Controller::new(settings.node.clone(), epoch)),
            view_builder: view::Builder::default(),
            catalog: ArcSwap::default(),
            events: Arc::new(sink::Sink::new(settings.node.clone(), clock, EVENT_CAPACITY)),
            pool: peer::pool(settings.secret.expose()),
            counter: Arc::default(),
            view: ArcSwap::default(),
            hosts: ArcSwap::default(),
            replicas: ArcSwap::default(),
            departed: departed::Nodes::default(),
            retiring: retiring::Retiring::default(),
            peers: peers::Peers::default(),
            revision: watch::Sender::new(0),
            config: configure::Config::default(),
            configured: AtomicBool::new(false),
            is_log_unreachable: AtomicBool::new(false),
            dispatcher: dispatch::Dispatcher::default(),
            outliers: outlier::Outliers::default(),
            suspects: Arc::default(),
            keys: keys::Handle::default(),
            once: once::Registry::new(&settings.node),
            availability: Mutex::default(),
            addresses,
            host_list_read: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            slot_freed: Notify::new(),
            engines: engine::Client::new(engine_options(&settings)),
            plains: plain::Client::new(pool::Options::default()),
            retry_budget: attempt::Budget::new(RETRY_PERMILLE, RETRY_RESERVE),
            stop: CancellationToken::new(),
            observations: Mutex::default(),
            started: Instant::now(),
            settings,
        }
    }
}

/// Access
impl State {
    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the table of the reports of the failure domain's hosts.
    pub fn observations(&self) -> MutexGuard<'_, table::Table> {
        self.observations.lock().expect("no code panics while it has the lock")
    }

    /// Locks this node's admission controller.
    pub fn admission(&self) -> MutexGuard<'_, admission::Controller> {
        self.admission.lock().expect("no code panics while it has the lock")
    }

    /// Returns whether an upstream may still run requests of this node.
    pub fn holds_slots(&self) -> bool {
        let view = self.view.load();
        let plains = view.plains.values().flatten().map(|it| &it.slots);
        view.slots.values().chain(plains).any(|it| 0 < it.in_use())
    }

    /// Returns the number of requests in flight, over all teams.
    pub fn in_flight(&self) -> u64 {
        let view = self.view.load();
        view.teams.values().map(|it| u64::from(it.load(Ordering::Acquire))).sum()
    }

    /// Returns how many more requests the failure domain's replicas could take by their reported
    /// load.
    pub fn free_capacity(&self) -> u32 {
        let view = self.view.load();
        let free = |it: &Candidate| it.gauge.limit().saturating_sub(it.gauge.load());
        view.table.candidates().map(free).sum()
    }

    /// Returns the availability totals of the failure domain's groups.
    pub fn availability(&self) -> availability::Totals {
        *self.availability.lock().expect("no code panics while it has the lock")
    }

    /// Adds the time since the last call to the availability totals.
    pub fn record_availability(
        &self,
        catalog: &catalog::Catalog,
        hosts: &[host::Entry],
        replicas: &[replica::Replica],
    ) {
        let mut totals = self.availability.lock().expect("no code panics while it has the lock");
        totals.add(self.now(), &self.settings.domain, catalog, hosts, replicas);
    }

    /// Checks whether the node takes requests.
    ///
    /// # Errors
    ///
    /// The reason why it does not.
    pub fn check_ready(&self) -> Result<(), String> {
        if self.draining.load(Ordering::Acquire) {
            return Err("the node is shutting down".to_owned());
        }
        if !self.configured.load(Ordering::Acquire) {
            return Err("there is no configuration yet".to_owned());
        }
        if !self.host_list_read.load(Ordering::Acquire) {
            return Err("the host list was not read yet".to_owned());
        }
        Ok(())
    }
}

/// Returns the time since the Unix epoch; zero if the clock is set before it.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn engine_options(settings: &settings::Settings) -> engine::Options {
    let mut options = engine::Options::default();
    options.pool.idle_timeout = settings.limits.token_timeout;
    options
}
