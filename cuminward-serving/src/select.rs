//! Which upstream gets a request.

use std::cmp::Reverse;

use crate::slowdown;

/// What is known about an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, from this node and from others.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the node's failure domain.
    pub is_same_domain: bool,
    /// Whether it can be relied on.
    pub health: Health,
    /// Factor by which it is slower than usual.
    pub slowdown: slowdown::Factor,
    /// How much the node prefers it to others, if it doesn't choose among all.
    pub affinity: u64,
    /// Number that decides between equals.
    pub tie_breaker: u32,
}

/// Whether an upstream can be relied on. One of a worse standing gets a request only if there is none
/// of a better one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Nothing speaks against it.
    Healthy,
    /// It said that it is slow.
    Slow,
    /// It failed or has been silent.
    Suspect,
}

/// Load, as a share of the slots, that a near upstream may have more than a far one.
const NEAR_BONUS: f64 = 0.05;

/// Index of the upstream with the least load for its slots, among the `choices` that the node prefers of
/// those of the best standing.
pub fn choose(candidates: &[Candidate], subset_size: usize) -> Option<usize> {
    let health = candidates.iter().map(|it| it.health).min()?;
    let mut indices: Vec<usize> =
        (0..candidates.len()).filter(|it| candidates[*it].health == health).collect();
    let subset_size = subset_size.max(1);
    if indices.len() > subset_size {
        indices.sort_by_key(|it| Reverse(candidates[*it].affinity));
        indices.truncate(subset_size);
    }
    indices.into_iter().min_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        score(a).total_cmp(&score(b)).then(a.tie_breaker.cmp(&b.tie_breaker))
    })
}

fn score(it: &Candidate) -> f64 {
    let share = f64::from(it.load + 1) / f64::from(it.slots.max(1));
    let bonus = if it.is_same_domain { NEAR_BONUS } else { 0.0 };
    share * it.slowdown - bonus
}
