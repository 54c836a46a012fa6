//! Paths from a node to upstreams: its own, and detours through other nodes.
//!
//! A host that this node can't reach may be down, or the node may have lost its path to it. Only another node that
//! reaches the host tells the two apart. A node that has lost its paths to several hosts, and reaches none of the
//! others, is stranded: it takes detours to all hosts, without trying its own path first.

use std::{collections::BTreeMap, time::Duration};

/// Number of hosts that other nodes reach, and this one doesn't, from which the node may be stranded.
pub const STRANDED_HOSTS: usize = 3;

/// Time for which the detour to a host is taken before the own path is tried again.
const DETOUR_TTL: Duration = Duration::from_secs(2);

/// Time for which a lost path is taken as a sign that the node may be stranded.
const LOST_TTL: Duration = Duration::from_secs(3);

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
    /// Hosts that were reached by a detour sooner, with the time until which it is taken first.
    detours: BTreeMap<Address, Duration>,
    /// Hosts that no node reached, with the time until which no detour is tried.
    unreachable: BTreeMap<Address, Duration>,
    /// Hosts that other nodes reach, with the time when the own path to them was lost.
    lost: BTreeMap<Address, Duration>,
    is_stranded: bool,
}

/// Access
impl Tracker {
    /// Returns whether the node has lost its paths to upstreams.
    pub fn is_stranded(&self) -> bool {
        self.is_stranded
    }

    /// Returns whether the node has lost its paths to several hosts. It is stranded if it reaches none of the
    /// others.
    pub fn is_suspect(&self, now: Duration) -> bool {
        !self.is_stranded && self.lost_paths(now).count() >= STRANDED_HOSTS
    }

    /// Returns the hosts to which the own path was lost lately.
    pub fn lost_paths(&self, now: Duration) -> impl Iterator<Item = &Address> {
        let recent = move |at: &Duration| now.saturating_sub(*at) < LOST_TTL;
        self.lost.iter().filter(move |(_, at)| recent(at)).map(|(address, _)| address)
    }

    /// Returns when the own path to a host was lost; `None` if it may work.
    pub fn path_lost_at(&self, address: &str) -> Option<Duration> {
        self.lost.get(address).copied()
    }

    /// Returns the order in which paths to a host are tried.
    pub fn order(&self, now: Duration, address: &str) -> Order {
        let is_valid = |it: Option<&Duration>| it.is_some_and(|until| *until > now);
        if self.is_stranded || is_valid(self.detours.get(address)) {
            Order::DetourFirst
        } else if is_valid(self.unreachable.get(address)) {
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
        std::mem::take(&mut self.is_stranded)
    }

    /// Records that another node reached a host sooner than this node.
    pub fn record_detour(&mut self, now: Duration, address: &str) {
        self.detours.retain(|_, until| *until > now);
        self.unreachable.remove(address);
        self.detours.insert(address.to_owned(), now + DETOUR_TTL);
    }

    /// Records that the own path to a host that another node reached didn't work.
    pub fn record_lost_path(&mut self, now: Duration, address: &str) {
        self.lost.insert(address.to_owned(), now);
    }

    /// Records that the node has lost its paths to several hosts and reaches none of the others.
    pub fn record_stranded(&mut self) {
        self.is_stranded = true;
    }

    /// Records that neither this node nor another one that it asked reached a host.
    pub fn record_unreachable(&mut self, now: Duration, address: &str) {
        self.unreachable.retain(|_, until| *until > now);
        self.unreachable.insert(address.to_owned(), now + UNREACHABLE_TTL);
        self.detours.remove(address);
    }
}
