//! Tracking of hosts that don't answer.
//!
//! A loss expires after a short time unless it is confirmed repeatedly: a node that was itself
//! cut off from the network considers all hosts lost, and must not act on that once it is connected
//! again. A report of another node is a reason to probe a host, but never marks it as lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::id;

/// Number of probe intervals after which a loss expires unless it is confirmed.
const LOSS_INTERVALS: u32 = 2;

/// Time for which a report of another node that a host is lost is remembered.
const REPORT_TTL: Duration = Duration::from_millis(1000);

/// Hosts that didn't answer this node.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: BTreeMap<id::Host, Entry>,
    /// Hosts that other nodes reported as lost, with the time of the first report.
    reported: BTreeMap<id::Host, Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Time at which the loss expires unless it is confirmed.
    expires_at: Duration,
    /// Time at which the host is to be probed again.
    probe_at: Duration,
}

/// Access
impl Tracker {
    /// Returns the hosts that count as lost.
    pub fn lost_hosts(&self, now: Duration) -> BTreeSet<id::Host> {
        let lost = self.entries.iter().filter(|(_, it)| it.expires_at > now);
        lost.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether another node has recently reported that a host is lost.
    pub fn has_recent_report(&self, now: Duration, host: &str) -> bool {
        let reported = self.reported.get(host);
        reported.is_some_and(|at| now.saturating_sub(*at) < REPORT_TTL)
    }
}

/// Mutation
impl Tracker {
    /// Records that a host didn't answer; it is to be probed again after `interval`. Returns
    /// whether the host didn't count as lost before.
    pub fn record_loss(&mut self, now: Duration, host: &str, interval: Duration) -> bool {
        self.entries.retain(|_, it| it.expires_at > now);
        let entry = Entry { expires_at: now + interval * LOSS_INTERVALS, probe_at: now + interval };
        self.entries.insert(host.to_owned(), entry).is_none()
    }

    /// Records that another node reported a host as lost. Returns whether the host is to be probed,
    /// which it isn't if it already counts as lost or was reported a moment ago.
    pub fn record_report(&mut self, now: Duration, host: &str) -> bool {
        if self.has_recent_report(now, host) {
            return false;
        }
        self.reported.retain(|_, at| now.saturating_sub(*at) < REPORT_TTL);
        self.reported.insert(host.to_owned(), now);
        self.entries.get(host).is_none_or(|it| it.expires_at <= now)
    }

    /// Records that a host answers. Returns whether it counted as lost.
    pub fn clear_loss(&mut self, host: &str) -> bool {
        self.entries.remove(host).is_some()
    }

    /// Returns the lost hosts that are to be probed now. Each is returned once per `interval`.
    pub fn take_due_probes(&mut self, now: Duration, interval: Duration) -> Vec<id::Host> {
        let due =
            self.entries.iter_mut().filter(|(_, it)| it.probe_at <= now && it.expires_at > now);
        due.map(|(host, it)| {
            it.probe_at = now + interval;
            host.clone()
        })
        .collect()
    }

    /// Removes the losses that weren't confirmed in time. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, it| it.expires_at > now);
        self.entries.len() < before
    }
}

/// Returns the hosts that another node reports as lost in `after` and did not report in `before`.
pub fn find_new<'a>(before: &[id::Host], after: &'a [id::Host]) -> Vec<&'a str> {
    after.iter().filter(|it| !before.contains(it)).map(String::as_str).collect()
}
