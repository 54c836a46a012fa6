//! Policies that rank the replicas a request may use.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Candidate, Query};

/// Part of the average utilization that a replica may have for affinity to count, in thousandths.
const DEFAULT_BOUND_PERMILLE: u64 = 1250;

/// Utilization in thousandths up to which affinity always counts.
const DEFAULT_FLOOR_PERMILLE: u64 = 250;

/// Figures by which policies rank replicas.
pub trait Load {
    /// Load after one more request, in thousandths of what the replica can bear now.
    fn utilization(&self, candidate: &Candidate) -> u64;
    /// Number of the request's leading blocks that the replica is taken to have cached.
    fn matched_blocks(&self, candidate: &Candidate, query: &Query<'_>) -> usize;
}

/// Chooses among the replicas that may run a request.
pub trait Policy {
    /// Chooses a replica that the request needn't avoid; `random` is uniform.
    fn pick<'a, L: Load>(
        &self,
        candidates: &'a [Candidate],
        query: &Query<'_>,
        load: &L,
        random: u64,
    ) -> Option<&'a Candidate>;
}

/// Figures of the candidates' own gauges.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gauges;

/// Takes replicas in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: AtomicUsize,
}

/// Takes the less utilized one of two replicas drawn at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

/// Takes the replica with the longest cached prefix among those whose utilization is within a
/// bound. Requests without a cached prefix cost most to start, so they go to the replicas within
/// the bound in turn; if none is within it, to the less utilized one of two drawn at random.
#[derive(Debug)]
pub struct Affinity {
    turn: AtomicUsize,
    /// Bound, in thousandths of the average utilization.
    pub bound_permille: u64,
    /// Utilization in thousandths up to which affinity always counts.
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
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        from(candidates, query, turn)
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
        let first = from(candidates, query, random as u32 as usize)?;
        let second = from(candidates, query, (random >> 32) as usize)?;
        let lighter = load.utilization(second) < load.utilization(first);
        Some(if lighter { second } else { first })
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
        let bound = self.bound(candidates, load);
        let usable = candidates.iter().filter(|it| !avoided(it, query));
        let best = usable
            .map(|it| (load.matched_blocks(it, query), load.utilization(it), it))
            .filter(|&(matched, utilization, _)| matched > 0 && utilization <= bound)
            .max_by_key(|&(matched, utilization, _)| (matched, std::cmp::Reverse(utilization)));
        if let Some((_, _, it)) = best {
            return Some(it);
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let within = |it: &Candidate| load.utilization(it) <= bound && !avoided(it, query);
        match around(candidates, turn).find(|it| within(it)) {
            Some(it) => Some(it),
            None => LeastLoaded.pick(candidates, query, load, random),
        }
    }
}

/// Life cycle
impl Affinity {
    /// Makes a policy with bounds in thousandths.
    pub fn new(bound_permille: u64, floor_permille: u64) -> Affinity {
        Affinity { turn: AtomicUsize::new(0), bound_permille, floor_permille }
    }
}

/// Access
impl Affinity {
    fn bound<L: Load>(&self, candidates: &[Candidate], load: &L) -> u64 {
        let total: u64 = candidates.iter().map(|it| load.utilization(it)).sum();
        let average = total / candidates.len().max(1) as u64;
        (average * self.bound_permille / 1000).max(self.floor_permille)
    }
}

/// The first replica at or after a position, counted around, that needn't be avoided.
fn from<'a>(
    candidates: &'a [Candidate],
    query: &Query<'_>,
    position: usize,
) -> Option<&'a Candidate> {
    around(candidates, position).find(|it| !avoided(it, query))
}

/// All replicas, beginning at a position that is counted around.
fn around(candidates: &[Candidate], position: usize) -> impl Iterator<Item = &Candidate> {
    let start = position % candidates.len().max(1);
    let (before, after) = candidates.split_at(start);
    after.iter().chain(before)
}

fn avoided(candidate: &Candidate, query: &Query<'_>) -> bool {
    query.avoid.contains(&candidate.replica.group)
}
