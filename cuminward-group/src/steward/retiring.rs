//! Retiring groups, which drain before they are released, and dark fabric domains.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;

use super::{Output, Steward, event, hosts};
use crate::{placement, probe::fabric_outage};

/// Retiring groups by name and generation.
pub(super) type Retiring = BTreeMap<(id::Group, id::Generation), Entry>;

/// A group that drains before its release.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// When the group began to retire.
    since: Duration,
    /// When the group is released at the latest.
    until: Duration,
    /// Why the group is released.
    cause: placement::Cause,
    /// First member, which reports the group's load.
    head: Option<id::Host>,
}

/// Retiring groups
impl Steward {
    /// Releases a group at once, or drains it first if it is whole.
    pub(super) fn retire(
        &mut self,
        now: Duration,
        fence: id::Fence,
        input: &placement::Input,
        release: placement::Release,
    ) {
        let key = (release.group.clone(), release.generation);
        let own = |it: &&placement::Group| it.group == key.0 && it.generation == key.1;
        let is_whole = |it: &&placement::Group| it.health == placement::Health::Whole;
        let Some(group) = input.groups.iter().find(own).filter(is_whole) else {
            return self.release(now, fence, release);
        };
        if self.retiring.contains_key(&key) {
            return;
        }
        let until = now + self.options.drain_timeout;
        let (cause, head) = (release.cause, group.members.first().cloned());
        self.retiring.insert(key, Entry { since: now, until, cause, head });
        let (group, generation) = (release.group.clone(), release.generation);
        self.outputs.push(Output::Retire { group, generation, until });
        self.event(event::Event::GroupRetiring { release });
    }

    /// Releases the retiring groups that are drained or past their deadline, and drops the entries of groups
    /// that no longer exist.
    pub(super) fn release_retired(
        &mut self,
        now: Duration,
        fence: id::Fence,
        input: &placement::Input,
    ) {
        let exists = |key: &(id::Group, id::Generation)| {
            input.groups.iter().any(|it| it.group == key.0 && it.generation == key.1)
        };
        self.retiring.retain(|key, _| exists(key));
        let due: Vec<placement::Release> = self
            .retiring
            .iter()
            .filter(|it| now >= it.1.until || self.is_idle(it.1))
            .map(|((group, generation), it)| placement::Release {
                group: group.clone(),
                generation: *generation,
                cause: it.cause,
            })
            .collect();
        for release in due {
            self.release(now, fence, release);
        }
    }
}

/// Loads of retiring groups
impl Steward {
    /// Returns whether a host is the head of a retiring group, whose load shows when the group is drained.
    pub(super) fn is_draining_head(&self, known: &hosts::Host) -> bool {
        let Some(formation) = known.membership() else { return false };
        let head = formation.members.first();
        let key = (formation.group.clone(), formation.generation);
        let own = known.report.as_ref().map(|it| &it.host);
        head == own && self.retiring.contains_key(&key)
    }

    /// Returns whether the head reported no load at a time when all nodes had learned that the group retires.
    fn is_idle(&self, entry: &Entry) -> bool {
        let Some(known) = entry.head.as_ref().and_then(|it| self.hosts.get(it)) else {
            return false;
        };
        let load = known.report.as_ref().and_then(|it| it.load.as_ref());
        let (Some(load), Some(read)) = (load, known.read_at) else { return false };
        let measured = read.saturating_sub(load.age);
        measured >= entry.since + self.options.drain_propagation && load.running + load.queued == 0
    }
}

/// Dark fabric domains
impl Steward {
    /// Reports the fabric domains that have gone dark or recovered.
    pub(super) fn detect_fabric_outages(&mut self, now: Duration) {
        let mut counts: BTreeMap<id::Fabric, fabric_outage::Count> = BTreeMap::new();
        for known in self.hosts.values() {
            let count = counts.entry(known.fabric.clone()).or_default();
            count.listed += 1;
            count.silent += usize::from(known.down_since.is_some());
        }
        let change = self.fabric_outages.update(now, &counts, &self.options.fabric_outage);
        for fabric in change.dark {
            self.event(event::Event::FabricDark { fabric });
        }
        for fabric in change.recovered {
            self.event(event::Event::FabricBack { fabric });
        }
    }
}
