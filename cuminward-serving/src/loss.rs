//! Hosts that don't answer.
//!
//! A loss holds for a short time and has to be confirmed again and again: a node that was cut off
//! itself takes all hosts for lost, and must not act on that once it is back. What other nodes say is a
//! reason to ask, never a loss by itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::id;

/// Intervals between confirmations for which a loss holds.
const HOLDS_FOR: u32 = 2;

/// Time for which it is remembered that another node said that a host is lost.
const RUMOUR_HOLDS: Duration = Duration::from_millis(1000);

/// Hosts that didn't answer this node.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: BTreeMap<id::Host, Entry>,
    /// Hosts that other nodes said are lost, and when the first of them did.
    heard: BTreeMap<id::Host, Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    until: Duration,
    /// When the host is to be asked again.
    ask_at: Duration,
}

/// Access
impl Tracker {
    /// Hosts that count as lost.
    pub fn lost_hosts(&self, now: Duration) -> BTreeSet<id::Host> {
        let lost = self.entries.iter().filter(|(_, it)| it.until > now);
        lost.map(|(host, _)| host.clone()).collect()
    }

    /// Tells whether another node said lately that a host is lost.
    pub fn has_recent_report(&self, now: Duration, host: &str) -> bool {
        let heard = self.heard.get(host);
        heard.is_some_and(|at| now.saturating_sub(*at) < RUMOUR_HOLDS)
    }
}

/// Mutation
impl Tracker {
    /// Notes that a host didn't answer and is to be asked again after `interval`; tells whether it
    /// didn't count as lost before.
    pub fn record_loss(&mut self, now: Duration, host: &str, interval: Duration) -> bool {
        self.entries.retain(|_, it| it.until > now);
        let entry = Entry { until: now + interval * HOLDS_FOR, ask_at: now + interval };
        self.entries.insert(host.to_owned(), entry).is_none()
    }

    /// Notes that another node says that a host is lost; tells whether the host is to be asked, which it
    /// isn't if it counts as lost or if others said so a moment ago.
    pub fn record_report(&mut self, now: Duration, host: &str) -> bool {
        if self.has_recent_report(now, host) {
            return false;
        }
        self.heard.retain(|_, at| now.saturating_sub(*at) < RUMOUR_HOLDS);
        self.heard.insert(host.to_owned(), now);
        self.entries.get(host).is_none_or(|it| it.until <= now)
    }

    /// Notes that a host answers; tells whether it counted as lost.
    pub fn clear_loss(&mut self, host: &str) -> bool {
        self.entries.remove(host).is_some()
    }

    /// Hosts that are to be asked again now; each is named once an interval.
    pub fn take_due_probes(&mut self, now: Duration, interval: Duration) -> Vec<id::Host> {
        let due = self.entries.iter_mut().filter(|(_, it)| it.ask_at <= now && it.until > now);
        due.map(|(host, it)| {
            it.ask_at = now + interval;
            host.clone()
        })
        .collect()
    }

    /// Forgets losses that weren't confirmed; tells whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, it| it.until > now);
        self.entries.len() < before
    }
}

/// Hosts that another node says are lost and didn't say so before.
pub fn find_new<'a>(before: &[id::Host], after: &'a [id::Host]) -> Vec<&'a str> {
    after.iter().filter(|it| !before.contains(it)).map(String::as_str).collect()
}
