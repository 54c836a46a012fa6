//! Dark fabric domains: most hosts of one stop answering at once.
//!
//! Repair of such a domain is held back for a while, since it may come back with its weights loaded. After
//! that, repair goes on within the bound on concurrent loads.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::id;

/// Settings of the detector.
#[derive(Debug, Clone)]
pub struct Options {
    /// Smallest number of silent hosts that makes a fabric domain dark.
    pub min_silent: usize,
    /// Time for which repair is held back.
    pub repair_delay: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { min_silent: 3, repair_delay: Duration::from_secs(60) }
    }
}

/// Hosts of one fabric domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Hosts that are listed.
    pub listed: usize,
    /// Hosts among them that don't answer.
    pub silent: usize,
}

/// Fabric domains that are dark, and since when.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    dark: BTreeMap<id::Fabric, Duration>,
}

/// Access
impl Detector {
    /// Fabric domains whose repair is held back at `now`.
    pub fn repair_held(&self, now: Duration, options: &Options) -> BTreeSet<id::Fabric> {
        let held = self.dark.iter().filter(|it| now < *it.1 + options.repair_delay);
        held.map(|it| it.0.clone()).collect()
    }
}

/// Mutation
impl Detector {
    /// Takes in how many hosts are silent; returns the domains that have gone dark and come back.
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

/// What has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Fabric domains that have gone dark.
    pub dark: Vec<id::Fabric>,
    /// Fabric domains that have come back.
    pub recovered: Vec<id::Fabric>,
}
