//! A fleet of engine hosts.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use cuminward_core::{host, id};
use tokio_util::sync::CancellationToken;

use super::{
    Options,
    control::{self, Behaviour, Fault},
    counter, handler, order, state,
};
use crate::{reply, server, weights};

/// Interval at which the fleet detects losses and adds up the times outside ready groups.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Fleet of engine hosts, which stop when the fleet is dropped.
#[derive(Debug)]
pub struct Fleet {
    shared: Arc<Shared>,
    control: server::Server,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: Arc<Options>,
    pub(super) weights: weights::Handle,
    pub(super) started: Instant,
    /// Cancelled when the fleet ends.
    pub(super) stop: CancellationToken,
    state: Mutex<state::State>,
}

/// Life cycle
impl Fleet {
    /// Starts a fleet without hosts; its control port is `port` (0 takes a free one).
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, options: Options, weights: weights::Handle) -> io::Result<Fleet> {
        let options = Arc::new(options);
        let state = state::State {
            options: options.clone(),
            engines: BTreeMap::new(),
            stats: counter::Stats::default(),
            expected_groups: BTreeMap::new(),
            next_incarnation: reply::wall_ms(),
            losses: Vec::new(),
        };
        let state = Mutex::new(state);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let shared = Arc::new(Shared { options, weights, started: Instant::now(), stop, state });
        let control = server::Server::start(port, control::router(shared.clone())).await?;
        let ticking = shared.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = ticking.run_ticks() => {}
            }
        });
        Ok(Fleet { shared, control })
    }

    /// Adds a host and starts it on a port of 127.0.0.1 (0 takes a free one). Returns `entry` with
    /// the address.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn add(
        &self,
        mut entry: host::Entry,
        port: u16,
        fencing: bool,
    ) -> io::Result<host::Entry> {
        let name = entry.host.clone();
        let router = handler::router(self.shared.clone(), name.clone());
        let server = server::Server::start(port, router).await?;
        entry.address = server.address().to_string();
        let behaviour = Behaviour {
            fencing,
            paused: false,
            slowdown: 1.0,
            order_delay: Duration::ZERO,
            lose_order_answers: 0,
        };
        let mut state = self.shared.lock();
        let engine = state::Engine {
            entry: entry.clone(),
            behaviour,
            incarnation: state.allocate_incarnation(),
            fence: 0,
            membership: None,
            weights: None,
            replica: None,
            server: Some(server),
            loading: None,
        };
        state.engines.insert(name, engine);
        Ok(entry)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.stop.cancel();
        let names: Vec<id::Host> = self.shared.lock().engines.keys().cloned().collect();
        names.iter().for_each(|it| self.shared.kill(it));
    }
}

/// Access
impl Fleet {
    /// Returns the address of the control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> counter::Counters {
        self.shared.lock().stats.counters.clone()
    }

    /// Returns the number of requests begun in a failure domain since a time.
    pub fn begun_in_domain_since(&self, domain: &str, since: Instant) -> u64 {
        self.shared.lock().stats.begun_in_domain.count_since(domain, since)
    }

    /// Returns the number of requests begun since a time in replicas with the host as a member.
    pub fn begun_with_member_since(&self, host: &str, since: Instant) -> u64 {
        self.shared.lock().stats.begun_with_member.count_since(host, since)
    }

    /// Returns the requests begun, by request id; a resumed request counts again.
    pub fn begun_by_request(&self) -> BTreeMap<id::Request, u64> {
        self.shared.lock().stats.requests.clone()
    }

    /// Returns the entries of all hosts, stopped ones included.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().engines.values().map(|it| it.entry.clone()).collect()
    }

    /// Returns the report of a host; `None` while the host is down or when it doesn't exist.
    pub fn report(&self, host: &str) -> Option<host::Report> {
        let state = self.shared.lock();
        state.engines.get(host).filter(|it| it.is_alive()).map(state::Engine::report)
    }

    /// Returns the reports of the heads of all ready replicas.
    pub fn ready_heads(&self) -> Vec<host::Report> {
        let state = self.shared.lock();
        let heads = state.engines.values().filter(|it| it.is_alive() && it.replica.is_some());
        heads.map(state::Engine::report).collect()
    }

    /// Returns the current concurrency limit of the replica headed by a host; `None` without one.
    pub fn concurrency_limit(&self, head: &str) -> Option<u32> {
        let state = self.shared.lock();
        state.engines.get(head)?.replica.as_ref().map(|it| it.concurrency_limit())
    }
}

/// Mutation
impl Fleet {
    /// Forms a group without orders over HTTP and waits until the group is ready. The phase of
    /// `formation` is ignored.
    ///
    /// Returns whether the group became ready. It doesn't when a host is down or in another group.
    pub async fn form(&self, formation: &host::Membership) -> bool {
        for host in &formation.members {
            let context = handler::Context { fleet: self.shared.clone(), host: host.clone() };
            if !order::form_directly(&context, formation) {
                return false;
            }
        }
        let Some(head) = formation.members.first() else { return false };
        loop {
            let membership = self.report(head).and_then(|it| it.membership);
            match membership.map(|it| it.phase) {
                Some(host::Phase::Loading) => tokio::time::sleep(TICK_INTERVAL).await,
                phase => return phase == Some(host::Phase::Ready),
            }
        }
    }

    /// Injects a fault.
    pub async fn inject(&self, fault: &Fault) {
        self.shared.inject(fault).await;
    }
}

/// Access
impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Mutation
impl Shared {
    /// Detects losses, adds up the times outside ready groups and samples loads at an interval.
    async fn run_ticks(&self) {
        let mut last = Instant::now();
        let mut sampled = last;
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let elapsed = last.elapsed();
            last += elapsed;
            let sample = sampled.elapsed() >= self.options.load_lag;
            if sample {
                sampled = last;
            }
            let mut state = self.lock();
            state.detect_losses();
            accumulate_times(&mut state, elapsed.as_secs_f64(), sample);
        }
    }
}

fn accumulate_times(state: &mut state::State, seconds: f64, sample: bool) {
    let mut ready: BTreeMap<id::Domain, u32> = BTreeMap::new();
    for engine in state.engines.values().filter(|it| it.is_alive()) {
        let domain = &engine.entry.domain;
        if !engine.in_phase(host::Phase::Ready) {
            let stranded = &mut state.stats.counters.stranded_seconds;
            *stranded.entry(domain.clone()).or_default() += seconds;
        }
        if let Some(replica) = &engine.replica {
            *ready.entry(domain.clone()).or_default() += 1;
            if sample {
                replica.sample_load();
            }
        }
    }
    for (domain, expected) in &state.expected_groups {
        let missing = expected.saturating_sub(ready.get(domain).copied().unwrap_or_default());
        let down = &mut state.stats.counters.group_down_seconds;
        *down.entry(domain.clone()).or_default() += f64::from(missing) * seconds;
    }
}
