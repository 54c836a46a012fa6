//! Consolidation: moves a small group so that its hosts and the free ones beside it complete a larger one.
//!
//! A move helps only between groups of different sizes: a fabric domain with room for a group of the larger
//! size would get that group directly. The copy is formed first, and the original is released once the copy
//! is whole, so the moved service keeps its capacity.

use super::{Demand, Form, Group, Health, Input, Plan, State, Strategy, pool::Pool};

/// Plans the copy of a small group whose hosts would complete a larger group that is declared and missing.
pub(super) fn consolidate(input: &Input, pool: &mut Pool<'_>, plan: &mut Plan) {
    if is_change_under_way(input, plan) {
        return;
    }
    for group in input.groups.iter().filter(|it| is_movable(input, it)) {
        let Some(demand) = input.demands.iter().find(|it| input.counts_for(group, it)) else {
            continue;
        };
        let fabric = fabric_of(input, group);
        let gained = pool.free_hosts(fabric) + group.members.len();
        let completes = unmet_demands(input).any(|it| demand.size < it.size && gained >= it.size);
        if !completes || input.count_present(demand) != demand.count {
            continue;
        }
        if let Ok(members) = pool.allocate(demand, Strategy::Spares, Some(fabric)) {
            plan.form.push(Form {
                service: demand.service.clone(),
                weights: demand.weights.clone(),
                members,
            });
            return;
        }
    }
}

/// Returns whether a move or another change is under way; one move is made at a time.
fn is_change_under_way(input: &Input, plan: &Plan) -> bool {
    let moving = |it: &Group| it.retiring || it.health == Health::Loading;
    !plan.form.is_empty() || !plan.release.is_empty() || input.groups.iter().any(moving)
}

fn is_movable(input: &Input, group: &Group) -> bool {
    group.health == Health::Whole && !input.is_repair_held(group)
}

/// Returns the declarations that have too few groups.
fn unmet_demands(input: &Input) -> impl Iterator<Item = &Demand> {
    input.demands.iter().filter(|it| input.count_present(it) < it.count)
}

/// Returns whether the release of a group would free enough hosts for a larger group that is missing.
pub(super) fn completes_larger_group(input: &Input, group: &Group) -> bool {
    let fabric = fabric_of(input, group);
    let usable = |it: &&super::Host| it.fabric == fabric && it.state == State::Free && !it.leaving;
    let gained = input.hosts.iter().filter(usable).count() + group.members.len();
    unmet_demands(input).any(|it| group.members.len() < it.size && gained >= it.size)
}

fn fabric_of<'a>(input: &'a Input, group: &Group) -> &'a str {
    group.members.first().map_or("", |it| input.fabric(it))
}
