//! What the tasks of a node share.
//!
//! Everything that a request reads is a snapshot that is replaced as a whole; requests never wait for
//! control work.

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

/// Events that a node keeps in memory.
const EVENT_CAPACITY: usize = 16_384;

/// Repeats that are allowed for each thousand requests.
const RETRY_PERMILLE: u32 = 200;

/// Repeats that are allowed beyond that, such as after the loss of a replica.
const RETRY_RESERVE: u32 = 200;

/// What the tasks of a node share.
pub struct State {
    /// Settings of the node.
    pub settings: settings::Settings,
    /// Tells this start of the node from others: milliseconds since the Unix epoch.
    pub incarnation: id::Incarnation,
    /// Where events go.
    pub events: Arc<sink::Sink>,
    /// Configuration in force.
    pub catalog: ArcSwap<catalog::Catalog>,
    /// What requests read.
    pub view: ArcSwap<view::View>,
    /// The platform's host list, as it was last read.
    pub hosts: ArcSwap<hosts::List>,
    /// Replicas that were whole at the last look.
    pub replicas: ArcSwap<assembly::Outcome>,
    /// Nodes that have ended regularly.
    pub departed: departed::Nodes,
    /// Groups that get no new work because they are about to be released.
    pub retiring: retiring::Retiring,
    /// Other nodes, as they were last heard of.
    pub peers: peers::Peers,
    /// Connections to the other nodes.
    pub pool: peer::Pool,
    /// Counts the bytes of calls that other nodes make.
    pub counter: Arc<count::Counter>,
    /// Revision of the configuration in force; 0 before there is one.
    pub revision: watch::Sender<id::Revision>,
    /// The configuration as this node has folded it.
    pub config: configure::Config,
    /// Whether the configuration was ever read.
    pub configured: AtomicBool,
    /// Whether the platform's log is away.
    pub is_log_unreachable: AtomicBool,
    /// Where requests ask for slots.
    pub dispatcher: dispatch::Dispatcher,
    /// Replicas that get no new work because they fail or are slow.
    pub outliers: outlier::Outliers,
    /// Requests in flight at replicas, and which of them may have crashed one.
    pub suspects: Arc<suspect::Tracker>,
    /// Where idempotency keys are claimed.
    pub keys: keys::Handle,
    /// Calls with idempotency keys of this node.
    pub once: once::Registry,
    /// Addresses that the node listens at.
    pub addresses: node::Addresses,
    /// Whether the host list was ever read.
    pub host_list_read: AtomicBool,
    /// Whether the node takes no new requests.
    pub draining: AtomicBool,
    /// Notified when a request may find a free slot.
    pub slot_freed: Notify,
    /// Client of the engines.
    pub engines: engine::Client,
    /// Client of the plain services.
    pub plains: plain::Client<Full<Bytes>>,
    /// Bounds repeats to a part of the requests.
    pub retry_budget: attempt::Budget,
    /// Cancelled when the tasks have to end.
    pub stop: CancellationToken,
    /// Makes snapshots of what requests read.
    pub view_builder: view::Builder,
    admission: Mutex<admission::Controller>,
    availability: Mutex<availability::Totals>,
    observations: Mutex<table::Table>,
    started: Instant,
}

/// Life cycle
impl State {
    /// Makes the state of a node that knows nothing yet.
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
    /// Time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// What is known about the hosts of the failure domain.
    pub fn observations(&self) -> MutexGuard<'_, table::Table> {
        self.observations.lock().expect("no code panics while it has the lock")
    }

    /// This node's part of the admission.
    pub fn admission(&self) -> MutexGuard<'_, admission::Controller> {
        self.admission.lock().expect("no code panics while it has the lock")
    }

    /// Tells whether requests of this node may still run at an upstream.
    pub fn holds_slots(&self) -> bool {
        let view = self.view.load();
        let plains = view.plains.values().flatten().map(|it| &it.slots);
        view.slots.values().chain(plains).any(|it| 0 < it.in_use())
    }

    /// Requests of all teams that are in flight.
    pub fn in_flight(&self) -> u64 {
        let view = self.view.load();
        view.teams.values().map(|it| u64::from(it.load(Ordering::Acquire))).sum()
    }

    /// Requests that the failure domain's replicas could take in addition, by their reported load.
    pub fn free_capacity(&self) -> u32 {
        let view = self.view.load();
        let free = |it: &Candidate| it.gauge.limit().saturating_sub(it.gauge.load());
        view.table.candidates().map(free).sum()
    }

    /// The users' measures of the failure domain's groups.
    pub fn availability(&self) -> availability::Totals {
        *self.availability.lock().expect("no code panics while it has the lock")
    }

    /// Adds the time since the last call to the measures.
    pub fn record_availability(
        &self,
        catalog: &catalog::Catalog,
        hosts: &[host::Entry],
        replicas: &[replica::Replica],
    ) {
        let mut totals = self.availability.lock().expect("no code panics while it has the lock");
        totals.add(self.now(), &self.settings.domain, catalog, hosts, replicas);
    }

    /// Tells whether the node takes requests; the error names what is missing.
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

/// Time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn engine_options(settings: &settings::Settings) -> engine::Options {
    let mut options = engine::Options::default();
    options.pool.idle_timeout = settings.limits.token_timeout;
    options
}
