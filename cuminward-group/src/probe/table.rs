//! Table of host observations of a failure domain, merged from this node's probes and from other nodes.
//!
//! The newest observation of a host wins. A host counts as silent once a prober found it silent and no
//! prober confirmed it for a timeout: one prober that can't reach a host doesn't hide it while the
//! other one can. Nodes exchange deltas (anti-entropy): the reports that changed since a position, and for
//! each host one octet with the age of its last confirmation, in the order of the hosts' names.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::{host, id};
use cuminward_derive::record;

/// Position in the sequence of changes of a table; 0 requests all of them.
pub type Position = u64;

/// Unit of the ages that nodes exchange.
pub const AGE_UNIT: Duration = Duration::from_millis(50);

/// Encoded age of everything too old to encode.
const AGE_OVERFLOW: u8 = u8::MAX;

/// Number of removed hosts that a table keeps for deltas; an older position gets the full table.
const MAX_REMOVED: usize = 256;

/// Changes of a table since a position.
#[record]
#[derive(Default)]
pub struct Delta {
    /// Position from which to request the next delta.
    pub next: Position,
    /// Whether the delta holds every host.
    pub full: bool,
    /// Reports that changed, the load left out.
    pub changed: Vec<host::Report>,
    /// Hosts that were removed from the table.
    pub removed: Vec<id::Host>,
    /// Age of each host's last confirmation in [`AGE_UNIT`], in the order of the names.
    pub ages: Vec<u8>,
    /// Hosts that were found silent.
    pub silent: Vec<Silence>,
}

/// A host that a prober found silent.
#[record]
pub struct Silence {
    /// The host.
    pub host: id::Host,
    /// Time since the host was found silent, in [`AGE_UNIT`].
    pub age: u8,
}

/// Changes of a table by a merge.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Update {
    /// Hosts whose report is new.
    pub changed: Vec<host::Observation>,
    /// Hosts that were silent and answer again, with the same report.
    pub recovered: Vec<host::Observation>,
}

/// Observations of the hosts of a failure domain.
#[derive(Debug, Default)]
pub struct Table {
    observations: BTreeMap<id::Host, host::Observation>,
    silent: BTreeMap<id::Host, Duration>,
    changed: BTreeMap<id::Host, Position>,
    removed: Vec<(Position, id::Host)>,
    position: Position,
}

/// Copy of the reports in another node's table, brought up to date by deltas.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Incarnation of the other node.
    pub incarnation: id::Incarnation,
    /// Position from which to request the next delta.
    pub next: Position,
    reports: BTreeMap<id::Host, host::Report>,
}

/// Life cycle
impl Mirror {
    /// Makes an empty mirror of another node with this incarnation.
    pub fn new(incarnation: id::Incarnation) -> Mirror {
        Mirror { incarnation, ..Mirror::default() }
    }
}

/// Access
impl Table {
    /// Returns the newest observation of each host, silent ones included.
    pub fn observations(&self) -> &BTreeMap<id::Host, host::Observation> {
        &self.observations
    }

    /// Returns the hosts that at least one prober found silent and none has confirmed for `confirm_timeout`.
    pub fn silent_hosts(&self, now: Duration, confirm_timeout: Duration) -> BTreeSet<id::Host> {
        let confirmed = |host: &id::Host| {
            self.observations
                .get(host)
                .is_some_and(|it| now.saturating_sub(it.at) <= confirm_timeout)
        };
        self.silent.keys().filter(|it| !confirmed(it)).cloned().collect()
    }

    /// Returns the changes since a position, with ages as of `now`.
    pub fn changes_since(&self, now: Duration, position: Position) -> Delta {
        let forgotten = self.removed.len() >= MAX_REMOVED
            && self.removed.first().is_some_and(|it| position < it.0);
        let full = position == 0 || position > self.position || forgotten;
        let from = if full { 0 } else { position };
        let changed = self.changed.iter().filter(|it| full || *it.1 > from);
        let removed = self.removed.iter().filter(|it| !full && it.0 > from);
        let silence = |(host, at): (&id::Host, &Duration)| Silence {
            host: host.clone(),
            age: encode_age(now.saturating_sub(*at)),
        };
        Delta {
            next: self.position,
            full,
            changed: changed.map(|it| without_load(&self.observations[it.0].report)).collect(),
            removed: removed.map(|it| it.1.clone()).collect(),
            ages: self
                .observations
                .values()
                .map(|it| encode_age(now.saturating_sub(it.at)))
                .collect(),
            silent: self.silent.iter().map(silence).collect(),
        }
    }
}

