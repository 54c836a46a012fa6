//! Schedules the probes of the hosts that are assigned to this node.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id, rendezvous};
use cuminward_group::probe::{self, detector, interval};
use cuminward_platform::hosts;
use cuminward_upstream::poll;

use crate::state;

/// Maximum delay before a failed probe is repeated.
const RETRY: Duration = Duration::from_millis(300);

/// Schedule of the probes of this node.
#[derive(Default)]
pub(super) struct Schedule {
    watches: BTreeMap<id::Host, Watch>,
    hosts: Arc<hosts::List>,
    nodes: Vec<id::Node>,
    interval: Duration,
    options: detector::Options,
}

/// Probe state of one host.
struct Watch {
    entry: host::Entry,
    next: Duration,
    /// Delay of the second probe, which spreads the probes of a host's probers over the interval.
    offset: Option<Duration>,
    in_flight: bool,
    suspicion: detector::Detector,
    silent: bool,
    known: Option<poll::Snapshot>,
}

/// Change of a host's state by a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// No change.
    None,
    /// The host counts as silent from now on.
    Silent,
    /// The host answers again after it was silent.
    Recovered,
}

/// Access
impl Schedule {
    /// Returns whether a host counts as silent.
    pub(super) fn is_silent(&self, host: &str) -> bool {
        self.watches.get(host).is_some_and(|it| it.silent)
    }
}

/// Mutation
impl Schedule {
    /// Updates the assigned hosts from the host list and the live nodes.
    pub(super) fn update(
        &mut self,
        state: &state::State,
        now: Duration,
        nodes: Vec<id::Node>,
        intervals: interval::Intervals,
    ) {
        self.interval = intervals.probe;
        let hosts = state.hosts.load_full();
        if Arc::ptr_eq(&hosts, &self.hosts) && nodes == self.nodes {
            return;
        }
        (self.hosts, self.nodes) = (hosts, nodes);
        let own =
            |it: &&host::Entry| it.role != host::Role::Node && it.domain == state.settings.domain;
        let entries: BTreeMap<&id::Host, &host::Entry> =
            self.hosts.hosts.iter().filter(own).map(|it| (&it.host, it)).collect();
        state.observations().retain(&entries.keys().copied().collect());
        let node = &state.settings.node;
        let probers =
            if intervals.pull.is_some() { probe::PROBERS_PER_HOST } else { self.nodes.len() };
        let share = probe::assigned_hosts(node, &self.nodes, entries.keys().copied(), probers);
        let mut old = std::mem::take(&mut self.watches);
        for host in share {
            let kept = old.remove(host).filter(|it| it.entry.address == entries[host].address);
            let watch = kept.unwrap_or_else(|| Watch {
                entry: entries[host].clone(),
                next: now,
                offset: Some(offset(node, host, intervals.probe)),
                in_flight: false,
                suspicion: detector::Detector::default(),
                silent: false,
                known: None,
            });
            self.watches.insert(host.clone(), watch);
        }
    }

    /// Returns the hosts to probe now, with the last report of each, and marks their probes as in
    /// flight.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<(host::Entry, Option<poll::Snapshot>)> {
        let interval = self.interval;
        let due = self.watches.values_mut().filter(|it| !it.in_flight && it.next <= now);
        due.map(|it| {
            it.in_flight = true;
            it.next = now + it.offset.take().unwrap_or(interval);
            (it.entry.clone(), it.known.clone())
        })
        .collect()
    }

    /// Stores the last report of a host.
    pub(super) fn store_report(&mut self, host: &str, known: poll::Snapshot) {
        if let Some(watch) = self.watches.get_mut(host) {
            watch.known = Some(known);
        }
    }

    /// Records the result of a probe; returns `None` if the host is not assigned to this node any
    /// more.
    pub(super) fn record_result(
        &mut self,
        now: Duration,
        host: &str,
        probe: detector::Outcome,
    ) -> Option<Change> {
        let watch = self.watches.get_mut(host)?;
        watch.in_flight = false;
        if !matches!(probe, detector::Outcome::Answered { .. }) {
            watch.next = watch.next.min(now + RETRY);
        }
        let (verdict, _) = watch.suspicion.record(probe, &self.options);
        let before = watch.silent;
        watch.silent = matches!(verdict, detector::Verdict::Dead | detector::Verdict::Paused);
        Some(match (before, watch.silent) {
            (false, true) => Change::Silent,
            (true, false) => Change::Recovered,
            _ => Change::None,
        })
    }
}

/// Returns the delay of this node's probes of a host within the interval, by a hash of both names.
fn offset(node: &str, host: &str, interval: Duration) -> Duration {
    let weight = rendezvous::weight(node, host) as u32;
    interval.mul_f64(f64::from(weight) / f64::from(u32::MAX))
}
