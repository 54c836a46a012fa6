//! Decides which groups to form.

use super::{
    Demand, Form, Input, Plan, Strategy,
    pool::{Pool, Shortage},
};

/// A declaration with too few groups, and the number of its groups.
struct Unmet<'a> {
    demand: &'a Demand,
    present: usize,
}

/// Plans groups for the declarations that have too few, the one with the smallest share met first.
pub(super) fn form(input: &Input, strategy: Strategy, pool: &mut Pool<'_>, plan: &mut Plan) {
    let unmet = |it| Unmet { demand: it, present: input.count_present(it) };
    let mut unmet: Vec<Unmet<'_>> = input.demands.iter().map(unmet).collect();
    unmet.retain(|it| it.present < it.demand.count);
    while let Some(at) = next_unmet(&unmet, strategy) {
        let Unmet { demand, present } = &mut unmet[at];
        match pool.allocate(demand, strategy, None) {
            Ok(members) => {
                plan.form.push(Form {
                    service: demand.service.clone(),
                    weights: demand.weights.clone(),
                    members,
                });
                *present += 1;
            }
            Err(shortage) => {
                let wanted = demand.count - *present;
                match shortage {
                    Shortage::Hosts => plan.missing += wanted,
                    Shortage::Loads => plan.deferred += wanted,
                }
                *present = demand.count;
            }
        }
        unmet.retain(|it| it.present < it.demand.count);
    }
}

/// Returns the index of the declaration to plan the next group for.
fn next_unmet(unmet: &[Unmet<'_>], strategy: Strategy) -> Option<usize> {
    if strategy == Strategy::FirstFit {
        return (!unmet.is_empty()).then_some(0);
    }
    let key = |it: &Unmet<'_>| {
        let met = it.present * usize::from(u16::MAX) / it.demand.count;
        (met, std::cmp::Reverse(it.demand.size))
    };
    (0..unmet.len()).min_by_key(|it| key(&unmet[*it]))
}
