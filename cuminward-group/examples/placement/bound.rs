//! Lower bound on the hosts outside any whole group.

use cuminward_group::placement::Demand;

/// Returns the fewest hosts that any placement leaves outside groups, with `up` running hosts by fabric
/// domain.
///
/// In one fabric domain no more hosts are used than the largest sum of group sizes that fits in it; over all
/// of them no more than are declared.
pub(crate) fn stranded(up: &[usize], demands: &[Demand]) -> usize {
    let sizes: Vec<usize> = demands.iter().map(|it| it.size).collect();
    let declared: usize = demands.iter().map(|it| it.size * it.count).sum();
    let packed: usize = up.iter().map(|it| largest_sum(*it, &sizes)).sum();
    up.iter().sum::<usize>() - packed.min(declared)
}

fn largest_sum(hosts: usize, sizes: &[usize]) -> usize {
    let mut reachable = vec![false; hosts + 1];
    reachable[0] = true;
    for sum in 1..=hosts {
        reachable[sum] = sizes.iter().any(|it| *it <= sum && reachable[sum - it]);
    }
    (0..=hosts).rev().find(|it| reachable[*it]).unwrap_or(0)
}
