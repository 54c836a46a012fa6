//! Tracking of hosts that are slower than usual.
//!
//! A host reports its slowdown only when it is asked, so a slow host is probed again until it has
//! recovered.

use std::{collections::BTreeMap, time::Duration};

use crate::id;

/// Factor on the usual processing times of a host; 1 is the normal speed.
pub type Factor = f64;

/// Factor of a host at its normal speed.
pub const NORMAL: Factor = 1.0;

/// Factor from which a host counts as slow.
pub const THRESHOLD: Factor = 2.0;

/// Hosts that reported that they are slow.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: BTreeMap<id::Host, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    factor: Factor,
    /// Time at which the host is to be probed again.
    probe_at: Duration,
}

/// Access
impl Tracker {
    /// Returns the slowdown of a host, or [`NORMAL`] if the host isn't known to be slow.
    pub fn factor(&self, host: &str) -> Factor {
        self.entries.get(host).map_or(NORMAL, |it| it.factor)
    }
}

/// Mutation
impl Tracker {
    /// Records the slowdown that a host reported. A slow host is to be probed again after
    /// `interval`. Returns whether the slowdown differs from the one that was known.
    pub fn record(
        &mut self,
        now: Duration,
        host: &str,
        factor: Factor,
        interval: Duration,
    ) -> bool {
        if factor < THRESHOLD {
            return self.entries.remove(host).is_some();
        }
        let entry = Entry { factor, probe_at: now + interval };
        let before = self.entries.insert(host.to_owned(), entry);
        before.is_none_or(|it| it.factor.total_cmp(&factor).is_ne())
    }

    /// Removes a host.
    pub fn forget(&mut self, host: &str) {
        self.entries.remove(host);
    }

    /// Returns the slow hosts that are to be probed now. Each is returned once per `interval`.
    pub fn take_due_probes(&mut self, now: Duration, interval: Duration) -> Vec<id::Host> {
        let due = self.entries.iter_mut().filter(|(_, it)| it.probe_at <= now);
        due.map(|(host, it)| {
            it.probe_at = now + interval;
            host.clone()
        })
        .collect()
    }
}
