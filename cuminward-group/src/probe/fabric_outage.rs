//! Detects outages of whole fabric domains: a fabric domain is dark while most of its hosts don't answer.
//!
//! Repair of a dark domain is held back for a while, since its hosts may return with their weights loaded:
//! its groups are neither released nor replaced. After that, they are replaced within the limit on
//! concurrent loads.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::id;

/// Settings of the detector.
#[derive(Debug, Clone)]
pub struct Options {
    /// Smallest number of silent hosts with which a fabric domain counts as dark.
    pub min_silent: usize,
    /// Time for which repair of a dark domain is held back.
    pub repair_delay: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { min_silent: 3, repair_delay: Duration::from_secs(60) }
    }
}

/// Numbers of hosts of one fabric domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of hosts in the host list.
    pub listed: usize,
    /// Number of those hosts that don't answer.
    pub silent: usize,
}

/// Detector of dark fabric domains, with the time since which each of them is dark.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    dark: BTreeMap<id::Fabric, Duration>,
}

/// Access
impl Detector {
    /// Returns the dark fabric domains whose repair is held back at `now`.
    pub fn repair_held(&self, now: Duration, options: &Options) -> BTreeSet<id::Fabric> {
        let held = self.dark.iter().filter(|it| now < *it.1 + options.repair_delay);
        held.map(|it| it.0.clone()).collect()
    }
}

/// Mutation
impl Detector {
    /// Updates the set of dark domains from the numbers of silent hosts; returns the changes.
    ///
    /// A domain is dark if more than half of its hosts, and at least `min_silent` of them, are silent.
    pub fn update(
        &mut self,
        now: Duration,
        counts: &BTreeMap<id::Fabric, Count>,
        options: &Options,
    ) -> Change {
        let is_dark = |it: &Count| it.silent >= options.min_silent && it.silent * 2 > it.listed;
        let mut change = Change::default();
        for (fabric, _) in counts.iter().filter(|it| is_dark(it.1)) {
            if !self.dark.contains_key(fabric) {
                self.dark.insert(fabric.clone(), now);
                change.dark.push(fabric.clone());
            }
        }
        self.dark.retain(|fabric, _| {
            let stays = counts.get(fabric).is_some_and(is_dark);
            if !stays {
                change.recovered.push(fabric.clone());
            }
            stays
        });
        change
    }
}

/// Changes of the set of dark fabric domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Fabric domains that have gone dark.
    pub dark: Vec<id::Fabric>,
    /// Fabric domains that are no longer dark.
    pub recovered: Vec<id::Fabric>,
}
