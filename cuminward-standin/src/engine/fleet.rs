//! All engine hosts of a world.

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
    control::{self, Fault, Traits},
    counter, machine, replica, state,
};
use crate::{reply, server, weights};

/// Interval at which times outside ready groups are added up.
const TICK: Duration = Duration::from_millis(10);
/// Time between tries to bind the port of a restarted host.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// All engine hosts; dropping it ends them.
#[derive(Debug)]
pub struct Fleet {
    shared: Arc<Shared>,
    control: server::Server,
    stop: CancellationToken,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: Arc<Options>,
    pub(super) weights: weights::Handle,
    pub(super) started: Instant,
    state: Mutex<state::State>,
}

/// Life cycle
impl Fleet {
    /// Starts a fleet without hosts, with a control port (0 takes a free one).
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, options: Options, weights: weights::Handle) -> io::Result<Fleet> {
        let options = Arc::new(options);
        let state = state::State {
            options: options.clone(),
            machines: BTreeMap::new(),
            book: counter::Book::default(),
            expected: BTreeMap::new(),
            next_incarnation: reply::wall_ms(),
        };
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { options, weights, started: Instant::now(), state });
        let control = server::Server::start(port, control::router(shared.clone())).await?;
        let stop = CancellationToken::new();
        let (ticking, stopped) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = ticking.tick() => {}
            }
        });
        Ok(Fleet { shared, control, stop })
    }

    /// Adds a host and starts it at a port of 127.0.0.1 (0 takes a free one); `entry` gets the
    /// address and is returned.
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
        let router = machine::router(self.shared.clone(), name.clone());
        let server = server::Server::start(port, router).await?;
        entry.address = server.address().to_string();
        let traits = Traits {
            enforcing: fencing,
            paused: false,
            slowdown: 1.0,
            order_delay: Duration::ZERO,
            lose_order_answers: 0,
        };
        let mut state = self.shared.lock();
        let machine = state::Machine {
            entry: entry.clone(),
            traits,
            incarnation: state.incarnation(),
            fence: 0,
            membership: None,
            weights: None,
            replica: None,
            server: Some(server),
            loading: None,
        };
        state.machines.insert(name, machine);
        Ok(entry)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
        let names: Vec<id::Host> = self.shared.lock().machines.keys().cloned().collect();
        names.iter().for_each(|it| self.shared.kill(it));
    }
}

/// Access
impl Fleet {
    /// The address of the control interface.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Figures since the start.
    pub fn counters(&self) -> counter::Counters {
        self.shared.lock().book.counters.clone()
    }

    /// Requests begun in a failure domain since a time.
    pub fn begun_since(&self, domain: &str, since: Instant) -> u64 {
        self.shared.lock().book.begun.since(domain, since)
    }

    /// Entries of all hosts, dead ones included.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().machines.values().map(|it| it.entry.clone()).collect()
    }

    /// What a host would report; `None` while it is down or when there is no such host.
    pub fn report(&self, host: &str) -> Option<host::Report> {
        let state = self.shared.lock();
        state.machines.get(host).filter(|it| it.alive()).map(state::Machine::report)
    }

    /// Reports of the heads of all ready replicas.
    pub fn ready(&self) -> Vec<host::Report> {
        let state = self.shared.lock();
        let heads = state.machines.values().filter(|it| it.alive() && it.replica.is_some());
        heads.map(state::Machine::report).collect()
    }

    /// Requests that the replica headed by a host bears now.
    pub fn bound(&self, head: &str) -> Option<u32> {
        let state = self.shared.lock();
        state.machines.get(head)?.replica.as_ref().map(|it| it.bound())
    }
}

/// Mutation
impl Fleet {
    /// Changes the behaviour.
    pub async fn fault(&self, fault: &Fault) {
        self.shared.fault(fault).await;
    }
}

/// Access
impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().expect("no holder panics")
    }

    fn members_of(&self, fabric: &str) -> Vec<id::Host> {
        let state = self.lock();
        let members = state.machines.values().filter(|it| it.entry.fabric == fabric);
        members.map(|it| it.entry.host.clone()).collect()
    }
}

