//! Hosts that are slower than usual.
//!
//! A host says how slow it is only when it is asked, so one that was slow is asked again until it isn't.

use std::{collections::BTreeMap, time::Duration};

use crate::id;

/// Factor on the usual times of a host; 1 is the usual pace.
pub type Pace = f64;

/// Pace of a host that is as fast as usual.
pub const USUAL: Pace = 1.0;

/// Pace from which a host counts as slow.
pub const SLOW: Pace = 2.0;

/// Hosts that said that they are slow.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    entries: BTreeMap<id::Host, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    pace: Pace,
    /// When the host is to be asked again.
    ask_at: Duration,
}

/// Access
impl Ledger {
    /// Pace of a host; the usual one if it isn't known to be slow.
    pub fn pace(&self, host: &str) -> Pace {
        self.entries.get(host).map_or(USUAL, |it| it.pace)
    }
}

/// Mutation
impl Ledger {
    /// Notes what a host said, which is to be asked again after `interval` if it is slow; tells whether
    /// that is new.
    pub fn note(&mut self, now: Duration, host: &str, pace: Pace, interval: Duration) -> bool {
        if pace < SLOW {
            return self.entries.remove(host).is_some();
        }
        let entry = Entry { pace, ask_at: now + interval };
        let before = self.entries.insert(host.to_owned(), entry);
        before.is_none_or(|it| it.pace.total_cmp(&pace).is_ne())
    }

    /// Forgets a host.
    pub fn forget(&mut self, host: &str) {
        self.entries.remove(host);
    }

    /// Slow hosts that are to be asked again now; each is named once an interval.
    pub fn due(&mut self, now: Duration, interval: Duration) -> Vec<id::Host> {
        let due = self.entries.iter_mut().filter(|(_, it)| it.ask_at <= now);
        due.map(|(host, it)| {
            it.ask_at = now + interval;
            host.clone()
        })
        .collect()
    }
}
