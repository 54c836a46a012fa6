//! Decides which groups to release.

use std::collections::BTreeSet;

use cuminward_core::id;

use super::{Cause, Demand, Group, Health, Input, Plan, Strategy};

/// Releases groups that are broken, leaving, superseded by another version, or too many.
pub(super) fn release_groups(input: &Input, strategy: Strategy, plan: &mut Plan) {
    for group in input.groups.iter().filter(|it| !input.is_repair_held(it)) {
        if group.health == Health::Broken {
            plan.release.push(group.release(Cause::Broken));
        } else if input.has_leaving_member(group) && !group.retiring {
            plan.release.push(group.release(Cause::Leaving));
        }
    }
    for demand in &input.demands {
        release_surplus(input, demand, strategy, plan);
    }
    release_undeclared(input, plan);
}

/// Releases the groups of a declaration beyond its number.
fn release_surplus(input: &Input, demand: &Demand, strategy: Strategy, plan: &mut Plan) {
    let mut groups: Vec<&Group> =
        input.groups.iter().filter(|it| input.counts_for(it, demand)).collect();
    let extra = groups.len().saturating_sub(demand.count);
    let loading = groups.iter().any(|it| it.health == Health::Loading);
    let moving = strategy == Strategy::Consolidation && plan.missing > 0;
    if extra == 0 || (moving && loading) {
        return;
    }
    groups.sort_by_key(|it| (it.health == Health::Whole, !makes_room(input, it, moving)));
    let cause = if moving { Cause::Consolidation } else { Cause::Surplus };
    plan.release.extend(groups.iter().take(extra).map(|it| it.release(cause)));
}

/// Returns whether groups are being moved and the release of this one completes a larger group.
fn makes_room(input: &Input, group: &Group, moving: bool) -> bool {
    moving && super::consolidation::completes_larger_group(input, group)
}

/// Releases groups of services and versions that aren't declared.
fn release_undeclared(input: &Input, plan: &mut Plan) {
    let old: Vec<&Group> = input.groups.iter().filter(|it| is_superseded(input, it)).collect();
    let services: BTreeSet<&id::Service> = old.iter().map(|it| &it.service).collect();
    for service in services {
        let old: Vec<&Group> = old.iter().copied().filter(|it| it.service == *service).collect();
        release_rolling(input, service, &old, plan);
    }
}

/// Returns whether a group runs a version that isn't declared, and no other rule releases it or holds it back.
fn is_superseded(input: &Input, group: &Group) -> bool {
    let declared = input.demands.iter().any(|it| it.count > 0 && it.matches(group));
    let settled =
        group.health != Health::Broken && !group.retiring && !input.has_leaving_member(group);
    let emptied = input.demands.iter().any(|it| it.matches(group));
    !declared && !emptied && settled && !input.is_repair_held(group)
}

/// Releases groups of old versions of a service, as many as the declared number of replicas allows.
fn release_rolling(input: &Input, service: &id::Service, old: &[&Group], plan: &mut Plan) {
    let demands = || input.demands.iter().filter(|it| it.service == *service);
    let wanted: usize = demands().map(|it| it.count).sum();
    if wanted == 0 {
        plan.release.extend(old.iter().map(|it| it.release(Cause::Surplus)));
        return;
    }
    let serves =
        |it: &&Group| it.health == Health::Whole && demands().any(|d| input.counts_for(it, d));
    let new = input.groups.iter().filter(serves).count();
    let serving_old = old.iter().filter(|it| it.health == Health::Whole).count();
    let spare = (new + serving_old).saturating_sub(wanted);
    let unfinished = old.iter().filter(|it| it.health == Health::Loading);
    plan.release.extend(unfinished.map(|it| it.release(Cause::Rolling)));
    let serving = old.iter().filter(|it| it.health == Health::Whole);
    let count = if spare == 0 && is_stuck(input, service, plan) { 1 } else { spare };
    plan.release.extend(serving.take(count).map(|it| it.release(Cause::Rolling)));
}

/// Returns whether a service can't form its next group and no change of its groups is under way.
fn is_stuck(input: &Input, service: &id::Service, plan: &Plan) -> bool {
    let moving = |it: &&Group| it.health != Health::Whole || it.retiring;
    let own = || input.groups.iter().filter(|it| it.service == *service);
    let forming = plan.form.iter().any(|it| it.service == *service);
    let present: usize = input
        .demands
        .iter()
        .filter(|it| it.service == *service)
        .map(|it| it.count.saturating_sub(input.count_present(it)))
        .sum();
    present > 0 && plan.missing > 0 && !forming && own().find(moving).is_none()
}
