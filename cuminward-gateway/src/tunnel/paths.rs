//! Paths of this node to hosts, and the nodes through which it can take detours.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    id,
    path::{Address, Order, Tracker},
};
use rand::seq::IteratorRandom;

/// Time for which other nodes are asked first after a node didn't connect this one to a host.
const RELAY_BACKOFF: Duration = Duration::from_secs(1);

/// Another node that connects this one to hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    pub(crate) is_same_domain: bool,
}

/// What this node knows about paths. Requests read it only when they open a connection.
pub(crate) struct Paths {
    /// Start of the node, from which times are counted.
    started: Instant,
    events: Arc<Sink>,
    tracker: Mutex<Tracker>,
    /// Whether the node is stranded, as in `tracker`.
    is_stranded: AtomicBool,
    /// Hosts to which the own path was lost since they were last taken from here.
    newly_lost: Mutex<Vec<Address>>,
    /// Hosts by address.
    hosts: ArcSwap<HashMap<Address, id::Host>>,
    relays: ArcSwap<Vec<Relay>>,
    /// Nodes that didn't connect this one to a host lately, with the time until which others are asked first.
    failed_relays: Mutex<HashMap<SocketAddr, Duration>>,
}

/// Life cycle
impl Paths {
    pub(crate) fn new(started: Instant, events: Arc<Sink>) -> Paths {
        Paths {
            started,
            events,
            tracker: Mutex::default(),
            is_stranded: AtomicBool::new(false),
            newly_lost: Mutex::default(),
            hosts: ArcSwap::default(),
            relays: ArcSwap::default(),
            failed_relays: Mutex::default(),
        }
    }
}

/// Access
impl Paths {
    /// Returns whether this node has lost its paths to hosts.
    pub(crate) fn is_stranded(&self) -> bool {
        self.is_stranded.load(Ordering::Relaxed)
    }

    /// Returns whether the own path to any host was lost lately.
    pub(crate) fn has_lost_paths(&self) -> bool {
        self.tracker().lost_paths(self.now()).next().is_some()
    }

    /// Returns when the own path to a host was lost, since the node's start; `None` if it may work.
    pub(crate) fn path_lost_at(&self, address: &str) -> Option<Duration> {
        self.tracker().path_lost_at(address)
    }

    /// Returns whether this node has lost its paths to several hosts, and the others have to be tried.
    pub(super) fn is_suspect(&self) -> bool {
        self.tracker().is_suspect(self.now())
    }

    /// Returns the order in which paths to a host are tried.
    pub(super) fn order(&self, address: &str) -> Order {
        self.tracker().order(self.now(), address)
    }

    /// Returns the host at an address.
    pub(super) fn host_at(&self, address: &str) -> Option<id::Host> {
        self.hosts.load().get(address).cloned()
    }

    /// Returns the addresses of up to `count` hosts to which the own path wasn't lost lately, in random order.
    pub(super) fn other_addresses(&self, count: usize) -> Vec<Address> {
        let lost: BTreeSet<Address> = self.tracker().lost_paths(self.now()).cloned().collect();
        let hosts = self.hosts.load();
        let others = hosts.keys().filter(|it| !lost.contains(*it)).cloned();
        others.sample(&mut rand::rng(), count)
    }

    /// Returns the address of any host.
    pub(super) fn any_address(&self) -> Option<Address> {
        self.hosts.load().keys().choose(&mut rand::rng()).cloned()
    }

    /// Returns the nodes that connect this one to hosts: those that failed lately are left out unless all have.
    pub(super) fn relays(&self) -> Vec<Relay> {
        let (now, failed) = (self.now(), self.failed_relays());
        let has_failed = |it: &Relay| failed.get(&it.address).is_some_and(|until| *until > now);
        let relays = self.relays.load();
        let sound: Vec<Relay> = relays.iter().filter(|it| !has_failed(it)).copied().collect();
        if sound.is_empty() { relays.to_vec() } else { sound }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn failed_relays(&self) -> MutexGuard<'_, HashMap<SocketAddr, Duration>> {
        self.failed_relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn newly_lost(&self) -> MutexGuard<'_, Vec<Address>> {
        self.newly_lost.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Paths {
    /// Replaces the hosts.
    pub(crate) fn set_hosts(&self, hosts: HashMap<Address, id::Host>) {
        self.hosts.store(Arc::new(hosts));
    }

    /// Replaces the nodes that connect this one to hosts.
    pub(crate) fn set_relays(&self, relays: Vec<Relay>) {
        if **self.relays.load() != relays {
            self.relays.store(Arc::new(relays));
        }
    }

    /// Returns the hosts to which the own path was lost since the last call.
    pub(super) fn take_newly_lost(&self) -> Vec<Address> {
        std::mem::take(&mut *self.newly_lost())
    }

    /// Records that the own path to a host works.
    pub(super) fn record_direct(&self, address: &str) {
        let mut tracker = self.tracker();
        let is_regained = tracker.record_direct(address);
        self.is_stranded.store(tracker.is_stranded(), Ordering::Relaxed);
        drop(tracker);
        if is_regained {
            self.events.emit(Kind::PathsRegained { address: address.to_owned() });
        }
    }

    /// Records that another node reached a host sooner than this node.
    pub(super) fn record_detour(&self, address: &str) {
        self.tracker().record_detour(self.now(), address);
    }

    /// Records that the own path to a host that another node reached didn't work.
    pub(super) fn record_lost_path(&self, address: &str) {
        self.tracker().record_lost_path(self.now(), address);
        self.newly_lost().push(address.to_owned());
    }

    /// Records that this node reaches none of the hosts that it tried, while other nodes reach some.
    pub(super) fn record_stranded(&self) {
        let mut tracker = self.tracker();
        let lost = tracker.lost_paths(self.now()).count() as u64;
        tracker.record_stranded();
        self.is_stranded.store(true, Ordering::Relaxed);
        drop(tracker);
        let relays = self.relays.load().len() as u64;
        self.events.emit(Kind::PathsLost { hosts: lost, relays });
    }

    /// Records whether another node connected this one to a host.
    pub(super) fn record_relay(&self, relay: SocketAddr, is_connected: bool) {
        if is_connected {
            self.failed_relays().remove(&relay);
        } else {
            self.failed_relays().insert(relay, self.now() + RELAY_BACKOFF);
        }
    }

    /// Records that neither this node nor another one that it asked reached a host.
    pub(super) fn record_unreachable(&self, address: &str) {
        self.tracker().record_unreachable(self.now(), address);
    }
}
