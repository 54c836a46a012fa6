//! Load-balancing policies: choose among the replicas that a request may use.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Query};

/// Default utilization up to which a replica may be chosen by affinity, in thousandths of the average
/// utilization.
const DEFAULT_BOUND_PERMILLE: u64 = 1250;

/// Default utilization, in thousandths, up to which a replica may always be chosen by affinity.
const DEFAULT_FLOOR_PERMILLE: u64 = 250;

/// Load and cache figures by which policies rank replicas.
pub trait Load {
    /// Returns the replica's load after one more request, in thousandths of its current limit.
    fn utilization(&self, candidate: &Candidate) -> u64;
    /// Returns the number of the request's leading blocks that the replica presumably has cached.
    fn matched_blocks(&self, candidate: &Candidate, query: &Query<'_>) -> usize;
}

/// Chooses among the replicas that may run a request.
pub trait Policy {
    /// Chooses a replica that the request needn't avoid, or returns `None` if there is none. `random`
    /// must be uniformly distributed.
    fn pick<'a, L: Load>(
        &self,
        candidates: &'a [Candidate],
        query: &Query<'_>,
        load: &L,
        random: u64,
    ) -> Option<&'a Candidate>;
}

/// Reads the figures from the candidates' gauges.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gauges;

/// Chooses replicas in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

/// Chooses the less utilized one of two replicas drawn at random (power of two choices).
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

/// Prefix-cache affinity with bounded load: chooses the replica with the longest cached prefix among
/// those whose utilization is within a bound. Requests without a cached prefix are the most expensive
/// to start, so they are spread over the replicas within the bound in turn. If no replica is within
/// the bound, chooses like [`LeastLoaded`].
#[derive(Debug)]
pub struct Affinity {
    next: AtomicUsize,
    /// Bound, in thousandths of the average utilization.
    pub bound_permille: u64,
    /// Lower limit of the bound: utilization, in thousandths, that is always within it.
    pub floor_permille: u64,
}

impl Default for Affinity {
    fn default() -> Affinity {
        Affinity::new(DEFAULT_BOUND_PERMILLE, DEFAULT_FLOOR_PERMILLE)
    }
}

impl Load for Gauges {
    fn utilization(&self, candidate: &Candidate) -> u64 {
        candidate.gauge.utilization()
    }

    fn matched_blocks(&self, candidate: &Candidate, query: &Query<'_>) -> usize {
        candidate.gauge.prefixes().matched_blocks(query.prefixes)
    }
}

impl Policy for RoundRobin {
    fn pick<'a, L: Load>(
        &self,
        candidates: &'a [Candidate],
        query: &Query<'_>,
        _load: &L,
        _random: u64,
    ) -> Option<&'a Candidate> {
        let position = self.next.fetch_add(1, Ordering::Relaxed);
        first_usable(candidates, query, position)
    }
}

impl Policy for LeastLoaded {
    fn pick<'a, L: Load>(
        &self,
        candidates: &'a [Candidate],
        query: &Query<'_>,
        load: &L,
        random: u64,
    ) -> Option<&'a Candidate> {
        let first = first_usable(candidates, query, random as u32 as usize)?;
        let second = first_usable(candidates, query, (random >> 32) as usize)?;
        let is_second_lighter = load.utilization(second) < load.utilization(first);
        Some(if is_second_lighter { second } else { first })
    }
}

impl Policy for Affinity {
    fn pick<'a, L: Load>(
        &self,
        candidates: &'a [Candidate],
        query: &Query<'_>,
        load: &L,
        random: u64,
    ) -> Option<&'a Candidate> {
        let bound = self.utilization_bound(candidates, load);
        let usable = candidates.iter().filter(|it| !is_avoided(it, query));
        let best = usable
            .map(|it| (load.matched_blocks(it, query), load.utilization(it), it))
            .filter(|&(matched, utilization, _)| matched > 0 && utilization <= bound)
            .max_by_key(|&(matched, utilization, _)| (matched, std::cmp::Reverse(utilization)));
        if let Some((_, _, it)) = best {
            return Some(it);
        }
        let position = self.next.fetch_add(1, Ordering::Relaxed);
        let within = |it: &Candidate| load.utilization(it) <= bound && !is_avoided(it, query);
        match rotate(candidates, position).find(|it| within(it)) {
            Some(it) => Some(it),
            None => LeastLoaded.pick(candidates, query, load, random),
        }
    }
}

/// Life cycle
impl Affinity {
    /// Creates a policy with the given bound and floor, in thousandths.
    pub fn new(bound_permille: u64, floor_permille: u64) -> Affinity {
        Affinity { next: AtomicUsize::new(0), bound_permille, floor_permille }
    }
}

/// Access
impl Affinity {
    /// Returns the utilization in thousandths up to which a replica may be chosen by affinity.
    fn utilization_bound<L: Load>(&self, candidates: &[Candidate], load: &L) -> u64 {
        let total: u64 = candidates.iter().map(|it| load.utilization(it)).sum();
        let average = total / candidates.len().max(1) as u64;
        (average * self.bound_permille / 1000).max(self.floor_permille)
    }
}

/// Returns the first replica at or after a position, with wrap-around, that needn't be avoided.
fn first_usable<'a>(
    candidates: &'a [Candidate],
    query: &Query<'_>,
    position: usize,
) -> Option<&'a Candidate> {
    rotate(candidates, position).find(|it| !is_avoided(it, query))
}

/// Returns all replicas, starting at a position and wrapping around.
fn rotate(candidates: &[Candidate], position: usize) -> impl Iterator<Item = &Candidate> {
    let start = position % candidates.len().max(1);
    let (before, after) = candidates.split_at(start);
    after.iter().chain(before)
}

/// Returns whether the request must avoid the replica.
fn is_avoided(candidate: &Candidate, query: &Query<'_>) -> bool {
    query.avoid.contains(&candidate.replica.group)
}
