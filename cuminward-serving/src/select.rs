//! Which upstream gets a request.

/// What is known about an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, from this node and from others.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the node's failure domain.
    pub is_near: bool,
    /// Factor by which it is slower than usual, or fails more.
    pub penalty: f64,
    /// Number that decides between equals.
    pub tie: u32,
}

/// Load, as a share of the slots, that a near upstream may have more than a far one.
const NEAR_BONUS: f64 = 0.05;

/// Index of the upstream with the least load for its slots.
pub fn best(candidates: impl IntoIterator<Item = Candidate>) -> Option<usize> {
    let scored = candidates.into_iter().enumerate().map(|(at, it)| (score(&it), it.tie, at));
    scored.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, _, at)| at)
}

fn score(it: &Candidate) -> f64 {
    let share = f64::from(it.load + 1) / f64::from(it.slots.max(1));
    let bonus = if it.is_near { NEAR_BONUS } else { 0.0 };
    share * it.penalty - bonus
}
