//! Hosts that are leaving or have left, so that an older entry in the host list doesn't bring them back.

use std::{collections::BTreeMap, time::Duration};

use crate::{host, id};

/// Maximum number of hosts that are remembered.
const MAX_HOSTS: usize = 512;

/// Hosts that are leaving or have left.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    hosts: BTreeMap<id::Host, Departure>,
}

/// The departure of one incarnation of a host.
#[derive(Debug, Clone)]
struct Departure {
    started_ms: u64,
    at: Duration,
}

/// Access
impl Tracker {
    /// Returns whether an entry says that a host is ready whose incarnation is known to be leaving or to
    /// have left.
    pub fn contradicts(&self, entry: &host::Host) -> bool {
        entry.state == host::State::Ready
            && self.hosts.get(&entry.id).is_some_and(|it| it.started_ms == entry.started_ms)
    }
}

/// Mutation
impl Tracker {
    /// Records that a host was draining, or was removed from the list, at `now`. If too many are known, the
    /// one that left first is forgotten.
    pub fn record(&mut self, now: Duration, host: &host::Host) {
        let departure = Departure { started_ms: host.started_ms, at: now };
        self.hosts.insert(host.id.clone(), departure);
        if self.hosts.len() <= MAX_HOSTS {
            return;
        }
        let oldest = self.hosts.iter().min_by_key(|(_, it)| it.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.hosts.remove(&id);
        }
    }

    /// Forgets the departure of a host that is ready again.
    pub fn forget(&mut self, id: &str) {
        self.hosts.remove(id);
    }
}
