//! Free hosts of a failure domain, by fabric domain.

use std::{cmp::Reverse, collections::BTreeMap};

use cuminward_core::id;

use super::{Demand, Health, Host, Input, State, Strategy};

/// Free hosts, and the number of hosts that load weights with its limit.
#[derive(Debug)]
pub(super) struct Pool<'a> {
    free: BTreeMap<&'a str, Vec<&'a Host>>,
    loading: usize,
    max_loads: usize,
}

/// Why hosts for a group can't be allocated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// No fabric domain has enough free hosts.
    Hosts,
    /// The limit on hosts that load weights at the same time would be exceeded.
    Loads,
}

/// Life cycle
impl<'a> Pool<'a> {
    /// Collects the free hosts, except those of fabric domains whose repair is held back.
    pub(super) fn new(input: &'a Input) -> Pool<'a> {
        let mut free: BTreeMap<&str, Vec<&Host>> = BTreeMap::new();
        for host in input.hosts.iter().filter(|it| it.state == State::Free && !it.leaving) {
            free.entry(&host.fabric).or_default().push(host);
        }
        free.retain(|fabric, _| !input.held.contains(*fabric));
        Pool { free, loading: count_loading(input), max_loads: input.limits.loads }
    }
}

/// Returns the number of hosts that load weights now.
fn count_loading(input: &Input) -> usize {
    let loading = input.groups.iter().filter(|it| it.health == Health::Loading);
    let hosts: BTreeMap<&id::Host, &Host> = input.hosts.iter().map(|it| (&it.host, it)).collect();
    let cold = |host: &&id::Host, weights| {
        hosts.get(host).is_none_or(|it| it.weights.as_ref() != Some(weights))
    };
    loading.map(|it| it.members.iter().filter(|host| cold(host, &it.weights)).count()).sum()
}

/// Access
impl Pool<'_> {
    /// Returns the number of free hosts in a fabric domain.
    pub(super) fn free_hosts(&self, fabric: &str) -> usize {
        self.free.get(fabric).map_or(0, Vec::len)
    }
}

/// Mutation
impl<'a> Pool<'a> {
    /// Allocates the hosts of a group from one fabric domain other than `except`.
    ///
    /// # Errors
    ///
    /// Returns the [`Shortage`] if no fabric domain has enough free hosts or too many hosts load weights.
    pub(super) fn allocate(
        &mut self,
        demand: &Demand,
        strategy: Strategy,
        except: Option<&str>,
    ) -> Result<Vec<id::Host>, Shortage> {
        if demand.size == 0 {
            return Err(Shortage::Hosts);
        }
        let fits = |fabric: &str, free: &[&Host]| {
            free.len() >= demand.size && except.is_none_or(|it| it != fabric)
        };
        let fitting = self.free.iter().filter(|it| fits(it.0, it.1));
        let best = match strategy {
            Strategy::FirstFit => fitting.map(|it| *it.0).next(),
            Strategy::BestFit => {
                fitting.min_by_key(|it| (count_cold(it.1, demand), it.1.len())).map(|it| *it.0)
            }
            Strategy::Spares | Strategy::Consolidation => {
                let key = |free: &[&Host]| {
                    (count_cold(free, demand), Reverse(free.len() % demand.size), free.len())
                };
                fitting.min_by_key(|it| key(it.1)).map(|it| *it.0)
            }
        };
        let fabric = best.ok_or(Shortage::Hosts)?;
        self.allocate_in(fabric, demand, strategy)
    }

    fn allocate_in(
        &mut self,
        fabric: &'a str,
        demand: &Demand,
        strategy: Strategy,
    ) -> Result<Vec<id::Host>, Shortage> {
        let free = self.free.get_mut(fabric).ok_or(Shortage::Hosts)?;
        if strategy != Strategy::FirstFit {
            free.sort_by_key(|it| (it.weights.as_ref() != Some(&demand.weights), &it.host));
        }
        let members = &free[..demand.size];
        let loads = members.iter().filter(|it| is_cold(it, demand)).count();
        if loads > 0 && self.loading > 0 && self.loading + loads > self.max_loads {
            return Err(Shortage::Loads);
        }
        self.loading += loads;
        Ok(free.drain(..demand.size).map(|it| it.host.clone()).collect())
    }
}

/// Returns the number of members that would have to load weights if the best hosts of `free` were allocated.
fn count_cold(free: &[&Host], demand: &Demand) -> usize {
    let warm = free.iter().filter(|it| !is_cold(it, demand)).count();
    demand.size.saturating_sub(warm)
}

fn is_cold(host: &Host, demand: &Demand) -> bool {
    host.weights.as_ref() != Some(&demand.weights)
}
