//! Consolidation: moves a small group so that its hosts and the free ones beside it complete a larger one.
//!
//! A move helps only between groups of different sizes: a fabric domain that could take a group of the
//! wanted size would be used for the wanted group itself. The copy is formed first, and the original is
//! released once the copy is whole, so the moved service keeps its capacity.

use super::{Demand, Form, Group, Health, Input, Plan, State, Strategy, pool::Pool};

/// Forms the copy of a group whose hosts would complete a larger group that is wanted.
pub(super) fn consolidate(input: &Input, pool: &mut Pool<'_>, plan: &mut Plan) {
    if busy(input, plan) {
        return;
    }
    for group in input.groups.iter().filter(|it| movable(input, it)) {
        let Some(demand) = input.demands.iter().find(|it| input.counts(group, it)) else {
            continue;
        };
        let fabric = fabric(input, group);
        let gained = pool.free(fabric) + group.members.len();
        let completes = wanted(input).any(|it| demand.size < it.size && gained >= it.size);
        if !completes || input.present(demand) != demand.count {
            continue;
        }
        if let Ok(members) = pool.take(demand, Strategy::Spares, Some(fabric)) {
            plan.form.push(Form {
                service: demand.service.clone(),
                weights: demand.weights.clone(),
                members,
            });
            return;
        }
    }
}

/// Tells whether a move or another change is under way; one move is made at a time.
fn busy(input: &Input, plan: &Plan) -> bool {
    let moving = |it: &Group| it.retiring || it.health == Health::Loading;
    !plan.form.is_empty() || !plan.release.is_empty() || input.groups.iter().any(moving)
}

fn movable(input: &Input, group: &Group) -> bool {
    group.health == Health::Whole && !input.holds(group)
}

/// Declarations that aren't met.
fn wanted(input: &Input) -> impl Iterator<Item = &Demand> {
    input.demands.iter().filter(|it| input.present(it) < it.count)
}

/// Tells whether the release of a group would complete a larger group that is wanted.
pub(super) fn completes(input: &Input, group: &Group) -> bool {
    let fabric = fabric(input, group);
    let usable = |it: &&super::Host| it.fabric == fabric && it.state == State::Free && !it.leaving;
    let gained = input.hosts.iter().filter(usable).count() + group.members.len();
    wanted(input).any(|it| group.members.len() < it.size && gained >= it.size)
}

fn fabric<'a>(input: &'a Input, group: &Group) -> &'a str {
    group.members.first().map_or("", |it| input.fabric(it))
}
