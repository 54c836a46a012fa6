//! Paths from a node to upstreams: its own, and detours through other nodes.
//!
//! A host that this node can't reach may be down, or the node may have lost its path to it. Only another node that
//! reaches the host tells the two apart. A node that has lost its paths to several hosts, and reached none since, is
//! stranded: it takes detours to all hosts, without trying its own path first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Number of hosts that other nodes reach, and this one doesn't, from which the node counts as stranded.
pub const STRANDED_HOSTS: usize = 3;

/// Time for which the detour to a host is taken before the own path is tried again.
const DETOUR_TTL: Duration = Duration::from_secs(2);

/// Time for which no detour is tried to a host that no node reached.
const UNREACHABLE_TTL: Duration = Duration::from_secs(1);

/// Address of a host.
pub type Address = String;

/// Order in which paths to a host are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The own path only.
    Direct,
    /// The own path, then detours.
    DirectFirst,
    /// Detours, then the own path.
    DetourFirst,
}

/// What a node knows about its paths.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    /// Hosts that were reached by a detour only.
    detours: BTreeMap<Address, Detour>,
    /// Hosts that no node reached, with the time until which no detour is tried.
    unreachable: BTreeMap<Address, Duration>,
    /// Hosts to which the own path was lost since the own path to any host last worked.
    lost: BTreeSet<Address>,
    /// When the node became stranded, if it is.
    stranded_since: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Detour {
    since: Duration,
    /// Time until which the detour is taken before the own path is tried again.
    until: Duration,
}

/// Access
impl Tracker {
    /// Returns whether the node has lost its paths to upstreams.
    pub fn is_stranded(&self) -> bool {
        self.stranded_since.is_some()
    }

    /// Returns whether detours are taken to any host.
    pub fn has_detours(&self, now: Duration) -> bool {
        self.is_stranded() || self.detours.values().any(|it| it.until > now)
    }

    /// Returns since when detours to a host are taken; `None` if its own path is tried first.
    pub fn detour_since(&self, now: Duration, address: &str) -> Option<Duration> {
        let detour = self.detours.get(address).filter(|it| it.until > now);
        detour.map(|it| it.since).into_iter().chain(self.stranded_since).min()
    }

    /// Returns the order in which paths to a host are tried.
    pub fn order(&self, now: Duration, address: &str) -> Order {
        if self.detour_since(now, address).is_some() {
            Order::DetourFirst
        } else if self.unreachable.get(address).is_some_and(|until| *until > now) {
            Order::Direct
        } else {
            Order::DirectFirst
        }
    }
}

/// Mutation
impl Tracker {
    /// Records that the own path to a host works. Returns whether the node was stranded until now.
    pub fn record_direct(&mut self, address: &str) -> bool {
        self.detours.remove(address);
        self.unreachable.remove(address);
        self.lost.clear();
        self.stranded_since.take().is_some()
    }

    /// Records that another node reached a host which this node hasn't reached so far.
    pub fn record_detour(&mut self, now: Duration, address: &str) {
        self.detours.retain(|_, it| it.until > now);
        self.unreachable.remove(address);
        let detour = self.detours.entry(address.to_owned());
        detour.or_insert(Detour { since: now, until: now }).until = now + DETOUR_TTL;
    }

    /// Records that the own path to a host that another node reached didn't work. Returns whether the node counts as
    /// stranded only now.
    pub fn record_lost_path(&mut self, now: Duration, address: &str) -> bool {
        self.lost.insert(address.to_owned());
        if self.is_stranded() || self.lost.len() < STRANDED_HOSTS {
            return false;
        }
        self.stranded_since = Some(now);
        true
    }

    /// Records that neither this node nor another one that it asked reached a host.
    pub fn record_unreachable(&mut self, now: Duration, address: &str) {
        self.unreachable.retain(|_, until| *until > now);
        self.unreachable.insert(address.to_owned(), now + UNREACHABLE_TTL);
        self.detours.remove(address);
    }
}
