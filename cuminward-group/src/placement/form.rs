//! Which groups to form.

use super::{
    Demand, Form, Input, Plan, Strategy,
    pool::{Pool, Shortage},
};

/// A declaration and how much of it is met.
struct Open<'a> {
    demand: &'a Demand,
    present: usize,
}

/// Forms groups for the declarations that aren't met, the least met one first.
pub(super) fn form(input: &Input, strategy: Strategy, pool: &mut Pool<'_>, plan: &mut Plan) {
    let open = |it| Open { demand: it, present: input.present(it) };
    let mut open: Vec<Open<'_>> = input.demands.iter().map(open).collect();
    open.retain(|it| it.present < it.demand.count);
    while let Some(at) = next(&open, strategy) {
        let Open { demand, present } = &mut open[at];
        match pool.take(demand, strategy, None) {
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
        open.retain(|it| it.present < it.demand.count);
    }
}

/// Position of the declaration to serve next.
fn next(open: &[Open<'_>], strategy: Strategy) -> Option<usize> {
    if strategy == Strategy::FirstFit {
        return (!open.is_empty()).then_some(0);
    }
    let key = |it: &Open<'_>| {
        let met = it.present * usize::from(u16::MAX) / it.demand.count;
        (met, std::cmp::Reverse(it.demand.size))
    };
    (0..open.len()).min_by_key(|it| key(&open[*it]))
}
