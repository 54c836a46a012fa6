//! Stand-in of a plain service: an order desk on several hosts.

mod counter;
mod fault;
mod machine;

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

use crate::{begun, reply, server, warm_up};

/// Settings of all hosts.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Options {
    /// Requests that a warm host bears at the same time.
    pub slots: u32,
    /// Requests that a host bears right after it has started.
    pub cold_bound: u32,
    /// Time over which the bound rises from `cold_bound` to `slots`.
    pub warm_up: Duration,
    /// Time of one request.
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
        warm_up::Ramp { cold: self.cold_bound, warm: self.slots, rise: self.warm_up }
    }
}

/// All plain hosts; dropping it ends them.
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
    hosts: BTreeMap<id::Host, Machine>,
    taken: BTreeMap<String, u64>,
    counters: Counters,
    begun: begun::Times,
    begun_at: begun::Times,
    next_incarnation: id::Incarnation,
}

#[derive(Debug)]
struct Machine {
    entry: host::Entry,
    incarnation: id::Incarnation,
    started: Instant,
    in_flight: u32,
    /// Cancelled when everything in flight fails.
    failing: CancellationToken,
    delay: Duration,
    lose_answers: u32,
    not_run: u32,
    empty_answers: u32,
    server: Option<server::Server>,
}

/// Life cycle
impl Service {
    /// Starts a desk without hosts, with a control port (0 takes a free one).
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, options: Options) -> io::Result<Service> {
        let inner = Inner {
            hosts: BTreeMap::new(),
            taken: BTreeMap::new(),
            counters: Counters::default(),
            begun: begun::Times::default(),
            begun_at: begun::Times::default(),
            next_incarnation: reply::wall_ms(),
        };
        let shared = Arc::new(Shared { options, inner: Mutex::new(inner) });
        let router = Router::new()
            .route("/control", routing::post(control))
            .route("/control/counters", routing::get(counters))
            .with_state(shared.clone());
        Ok(Service { shared, control: server::Server::start(port, router).await? })
    }

    /// Adds a host and starts it at a port of 127.0.0.1 (0 takes a free one); `entry` gets the
    /// address and is returned.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn add(&self, mut entry: host::Entry, port: u16) -> io::Result<host::Entry> {
        let name = entry.host.clone();
        let router = machine::router(self.shared.clone(), name.clone());
        let server = server::Server::start(port, router).await?;
        entry.address = server.address().to_string();
        let mut inner = self.shared.lock();
        let machine = Machine {
            entry: entry.clone(),
            incarnation: inner.incarnation(),
            started: Instant::now(),
            in_flight: 0,
            failing: CancellationToken::new(),
            delay: Duration::ZERO,
            lose_answers: 0,
            not_run: 0,
            empty_answers: 0,
            server: Some(server),
        };
        inner.hosts.insert(name, machine);
        Ok(entry)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.lock().hosts.values_mut().for_each(|it| it.server = None);
    }
}

/// Access
impl Service {
    /// The address of the control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Figures since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Requests begun in a failure domain since a time.
    pub fn begun_in_domain_since(&self, domain: &str, since: Instant) -> u64 {
        self.shared.lock().begun.since(domain, since)
    }

    /// Requests begun at a host since a time.
    pub fn begun_at_host_since(&self, host: &str, since: Instant) -> u64 {
        self.shared.lock().begun_at.since(host, since)
    }

    /// Entries of all hosts, dead ones included.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().hosts.values().map(|it| it.entry.clone()).collect()
    }
}

/// Mutation
impl Service {
    /// Changes the behaviour.
    pub async fn inject(&self, fault: &Fault) {
        self.shared.inject(fault).await;
    }
}

impl Inner {
    fn incarnation(&mut self) -> id::Incarnation {
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
            Fault::Kill { host } => self.set(host, Machine::kill),
            Fault::Restart { host } => self.restart(host).await,
            Fault::Pause { host } => self.gate(host, server::Gate::pause),
            Fault::Resume { host } => self.gate(host, server::Gate::resume),
            Fault::Silence { host } => self.gate(host, server::Gate::silence),
            Fault::Slow { host, delay_ms } => self.set(host, |it| it.delay = *delay_ms),
            Fault::LoseAnswers { host, count } => self.set(host, |it| it.lose_answers = *count),
            Fault::NotRun { host, count } => self.set(host, |it| it.not_run = *count),
            Fault::EmptyAnswers { host, count } => {
                self.set(host, |it| it.empty_answers = *count);
            }
        }
    }

    fn set(&self, host: &str, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.lock().hosts.get_mut(host) {
            change(machine);
        }
    }

    fn gate(&self, host: &str, change: impl Fn(&server::Gate)) {
        self.set(host, |it| it.server.iter().for_each(|it| change(it.gate())));
    }

    async fn restart(self: &Arc<Self>, host: &str) {
        self.set(host, Machine::kill);
        let address = self.lock().hosts.get(host).map(|it| it.entry.address.clone());
        let Some(address) = address else { return };
        let address: SocketAddr = address.parse().expect("the server gave the address");
        let router = machine::router(self.clone(), host.to_owned());
        let alive = || self.lock().hosts.get(host).is_some_and(|it| it.server.is_some());
        let restarted = server::Server::restart(address.port(), router, alive).await;
        let Some(server) = restarted else { return };
        let incarnation = self.lock().incarnation();
        self.set(host, |it| {
            it.incarnation = incarnation;
            it.started = Instant::now();
            it.failing = CancellationToken::new();
            it.server = Some(server);
        });
    }
}

impl Machine {
    fn kill(&mut self) {
        self.server = None;
        self.failing.cancel();
    }
}

async fn control(State(shared): State<Arc<Shared>>, Json(fault): Json<Fault>) {
    shared.inject(&fault).await;
}

async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
