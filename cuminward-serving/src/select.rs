//! Which upstream gets a request.

use std::cmp::Reverse;

use crate::pace::Pace;

/// What is known about an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, from this node and from others.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the node's failure domain.
    pub is_near: bool,
    /// Whether it can be relied on.
    pub standing: Standing,
    /// Factor by which it is slower than usual.
    pub pace: Pace,
    /// How much the node prefers it to others, if it doesn't choose among all.
    pub affinity: u64,
    /// Number that decides between equals.
    pub tie: u32,
}

/// Whether an upstream can be relied on. One of a worse standing gets a request only if there is none
/// of a better one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Sound,
    /// It said that it is slow.
    Slow,
    /// It failed or has been silent.
    Doubtful,
}

/// Load, as a share of the slots, that a near upstream may have more than a far one.
const NEAR_BONUS: f64 = 0.05;

/// Index of the upstream with the least load for its slots, among the `choices` that the node prefers of
/// those of the best standing.
pub fn best(candidates: &[Candidate], choices: usize) -> Option<usize> {
    let standing = candidates.iter().map(|it| it.standing).min()?;
    let mut indices: Vec<usize> =
        (0..candidates.len()).filter(|it| candidates[*it].standing == standing).collect();
    let choices = choices.max(1);
    if indices.len() > choices {
        indices.sort_by_key(|it| Reverse(candidates[*it].affinity));
        indices.truncate(choices);
    }
    indices.into_iter().min_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        score(a).total_cmp(&score(b)).then(a.tie.cmp(&b.tie))
    })
}

fn score(it: &Candidate) -> f64 {
    let share = f64::from(it.load + 1) / f64::from(it.slots.max(1));
    let bonus = if it.is_near { NEAR_BONUS } else { 0.0 };
    share * it.pace - bonus
}
