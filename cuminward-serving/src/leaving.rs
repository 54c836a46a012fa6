//! Hosts that said in a response that they are leaving. Only a newer start of a host ends that.

use std::{collections::BTreeMap, time::Duration};

use cuminward_derive::record;

use crate::{host, id};

/// Maximum number of hosts that are remembered.
const MAX_HOSTS: usize = 4096;

/// One start of a host.
#[record]
pub struct Start {
    /// The host.
    pub host: id::Host,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// The newest start of each host that said that it is leaving.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    hosts: BTreeMap<id::Host, Departure>,
}

/// A start of a host that is leaving.
#[derive(Debug, Clone)]
struct Departure {
    started_ms: u64,
    /// When this node learnt of it.
    found_at: Duration,
}

/// Access
impl Tracker {
    /// Returns whether a start of a host, or a newer one, is known to be leaving.
    pub fn contains(&self, host: &str, started_ms: u64) -> bool {
        self.hosts.get(host).is_some_and(|it| started_ms <= it.started_ms)
    }

    /// Returns the number of hosts that are leaving.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no host is leaving.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Iterates over the starts of hosts that this node found to be leaving within `time`.
    pub fn news(&self, now: Duration, time: Duration) -> impl Iterator<Item = Start> {
        let recent = self.hosts.iter().filter(move |(_, it)| now < it.found_at + time);
        recent.map(|(host, it)| Start { host: host.clone(), started_ms: it.started_ms })
    }
}

/// Mutation
impl Tracker {
    /// Records at `now` that a start of a host is leaving. Returns whether that is new. If too many hosts are known, the
    /// one that was found first is forgotten.
    pub fn record(&mut self, now: Duration, start: &Start) -> bool {
        if self.contains(&start.host, start.started_ms) {
            return false;
        }
        let departure = Departure { started_ms: start.started_ms, found_at: now };
        self.hosts.insert(start.host.clone(), departure);
        if self.hosts.len() > MAX_HOSTS {
            let first = self.hosts.iter().min_by_key(|(_, it)| it.found_at);
            if let Some(id) = first.map(|(id, _)| id.clone()) {
                self.hosts.remove(&id);
            }
        }
        true
    }

    /// Forgets that an earlier start of a listed host was leaving. Returns whether one was.
    pub fn clear_earlier(&mut self, host: &host::Host) -> bool {
        let is_earlier = self.hosts.get(&host.id).is_some_and(|it| it.started_ms < host.started_ms);
        is_earlier && self.hosts.remove(&host.id).is_some()
    }
}