/// Mutation
impl Shared {
    pub(super) async fn fault(self: &Arc<Self>, fault: &Fault) {
        match fault {
            Fault::Kill { host } => self.kill(host),
            Fault::Restart { host } => self.restart(host).await,
            Fault::KillFabric { fabric } => {
                self.members_of(fabric).iter().for_each(|it| self.kill(it));
            }
            Fault::RestartFabric { fabric } => {
                for host in self.members_of(fabric) {
                    self.restart(&host).await;
                }
            }
            Fault::Pause { host } => self.pause(host, true),
            Fault::Resume { host } => self.pause(host, false),
            Fault::Silence { host } => {
                let state = self.lock();
                let server = state.machines.get(host).and_then(|it| it.server.as_ref());
                server.iter().for_each(|it| it.gate().silence());
            }
            Fault::Slow { host, factor } => self.set(host, |it| it.slowdown = *factor),
            Fault::DelayOrders { host, delay_ms } => {
                self.set(host, |it| it.order_delay = *delay_ms);
            }
            Fault::LoseOrderAnswers { host, count } => {
                self.set(host, |it| it.lose_order_answers = *count);
            }
            Fault::Fencing { host, enforced } => self.set(host, |it| it.enforcing = *enforced),
            Fault::Expect { domain, groups } => {
                self.lock().expected.insert(domain.clone(), *groups);
            }
        }
    }

    fn set(&self, host: &str, change: impl FnOnce(&mut Traits)) {
        let mut state = self.lock();
        if let Some(machine) = state.machines.get_mut(host) {
            change(&mut machine.traits);
        }
        state.refresh_replica(host);
    }

    fn pause(&self, host: &str, paused: bool) {
        self.set(host, |it| it.paused = paused);
        let state = self.lock();
        let Some(server) = state.machines.get(host).and_then(|it| it.server.as_ref()) else {
            return;
        };
        if paused { server.gate().pause() } else { server.gate().resume() }
    }

    fn kill(&self, host: &str) {
        let mut state = self.lock();
        state.leave(host);
        let Some(machine) = state.machines.get_mut(host) else { return };
        machine.server = None;
        machine.weights = None;
        machine.fence = 0;
        machine.traits.paused = false;
    }

    async fn restart(self: &Arc<Self>, host: &str) {
        self.kill(host);
        let address = self.lock().machines.get(host).map(|it| it.entry.address.clone());
        let Some(address) = address else { return };
        let address: SocketAddr = address.parse().expect("the server gave the address");
        let server = loop {
            let router = machine::router(self.clone(), host.to_owned());
            match server::Server::start(address.port(), router).await {
                Ok(server) => break server,
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            }
        };
        let mut state = self.lock();
        let incarnation = state.incarnation();
        let Some(machine) = state.machines.get_mut(host) else { return };
        machine.incarnation = incarnation;
        machine.server = Some(server);
    }

    /// Kills all members of a replica and restarts them after the set delay.
    pub(super) fn crash(self: &Arc<Self>, replica: &replica::Replica) {
        if replica.broken.is_cancelled() {
            return;
        }
        self.lock().book.counters.crashes += 1;
        for host in &replica.membership.members {
            self.kill(host);
            let (shared, host) = (self.clone(), host.clone());
            tokio::spawn(async move {
                tokio::time::sleep(shared.options.restart_delay).await;
                shared.restart(&host).await;
            });
        }
    }

    /// Adds up times outside ready groups and samples loads.
    async fn tick(&self) {
        let mut last = Instant::now();
        let mut sampled = last;
        loop {
            tokio::time::sleep(TICK).await;
            let elapsed = last.elapsed();
            last += elapsed;
            let sample = sampled.elapsed() >= self.options.load_lag;
            if sample {
                sampled = last;
            }
            add_up(&mut self.lock(), elapsed.as_secs_f64(), sample);
        }
    }
}

fn add_up(state: &mut state::State, seconds: f64, sample: bool) {
    let mut ready: BTreeMap<id::Domain, u32> = BTreeMap::new();
    for machine in state.machines.values().filter(|it| it.alive()) {
        let domain = &machine.entry.domain;
        if !machine.in_phase(host::Phase::Ready) {
            let stranded = &mut state.book.counters.stranded_seconds;
            *stranded.entry(domain.clone()).or_default() += seconds;
        }
        if let Some(replica) = &machine.replica {
            *ready.entry(domain.clone()).or_default() += 1;
            if sample {
                replica.sample();
            }
        }
    }
    for (domain, expected) in &state.expected {
        let missing = expected.saturating_sub(ready.get(domain).copied().unwrap_or_default());
        let down = &mut state.book.counters.group_down_seconds;
        *down.entry(domain.clone()).or_default() += f64::from(missing) * seconds;
    }
}
