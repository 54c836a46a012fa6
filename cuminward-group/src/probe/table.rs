//! What is known about the hosts of a failure domain, merged from own probes and other nodes' answers.
//!
//! The newest word about a host wins. A host counts as silent once a prober found it silent and no
//! prober confirmed it for a timeout: one prober that can't reach a host doesn't hide it while the
//! other one can. Between nodes travel the reports that changed since a position, and one octet for each
//! host that says how old its confirmation is, in the order of the hosts' names.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::{host, id};
use cuminward_derive::record;

/// Position in the changes of a table; 0 asks for all.
pub type Position = u64;

/// Unit of the ages that travel between nodes.
pub const AGE_UNIT: Duration = Duration::from_millis(50);

/// Age that stands for all that are larger than can be told.
const OLDEST: u8 = u8::MAX;

/// Removed hosts that are remembered.
const REMOVED: usize = 256;

/// Changes of a table since a position.
#[record]
#[derive(Default)]
pub struct Delta {
    /// Position to ask from next time.
    pub next: Position,
    /// Whether the delta holds every host.
    pub full: bool,
    /// Reports that changed, the load left out.
    pub changed: Vec<host::Report>,
    /// Hosts that aren't known any more.
    pub removed: Vec<id::Host>,
    /// Age of each known host's confirmation in [`AGE_UNIT`], by the order of the names.
    pub ages: Vec<u8>,
    /// Silent hosts with the age of that finding.
    pub silent: Vec<Silence>,
}

/// A host that was found silent.
#[record]
pub struct Silence {
    /// The host.
    pub host: id::Host,
    /// Age of the finding in [`AGE_UNIT`].
    pub age: u8,
}

/// What a table has learned from another one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Update {
    /// Hosts whose report is new.
    pub changed: Vec<host::Observation>,
    /// Hosts that were silent and answer again, with the same report.
    pub recovered: Vec<host::Observation>,
}

/// What is known about hosts.
#[derive(Debug, Default)]
pub struct Table {
    observations: BTreeMap<id::Host, host::Observation>,
    silent: BTreeMap<id::Host, Duration>,
    changed: BTreeMap<id::Host, Position>,
    removed: Vec<(Position, id::Host)>,
    position: Position,
}

/// What another node's table is known to hold.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Start of the other node.
    pub incarnation: id::Incarnation,
    /// Position to ask from.
    pub next: Position,
    reports: BTreeMap<id::Host, host::Report>,
}

/// Life cycle
impl Mirror {
    /// Makes an empty mirror of a start of another node.
    pub fn new(incarnation: id::Incarnation) -> Mirror {
        Mirror { incarnation, ..Mirror::default() }
    }
}

/// Access
impl Table {
    /// Newest observation of each host, silent ones included.
    pub fn observations(&self) -> &BTreeMap<id::Host, host::Observation> {
        &self.observations
    }

    /// Hosts that no prober confirmed for `confirm_timeout` and at least one found silent since.
    pub fn silent_hosts(&self, now: Duration, confirm_timeout: Duration) -> BTreeSet<id::Host> {
        let confirmed = |host: &id::Host| {
            self.observations
                .get(host)
                .is_some_and(|it| now.saturating_sub(it.at) <= confirm_timeout)
        };
        self.silent.keys().filter(|it| !confirmed(it)).cloned().collect()
    }

    /// What changed since a position, as it stands at `now`.
    pub fn changes_since(&self, now: Duration, position: Position) -> Delta {
        let forgotten =
            self.removed.len() >= REMOVED && self.removed.first().is_some_and(|it| position < it.0);
        let full = position == 0 || position > self.position || forgotten;
        let from = if full { 0 } else { position };
        let changed = self.changed.iter().filter(|it| full || *it.1 > from);
        let removed = self.removed.iter().filter(|it| !full && it.0 > from);
        let silence = |(host, at): (&id::Host, &Duration)| Silence {
            host: host.clone(),
            age: encode(now.saturating_sub(*at)),
        };
        Delta {
            next: self.position,
            full,
            changed: changed.map(|it| without_load(&self.observations[it.0].report)).collect(),
            removed: removed.map(|it| it.1.clone()).collect(),
            ages: self.observations.values().map(|it| encode(now.saturating_sub(it.at))).collect(),
            silent: self.silent.iter().map(silence).collect(),
        }
    }
}

