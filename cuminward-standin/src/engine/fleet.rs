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
    counter, machine, order, state,
};
use crate::{reply, server, weights};

/// Interval at which times outside ready groups are added up.
const TICK: Duration = Duration::from_millis(10);

/// All engine hosts; dropping it ends them.
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
                () = ticking.tick() => {}
            }
        });
        Ok(Fleet { shared, control })
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
        self.shared.stop.cancel();
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
    pub fn begun_in_domain_since(&self, domain: &str, since: Instant) -> u64 {
        self.shared.lock().book.begun.since(domain, since)
    }

    /// Requests begun since a time in replicas that have a host as a member.
    pub fn begun_with_member_since(&self, host: &str, since: Instant) -> u64 {
        self.shared.lock().book.begun_with.since(host, since)
    }

    /// Requests begun, by request id; a resumed request begins again.
    pub fn begun_by_request(&self) -> BTreeMap<id::Request, u64> {
        self.shared.lock().book.requests.clone()
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
    pub fn ready_heads(&self) -> Vec<host::Report> {
        let state = self.shared.lock();
        let heads = state.machines.values().filter(|it| it.alive() && it.replica.is_some());
        heads.map(state::Machine::report).collect()
    }

    /// Requests that the replica headed by a host bears now.
    pub fn concurrency_limit(&self, head: &str) -> Option<u32> {
        let state = self.shared.lock();
        state.machines.get(head)?.replica.as_ref().map(|it| it.bound())
    }
}

/// Mutation
impl Fleet {
    /// Forms a group past the order interface and waits until it is ready; the phase is ignored.
    ///
    /// Returns whether the group became ready; it doesn't when a host is dead or in a group.
    pub async fn form(&self, formation: &host::Membership) -> bool {
        for host in &formation.members {
            let node = machine::Node { fleet: self.shared.clone(), host: host.clone() };
            if !order::form_now(&node, formation) {
                return false;
            }
        }
        let Some(head) = formation.members.first() else { return false };
        loop {
            let membership = self.report(head).and_then(|it| it.membership);
            match membership.map(|it| it.phase) {
                Some(host::Phase::Loading) => tokio::time::sleep(TICK).await,
                phase => return phase == Some(host::Phase::Ready),
            }
        }
    }

    /// Changes the behaviour.
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
            let mut state = self.lock();
            state.notice_losses();
            add_up(&mut state, elapsed.as_secs_f64(), sample);
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
