//! Stand-in of a plain service: several hosts that take reservations of items in stock.

mod counter;
mod fault;
mod handler;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{Json, Router, extract::State, routing};
use cuminward_core::{host, id};
use cuminward_derive::record;
use derive_builder::Builder;
use tokio_util::sync::CancellationToken;

pub use counter::Counters;
pub use fault::Fault;

use crate::{reply, server, starts, warm_up};

/// Settings of all hosts.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Options {
    /// Concurrency limit of a warm host; a request above the limit makes all running requests fail.
    pub slots: u32,
    /// Concurrency limit of a host right after its start.
    pub cold_bound: u32,
    /// Time over which the concurrency limit rises linearly from `cold_bound` to `slots`.
    pub warm_up: Duration,
    /// Time to serve one request.
    pub service_time: Duration,
    /// Quantity of each item at the start.
    pub stock: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slots: 64,
            cold_bound: 4,
            warm_up: Duration::from_secs(2),
            service_time: Duration::from_millis(5),
            stock: 1_000_000,
        }
    }
}

/// Access
impl Options {
    fn ramp(&self) -> warm_up::Ramp {
        warm_up::Ramp { cold: self.cold_bound, warm: self.slots, duration: self.warm_up }
    }
}

/// Plain service on a number of hosts, which stop when the service is dropped.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    control: server::Server,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    instances: BTreeMap<id::Host, Instance>,
    /// Quantity reserved, by item.
    reserved: BTreeMap<String, u64>,
    counters: Counters,
    begun_in_domain: starts::Times,
    begun_at_host: starts::Times,
    next_incarnation: id::Incarnation,
}

#[derive(Debug)]
struct Instance {
    entry: host::Entry,
    incarnation: id::Incarnation,
    started: Instant,
    in_flight: u32,
    /// Cancelled when everything in flight fails.
    failing: CancellationToken,
    /// Time added to each request.
    delay: Duration,
    /// Number of further requests whose answer is lost.
    lose_answers: u32,
    /// Number of further requests that are refused without running.
    not_run: u32,
    /// Number of further look-ups that get an empty answer.
    empty_answers: u32,
    /// `None` while the host is down.
    server: Option<server::Server>,
}

/// Life cycle
impl Service {
    /// Starts a service without hosts; its control port is `port` (0 takes a free one).
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, options: Options) -> io::Result<Service> {
        let inner = Inner {
            instances: BTreeMap::new(),
            reserved: BTreeMap::new(),
            counters: Counters::default(),
            begun_in_domain: starts::Times::default(),
            begun_at_host: starts::Times::default(),
            next_incarnation: reply::wall_ms(),
        };
        let shared = Arc::new(Shared { options, inner: Mutex::new(inner) });
        let router = Router::new()
            .route("/control", routing::post(inject_fault))
            .route("/control/counters", routing::get(get_counters))
            .with_state(shared.clone());
        Ok(Service { shared, control: server::Server::start(port, router).await? })
    }

    /// Adds a host and starts it on a port of 127.0.0.1 (0 takes a free one). Returns `entry` with
    /// the address.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn add(&self, mut entry: host::Entry, port: u16) -> io::Result<host::Entry> {
        let name = entry.host.clone();
        let router = handler::router(self.shared.clone(), name.clone());
        let server = server::Server::start(port, router).await?;
        entry.address = server.address().to_string();
        let mut inner = self.shared.lock();
        let instance = Instance {
            entry: entry.clone(),
            incarnation: inner.allocate_incarnation(),
            started: Instant::now(),
            in_flight: 0,
            failing: CancellationToken::new(),
            delay: Duration::ZERO,
            lose_answers: 0,
            not_run: 0,
            empty_answers: 0,
            server: Some(server),
        };
        inner.instances.insert(name, instance);
        Ok(entry)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.lock().instances.values_mut().for_each(|it| it.server = None);
    }
}

/// Access
impl Service {
    /// Returns the address of the control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Returns the number of requests begun in a failure domain since a time.
    pub fn begun_in_domain_since(&self, domain: &str, since: Instant) -> u64 {
        self.shared.lock().begun_in_domain.count_since(domain, since)
    }

    /// Returns the number of requests begun at a host since a time.
    pub fn begun_at_host_since(&self, host: &str, since: Instant) -> u64 {
        self.shared.lock().begun_at_host.count_since(host, since)
    }

    /// Returns the entries of all hosts, stopped ones included.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().instances.values().map(|it| it.entry.clone()).collect()
    }
}

/// Mutation
impl Service {
    /// Injects a fault.
    pub async fn inject(&self, fault: &Fault) {
        self.shared.inject(fault).await;
    }
}

impl Inner {
    fn allocate_incarnation(&mut self) -> id::Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    async fn inject(self: &Arc<Self>, fault: &Fault) {
        match fault {
            Fault::Kill { host } => self.update(host, Instance::kill),
            Fault::Restart { host } => self.restart(host).await,
            Fault::Pause { host } => self.update_gate(host, server::Gate::pause),
            Fault::Resume { host } => self.update_gate(host, server::Gate::resume),
            Fault::Silence { host } => self.update_gate(host, server::Gate::silence),
            Fault::Slow { host, delay_ms } => self.update(host, |it| it.delay = *delay_ms),
            Fault::LoseAnswers { host, count } => self.update(host, |it| it.lose_answers = *count),
            Fault::NotRun { host, count } => self.update(host, |it| it.not_run = *count),
            Fault::EmptyAnswers { host, count } => {
                self.update(host, |it| it.empty_answers = *count);
            }
        }
    }

    fn update(&self, host: &str, change: impl FnOnce(&mut Instance)) {
        if let Some(instance) = self.lock().instances.get_mut(host) {
            change(instance);
        }
    }

    fn update_gate(&self, host: &str, change: impl Fn(&server::Gate)) {
        self.update(host, |it| it.server.iter().for_each(|it| change(it.gate())));
    }

    async fn restart(self: &Arc<Self>, host: &str) {
        self.update(host, Instance::kill);
        let address = self.lock().instances.get(host).map(|it| it.entry.address.clone());
        let Some(address) = address else { return };
        let address: SocketAddr = address.parse().expect("the server gave the address");
        let router = handler::router(self.clone(), host.to_owned());
        let is_running = || self.lock().instances.get(host).is_some_and(|it| it.server.is_some());
        let restarted = server::Server::restart(address.port(), router, is_running).await;
        let Some(server) = restarted else { return };
        let incarnation = self.lock().allocate_incarnation();
        self.update(host, |it| {
            it.incarnation = incarnation;
            it.started = Instant::now();
            it.failing = CancellationToken::new();
            it.server = Some(server);
        });
    }
}

impl Instance {
    fn kill(&mut self) {
        self.server = None;
        self.failing.cancel();
    }
}

async fn inject_fault(State(shared): State<Arc<Shared>>, Json(fault): Json<Fault>) {
    shared.inject(&fault).await;
}

async fn get_counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
