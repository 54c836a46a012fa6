//! Hosts that are slower than usual.
//!
//! A host says how slow it is only when it is asked, so one that was slow is asked again until it isn't.

use std::{collections::BTreeMap, time::Duration};

use crate::id;

/// Factor on the usual times of a host; 1 is the usual pace.
pub type Factor = f64;

/// Factor of a host that is as fast as usual.
pub const NORMAL: Factor = 1.0;

/// Factor from which a host counts as slow.
pub const THRESHOLD: Factor = 2.0;

/// Hosts that said that they are slow.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: BTreeMap<id::Host, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    factor: Factor,
    /// When the host is to be asked again.
    ask_at: Duration,
}

/// Access
impl Tracker {
    /// Factor of a host; the usual one if it isn't known to be slow.
    pub fn factor(&self, host: &str) -> Factor {
        self.entries.get(host).map_or(NORMAL, |it| it.factor)
    }
}

/// Mutation
impl Tracker {
    /// Notes what a host said, which is to be asked again after `interval` if it is slow; tells whether
    /// that is new.
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
        let entry = Entry { factor, ask_at: now + interval };
        let before = self.entries.insert(host.to_owned(), entry);
        before.is_none_or(|it| it.factor.total_cmp(&factor).is_ne())
    }

    /// Forgets a host.
    pub fn forget(&mut self, host: &str) {
        self.entries.remove(host);
    }

    /// Slow hosts that are to be asked again now; each is named once an interval.
    pub fn take_due_probes(&mut self, now: Duration, interval: Duration) -> Vec<id::Host> {
        let due = self.entries.iter_mut().filter(|(_, it)| it.ask_at <= now);
        due.map(|(host, it)| {
            it.ask_at = now + interval;
            host.clone()
        })
        .collect()
    }
}
