//! Takes the first fabric domain with enough free hosts, in the order of names.

use std::collections::BTreeMap;

use cuminward_core::id;

use super::{Cause, Demand, Form, Group, Health, Input, Plan, Release, State};

/// Decides what is to be done.
pub(super) fn plan(input: &Input) -> Plan {
    let mut plan = Plan::default();
    for group in input.groups.iter().filter(|it| it.health == Health::Broken) {
        plan.release.push(release(group, Cause::Broken));
    }
    let mut free = free(input);
    for demand in &input.demands {
        let present: Vec<&Group> = input.groups.iter().filter(|it| serves(it, demand)).collect();
        for group in present.iter().skip(demand.count) {
            plan.release.push(release(group, Cause::Surplus));
        }
        for _ in present.len()..demand.count {
            match take(&mut free, demand.size) {
                Some(members) => plan.form.push(form(demand, members)),
                None => plan.missing += 1,
            }
        }
    }
    plan
}

fn release(group: &Group, cause: Cause) -> Release {
    Release { group: group.group.clone(), generation: group.generation, cause }
}

fn form(demand: &Demand, members: Vec<id::Host>) -> Form {
    Form { service: demand.service.clone(), weights: demand.weights.clone(), members }
}

fn serves(group: &Group, demand: &Demand) -> bool {
    group.health != Health::Broken
        && group.service == demand.service
        && group.weights == demand.weights
}

fn free(input: &Input) -> BTreeMap<&id::Fabric, Vec<id::Host>> {
    let mut free: BTreeMap<&id::Fabric, Vec<id::Host>> = BTreeMap::new();
    for host in input.hosts.iter().filter(|it| it.state == State::Free && !it.leaving) {
        free.entry(&host.fabric).or_default().push(host.host.clone());
    }
    free
}

fn take(free: &mut BTreeMap<&id::Fabric, Vec<id::Host>>, size: usize) -> Option<Vec<id::Host>> {
    let hosts = free.values_mut().find(|it| it.len() >= size)?;
    Some(hosts.drain(..size).collect())
}
