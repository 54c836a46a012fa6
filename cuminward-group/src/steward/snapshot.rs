//! Builds the input of placement from the state that the steward tracks.

use std::collections::BTreeMap;

use cuminward_core::{catalog, host, id};

use super::{
    hosts::{Effect, Host, Hosts},
    retiring::Retiring,
};
use crate::placement;

/// Returns the hosts for placement; `allowed` returns whether a host may get orders now.
pub(super) fn hosts(hosts: &Hosts, allowed: impl Fn(&Host) -> bool) -> Vec<placement::Host> {
    let view = |(name, it): (&id::Host, &Host)| placement::Host {
        host: name.clone(),
        fabric: it.fabric.clone(),
        state: it.state(allowed(it)),
        weights: it.weights.clone(),
        leaving: it.leaving,
    };
    hosts.iter().map(view).collect()
}

/// Returns the replicas that operators declared for a failure domain.
pub(super) fn demands(catalog: &catalog::Catalog, domain: &str) -> Vec<placement::Demand> {
    let mut demands = Vec::new();
    for model in catalog.models.values() {
        let count = model.replicas.get(domain).copied().unwrap_or_default() as usize;
        for version in &model.versions {
            demands.push(placement::Demand {
                service: model.name.clone(),
                weights: placement::Weights {
                    model: model.model.clone(),
                    version: version.clone(),
                },
                size: model.hosts_per_replica as usize,
                count,
            });
        }
    }
    demands
}

/// Returns the groups that at least one host reports or is ordered to form, ordered by generation.
pub(super) fn groups(hosts: &Hosts, retiring: &Retiring) -> Vec<placement::Group> {
    let mut formations: BTreeMap<(id::Generation, &id::Group), &host::Membership> = BTreeMap::new();
    for known in hosts.values() {
        if let Some(it) = known.formation() {
            formations.entry((it.generation, &it.group)).or_insert(it);
        }
    }
    formations.into_values().map(|it| build_group(hosts, retiring, it)).collect()
}

fn build_group(
    hosts: &Hosts,
    retiring: &Retiring,
    formation: &host::Membership,
) -> placement::Group {
    let health = formation.members.iter().map(|it| member_health(hosts.get(it), formation)).max();
    placement::Group {
        group: formation.group.clone(),
        generation: formation.generation,
        service: formation.service.clone(),
        weights: placement::Weights {
            model: formation.model.clone(),
            version: formation.version.clone(),
        },
        members: formation.members.clone(),
        health: health.unwrap_or(placement::Health::Broken),
        retiring: retiring.contains_key(&(formation.group.clone(), formation.generation)),
    }
}

/// Returns the health of a group as far as one member determines it; the worst of all members counts.
fn member_health(known: Option<&Host>, formation: &host::Membership) -> placement::Health {
    let Some(known) = known else { return placement::Health::Broken };
    if known.lost {
        return placement::Health::Broken;
    }
    if known.open_order.is_some() || known.down_since.is_some() || !known.confirmed {
        return uncertain_health(known, formation);
    }
    match known.membership() {
        Some(it) if !is_same_formation(it, formation) => placement::Health::Broken,
        Some(it) => match it.phase {
            host::Phase::Ready => placement::Health::Whole,
            host::Phase::Loading => placement::Health::Loading,
            host::Phase::Broken => placement::Health::Broken,
        },
        None => placement::Health::Broken,
    }
}

/// Returns the health that follows from a member whose state isn't confirmed.
fn uncertain_health(known: &Host, formation: &host::Membership) -> placement::Health {
    match known.open_order.as_ref().map(|it| &it.effect) {
        Some(Effect::Release) => placement::Health::Broken,
        Some(Effect::Form(it)) if is_same_formation(it, formation) => placement::Health::Loading,
        Some(Effect::Form(_)) => placement::Health::Broken,
        Some(Effect::Fence) | None => placement::Health::Unsure,
    }
}

fn is_same_formation(left: &host::Membership, right: &host::Membership) -> bool {
    left.group == right.group
        && left.generation == right.generation
        && left.members == right.members
}
