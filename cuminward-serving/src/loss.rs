//! Tracking of hosts that don't answer.
//!
//! A loss expires after a short time unless it is confirmed repeatedly: a node that was itself
//! cut off from the network considers all hosts lost, and must not act on that once it is connected
//! again. A report of another node is a reason to probe a host, but never marks it as lost.
//!
//! Only a few nodes, the probers of a host, probe it again while it is lost. The other nodes that
//! found it lost themselves go on for as long as they receive reports of nodes that probed it. A
//! node that receives none probes the host itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::id;

/// Number of probe intervals after which a loss expires unless it is confirmed.
const LOSS_INTERVALS: u32 = 2;

/// Time from the first probe that a host didn't answer after which an unanswered probe shows that the host is
/// gone. Together with the time until the first one it is longer than a sound host may be silent.
pub const MAX_SILENCE: Duration = Duration::from_millis(800);

/// Time for which a report of another node that a host is lost is remembered.
const REPORT_TTL: Duration = Duration::from_millis(1000);

/// Time for which a report extends a loss that this node found itself. Longer than the time that a
/// digest of each node takes to reach every other node.
const EXTENSION: Duration = Duration::from_millis(2500);

/// Number of nodes that probe a lost host.
pub const PROBERS: usize = 3;

/// Hosts that didn't answer this node.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: BTreeMap<id::Host, Entry>,
    /// Hosts that other nodes reported as lost, with the time of the first report.
    reported: BTreeMap<id::Host, Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Time of the first unanswered probe.
    since: Duration,
    /// Whether the host refused a connection or was silent for longer than a sound host may be.
    is_gone: bool,
    /// Time at which the loss expires unless it is confirmed by a probe of this node.
    expires_at: Duration,
    /// Time until which reports of other nodes extend the loss.
    extended_until: Duration,
    /// Time at which the host is to be probed again.
    probe_at: Duration,
}

/// Access
impl Entry {
    fn is_lost(&self, now: Duration) -> bool {
        self.expires_at.max(self.extended_until) > now
    }
}

/// Access
impl Tracker {
    /// Returns the hosts that count as lost.
    pub fn lost_hosts(&self, now: Duration) -> BTreeSet<id::Host> {
        let lost = self.entries.iter().filter(|(_, it)| it.is_lost(now));
        lost.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the lost hosts that refuse connections or have been silent for longer than a sound host may be.
    /// There are none if most of the `known` hosts are lost: then it is rather this node that is cut off.
    pub fn gone_hosts(&self, now: Duration, known: usize) -> BTreeSet<id::Host> {
        let lost = self.entries.iter().filter(|(_, it)| it.is_lost(now));
        if lost.clone().count() * 2 > known {
            return BTreeSet::new();
        }
        lost.filter(|(_, it)| it.is_gone).map(|(host, _)| host.clone()).collect()
    }

    /// Returns the hosts that didn't answer a recent probe of this node. Only these are reported to
    /// other nodes, so that nodes don't extend a loss for each other without any probe.
    pub fn probed_losses(&self, now: Duration) -> impl Iterator<Item = &id::Host> {
        self.entries.iter().filter(move |(_, it)| it.expires_at > now).map(|(host, _)| host)
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
        self.record(now, host, interval, false)
    }

    /// Records that a host refused a connection, so that it counts as gone at once; otherwise like
    /// [`Tracker::record_loss`].
    pub fn record_refusal(&mut self, now: Duration, host: &str, interval: Duration) -> bool {
        self.record(now, host, interval, true)
    }

    fn record(&mut self, now: Duration, host: &str, interval: Duration, is_refusal: bool) -> bool {
        self.entries.retain(|_, it| it.is_lost(now));
        let known = self.entries.get(host);
        let since = known.map_or(now, |it| it.since);
        let conclusive_at = since + MAX_SILENCE;
        let is_gone = is_refusal || now >= conclusive_at || known.is_some_and(|it| it.is_gone);
        let probe_at = now + interval;
        let entry = Entry {
            since,
            is_gone,
            expires_at: now + interval * LOSS_INTERVALS,
            extended_until: known.map_or(Duration::ZERO, |it| it.extended_until),
            probe_at: if is_gone { probe_at } else { probe_at.min(conclusive_at) },
        };
        self.entries.insert(host.to_owned(), entry).is_none()
    }

    /// Records that another node reported a host as lost. Returns whether the host is to be probed,
    /// which it isn't if it already counts as lost or was reported a moment ago.
    pub fn record_report(&mut self, now: Duration, host: &str) -> bool {
        let entry = self.entries.get_mut(host).filter(|it| it.is_lost(now));
        let is_lost = entry.is_some();
        if let Some(entry) = entry {
            entry.extended_until = now + EXTENSION;
        }
        if self.has_recent_report(now, host) {
            return false;
        }
        self.reported.retain(|_, at| now.saturating_sub(*at) < REPORT_TTL);
        self.reported.insert(host.to_owned(), now);
        !is_lost
    }

    /// Records that a node no longer reports a host as lost, so that the reports of other nodes no
    /// longer extend the loss. Returns whether the host counted as lost until now.
    pub fn record_withdrawal(&mut self, now: Duration, host: &str) -> bool {
        let Some(entry) = self.entries.get_mut(host).filter(|it| it.is_lost(now)) else {
            return false;
        };
        entry.extended_until = now;
        !entry.is_lost(now)
    }

    /// Removes all losses, as they were found over paths that are lost. Returns whether there were any.
    pub fn clear(&mut self) -> bool {
        let is_changed = !self.entries.is_empty();
        self.entries.clear();
        is_changed
    }

    /// Records that a host answers. Returns whether it counted as lost.
    pub fn clear_loss(&mut self, host: &str) -> bool {
        self.entries.remove(host).is_some()
    }

    /// Returns the lost hosts that are to be probed now. Each is returned once per `interval`, if
    /// `is_prober` says that this node is one of its probers or if no report has extended the loss.
    pub fn take_due_probes(
        &mut self,
        now: Duration,
        interval: Duration,
        is_prober: impl Fn(&str) -> bool,
    ) -> Vec<id::Host> {
        let due = self.entries.iter_mut().filter(|(host, it)| {
            let is_due = it.probe_at <= now && it.is_lost(now);
            is_due && (it.extended_until <= now + interval || is_prober(host))
        });
        due.map(|(host, it)| {
            it.probe_at = now + interval;
            host.clone()
        })
        .collect()
    }

    /// Removes the losses that weren't confirmed in time. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, it| it.is_lost(now));
        self.entries.len() < before
    }
}

/// Returns the hosts that another node reports as lost in `after` and did not report in `before`.
pub fn find_new<'a>(before: &[id::Host], after: &'a [id::Host]) -> Vec<&'a str> {
    after.iter().filter(|it| !before.contains(it)).map(String::as_str).collect()
}
