//! Which hosts this node probes, and when.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id, rendezvous};
use cuminward_group::probe::{self, detector, interval};
use cuminward_platform::hosts;
use cuminward_upstream::poll;

use crate::state;

/// Time after which a probe that failed is repeated, where the interval is longer.
const RETRY: Duration = Duration::from_millis(300);

/// The probes of this node.
#[derive(Default)]
pub(super) struct Schedule {
    watches: BTreeMap<id::Host, Watch>,
    hosts: Arc<hosts::List>,
    nodes: Vec<id::Node>,
    interval: Duration,
    options: detector::Options,
}

/// The probes of one host.
struct Watch {
    entry: host::Entry,
    next: Duration,
    /// Shift of the second probe, so that the probers of a host take turns.
    shift: Option<Duration>,
    under_way: bool,
    suspicion: detector::Detector,
    silent: bool,
    known: Option<poll::Snapshot>,
}

/// What a probe changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing.
    None,
    /// The host counts as silent from now on.
    Silent,
    /// The host answers again.
    Answers,
}

/// Access
impl Schedule {
    /// Tells whether a host counts as silent.
    pub(super) fn is_silent(&self, host: &str) -> bool {
        self.watches.get(host).is_some_and(|it| it.silent)
    }
}

/// Mutation
impl Schedule {
    /// Brings the hosts in line with the host list and the live nodes.
    pub(super) fn update(
        &mut self,
        state: &state::State,
        now: Duration,
        nodes: Vec<id::Node>,
        pace: interval::Intervals,
    ) {
        self.interval = pace.probe;
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
        let probers = if pace.pull.is_some() { probe::PROBERS_PER_HOST } else { self.nodes.len() };
        let share = probe::assigned_hosts(node, &self.nodes, entries.keys().copied(), probers);
        let mut old = std::mem::take(&mut self.watches);
        for host in share {
            let kept = old.remove(host).filter(|it| it.entry.address == entries[host].address);
            let watch = kept.unwrap_or_else(|| Watch {
                entry: entries[host].clone(),
                next: now,
                shift: Some(shift(node, host, pace.probe)),
                under_way: false,
                suspicion: detector::Detector::default(),
                silent: false,
                known: None,
            });
            self.watches.insert(host.clone(), watch);
        }
    }

    /// Hosts to probe now, with what they last answered.
    pub(super) fn due(&mut self, now: Duration) -> Vec<(host::Entry, Option<poll::Snapshot>)> {
        let interval = self.interval;
        let due = self.watches.values_mut().filter(|it| !it.under_way && it.next <= now);
        due.map(|it| {
            it.under_way = true;
            it.next = now + it.shift.take().unwrap_or(interval);
            (it.entry.clone(), it.known.clone())
        })
        .collect()
    }

    /// Keeps what a host answered.
    pub(super) fn learned(&mut self, host: &str, known: poll::Snapshot) {
        if let Some(watch) = self.watches.get_mut(host) {
            watch.known = Some(known);
        }
    }

    /// Takes in how a probe ended; `None` if the host isn't this node's any more.
    pub(super) fn ended(
        &mut self,
        now: Duration,
        host: &str,
        probe: detector::Outcome,
    ) -> Option<Change> {
        let watch = self.watches.get_mut(host)?;
        watch.under_way = false;
        if !matches!(probe, detector::Outcome::Answered { .. }) {
            watch.next = watch.next.min(now + RETRY);
        }
        let (verdict, _) = watch.suspicion.record(probe, &self.options);
        let before = watch.silent;
        watch.silent = matches!(verdict, detector::Verdict::Dead | detector::Verdict::Paused);
        Some(match (before, watch.silent) {
            (false, true) => Change::Silent,
            (true, false) => Change::Answers,
            _ => Change::None,
        })
    }
}

/// Part of the interval that is this node's own for a host.
fn shift(node: &str, host: &str, interval: Duration) -> Duration {
    let weight = rendezvous::weight(node, host) as u32;
    interval.mul_f64(f64::from(weight) / f64::from(u32::MAX))
}