/// Mutation
impl Table {
    /// Merges a report that was requested at `at`; returns whether it differs from the previous one in more
    /// than the load.
    pub fn observe(&mut self, at: Duration, report: host::Report) -> bool {
        let host = report.host.clone();
        if self.silent.get(&host).is_some_and(|it| *it <= at) {
            self.silent.remove(&host);
        }
        let known = self.observations.get(&host);
        if known.is_some_and(|it| at < it.at) {
            return false;
        }
        let new = known.is_none_or(|it| !equal_apart_from_load(&it.report, &report));
        if new {
            self.position += 1;
            self.changed.insert(host.clone(), self.position);
        }
        self.observations.insert(host, host::Observation { report, at });
        new
    }

    /// Records that a host was found silent at `at`; ignored if a newer report exists.
    pub fn mark_silent(&mut self, at: Duration, host: &str) {
        if self.observations.get(host).is_some_and(|it| at < it.at) {
            return;
        }
        let known = self.silent.entry(host.to_owned()).or_insert(at);
        *known = at.max(*known);
    }

    /// Removes the hosts that aren't listed any more.
    pub fn retain(&mut self, listed: &BTreeSet<&id::Host>) {
        self.silent.retain(|it, _| listed.contains(it));
        let unlisted: Vec<id::Host> =
            self.observations.keys().filter(|it| !listed.contains(it)).cloned().collect();
        for host in unlisted {
            self.position += 1;
            self.observations.remove(&host);
            self.changed.remove(&host);
            self.removed.push((self.position, host));
        }
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        self.removed.drain(..excess);
    }

    /// Merges a delta that was requested from another node at `asked`.
    ///
    /// Returns `None` if the delta doesn't match the mirror; the mirror is then reset, and the next request
    /// gets the full table.
    pub fn merge(&mut self, asked: Duration, mirror: &mut Mirror, delta: &Delta) -> Option<Update> {
        mirror.apply(delta);
        if mirror.reports.len() != delta.ages.len() {
            *mirror = Mirror::default();
            return None;
        }
        for it in &delta.silent {
            if let Some(age) = decode_age(it.age) {
                self.mark_silent(asked.saturating_sub(age), &it.host);
            }
        }
        let mut update = Update::default();
        for (report, age) in mirror.reports.values().zip(&delta.ages) {
            let Some(age) = decode_age(*age) else { continue };
            self.confirm(asked.saturating_sub(age), report, &mut update);
        }
        Some(update)
    }

    /// Merges a report that another node confirmed at `at`.
    fn confirm(&mut self, at: Duration, report: &host::Report, update: &mut Update) {
        let known = self.observations.get_mut(&report.host);
        if let Some(known) = known
            && equal_apart_from_load(&known.report, report)
        {
            known.at = at.max(known.at);
            if self.silent.get(&report.host).is_some_and(|it| *it <= at) {
                self.silent.remove(&report.host);
                update.recovered.push(known.clone());
            }
            return;
        }
        if self.observe(at, report.clone()) {
            update.changed.push(host::Observation { report: report.clone(), at });
        }
    }
}

/// Mutation
impl Mirror {
    fn apply(&mut self, delta: &Delta) {
        if delta.full {
            self.reports.clear();
        }
        for host in &delta.removed {
            self.reports.remove(host);
        }
        for report in &delta.changed {
            self.reports.insert(report.host.clone(), report.clone());
        }
        self.next = delta.next;
    }
}

/// Returns whether two reports of a host are equal apart from the load.
fn equal_apart_from_load(left: &host::Report, right: &host::Report) -> bool {
    left.incarnation == right.incarnation
        && left.fence == right.fence
        && left.membership == right.membership
}

fn without_load(report: &host::Report) -> host::Report {
    host::Report { load: None, ..report.clone() }
}

/// Encodes an age in units of [`AGE_UNIT`], rounded up so that a confirmation never looks newer than it is.
fn encode_age(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(AGE_OVERFLOW)
}

fn decode_age(age: u8) -> Option<Duration> {
    (age != AGE_OVERFLOW).then(|| AGE_UNIT * u32::from(age))
}