/// Mutation
impl Table {
    /// Takes in a report that was asked for at `at`; tells whether it says something new.
    pub fn observe(&mut self, at: Duration, report: host::Report) -> bool {
        let host = report.host.clone();
        if self.silent.get(&host).is_some_and(|it| *it <= at) {
            self.silent.remove(&host);
        }
        let known = self.observations.get(&host);
        if known.is_some_and(|it| at < it.at) {
            return false;
        }
        let new = known.is_none_or(|it| !same(&it.report, &report));
        if new {
            self.position += 1;
            self.changed.insert(host.clone(), self.position);
        }
        self.observations.insert(host, host::Observation { report, at });
        new
    }

    /// Notes that a host was found silent at `at`.
    pub fn mark_silent(&mut self, at: Duration, host: &str) {
        if self.observations.get(host).is_some_and(|it| at < it.at) {
            return;
        }
        let known = self.silent.entry(host.to_owned()).or_insert(at);
        *known = at.max(*known);
    }

    /// Forgets hosts that aren't listed any more.
    pub fn retain(&mut self, listed: &BTreeSet<&id::Host>) {
        self.silent.retain(|it, _| listed.contains(it));
        let gone: Vec<id::Host> =
            self.observations.keys().filter(|it| !listed.contains(it)).cloned().collect();
        for host in gone {
            self.position += 1;
            self.observations.remove(&host);
            self.changed.remove(&host);
            self.removed.push((self.position, host));
        }
        let excess = self.removed.len().saturating_sub(REMOVED);
        self.removed.drain(..excess);
    }

    /// Takes in another node's answer to a question that was asked at `asked`; `None` if the answer
    /// doesn't fit the mirror, which is then to be filled anew.
    pub fn merge(&mut self, asked: Duration, mirror: &mut Mirror, delta: &Delta) -> Option<Update> {
        mirror.apply(delta);
        if mirror.reports.len() != delta.ages.len() {
            *mirror = Mirror::default();
            return None;
        }
        for it in &delta.silent {
            if let Some(age) = decode(it.age) {
                self.mark_silent(asked.saturating_sub(age), &it.host);
            }
        }
        let mut news = Update::default();
        for (report, age) in mirror.reports.values().zip(&delta.ages) {
            let Some(age) = decode(*age) else { continue };
            self.confirm(asked.saturating_sub(age), report, &mut news);
        }
        Some(news)
    }

    /// Takes in that another node confirms a report.
    fn confirm(&mut self, at: Duration, report: &host::Report, news: &mut Update) {
        let known = self.observations.get_mut(&report.host);
        if let Some(known) = known
            && same(&known.report, report)
        {
            known.at = at.max(known.at);
            if self.silent.get(&report.host).is_some_and(|it| *it <= at) {
                self.silent.remove(&report.host);
                news.recovered.push(known.clone());
            }
            return;
        }
        if self.observe(at, report.clone()) {
            news.changed.push(host::Observation { report: report.clone(), at });
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

/// Tells whether two reports differ in nothing but the load.
fn same(left: &host::Report, right: &host::Report) -> bool {
    left.incarnation == right.incarnation
        && left.fence == right.fence
        && left.membership == right.membership
}

fn without_load(report: &host::Report) -> host::Report {
    host::Report { load: None, ..report.clone() }
}

/// Rounds up, so that a confirmation never looks newer than it is.
fn encode(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(OLDEST)
}

fn decode(age: u8) -> Option<Duration> {
    (age != OLDEST).then(|| AGE_UNIT * u32::from(age))
}
