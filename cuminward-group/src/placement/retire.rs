//! Which groups to release.

use std::collections::BTreeSet;

use cuminward_core::id;

use super::{Cause, Demand, Group, Health, Input, Plan, Strategy};

/// Releases groups that are broken, leaving, superseded by another version, or too many.
pub(super) fn retire(input: &Input, strategy: Strategy, plan: &mut Plan) {
    for group in input.groups.iter().filter(|it| !input.holds(it)) {
        if group.health == Health::Broken {
            plan.release.push(group.release(Cause::Broken));
        } else if input.leaving(group) && !group.retiring {
            plan.release.push(group.release(Cause::Leaving));
        }
    }
    for demand in &input.demands {
        surplus(input, demand, strategy, plan);
    }
    undeclared(input, plan);
}

/// Releases groups of a declaration that has more than it wants.
fn surplus(input: &Input, demand: &Demand, strategy: Strategy, plan: &mut Plan) {
    let mut groups: Vec<&Group> =
        input.groups.iter().filter(|it| input.counts(it, demand)).collect();
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

/// Tells whether the release of a group completes a larger one that is wanted.
fn makes_room(input: &Input, group: &Group, moving: bool) -> bool {
    moving && super::consolidation::completes(input, group)
}

/// Releases groups of services and versions that aren't declared.
fn undeclared(input: &Input, plan: &mut Plan) {
    let old: Vec<&Group> = input.groups.iter().filter(|it| superseded(input, it)).collect();
    let services: BTreeSet<&id::Service> = old.iter().map(|it| &it.service).collect();
    for service in services {
        let old: Vec<&Group> = old.iter().copied().filter(|it| it.service == *service).collect();
        roll(input, service, &old, plan);
    }
}

/// Tells whether a group runs something that isn't declared and nothing else was decided about it.
fn superseded(input: &Input, group: &Group) -> bool {
    let declared = input.demands.iter().any(|it| it.count > 0 && it.matches(group));
    let settled = group.health != Health::Broken && !group.retiring && !input.leaving(group);
    let emptied = input.demands.iter().any(|it| it.matches(group));
    !declared && !emptied && settled && !input.holds(group)
}

/// Releases groups of old versions of a service, as many as its capacity allows.
fn roll(input: &Input, service: &id::Service, old: &[&Group], plan: &mut Plan) {
    let demands = || input.demands.iter().filter(|it| it.service == *service);
    let wanted: usize = demands().map(|it| it.count).sum();
    if wanted == 0 {
        plan.release.extend(old.iter().map(|it| it.release(Cause::Surplus)));
        return;
    }
    let serves = |it: &&Group| it.health == Health::Whole && demands().any(|d| input.counts(it, d));
    let new = input.groups.iter().filter(serves).count();
    let whole = old.iter().filter(|it| it.health == Health::Whole).count();
    let spare = (new + whole).saturating_sub(wanted);
    let unfinished = old.iter().filter(|it| it.health == Health::Loading);
    plan.release.extend(unfinished.map(|it| it.release(Cause::Rolling)));
    let serving = old.iter().filter(|it| it.health == Health::Whole);
    let count = if spare == 0 && stuck(input, service, plan) { 1 } else { spare };
    plan.release.extend(serving.take(count).map(|it| it.release(Cause::Rolling)));
}

/// Tells whether a service can't form its next group though nothing of it is on the way.
fn stuck(input: &Input, service: &id::Service, plan: &Plan) -> bool {
    let moving = |it: &&Group| it.health != Health::Whole || it.retiring;
    let own = || input.groups.iter().filter(|it| it.service == *service);
    let forming = plan.form.iter().any(|it| it.service == *service);
    let present: usize = input
        .demands
        .iter()
        .filter(|it| it.service == *service)
        .map(|it| it.count.saturating_sub(input.present(it)))
        .sum();
    present > 0 && plan.missing > 0 && !forming && own().find(moving).is_none()
}
