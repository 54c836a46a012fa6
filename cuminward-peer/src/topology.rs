//! Chooses the nodes that a node greets.
//!
//! Up to [`FULL_MESH_LIMIT`] others, a node greets all of them. Beyond that the nodes of a failure domain form a
//! ring, in the order of a hash of their names, and each greets two of it, so that what one knows
//! reaches all others in a number of rounds that grows with the square root of the domain's size. Of
//! each other failure domain a node greets one node.

use cuminward_core::rendezvous;

/// Other nodes that a node greets without a choice.
pub const FULL_MESH_LIMIT: usize = 8;

/// What nodes are ordered by.
const RING: &str = "ring";

/// Returns the nodes that `node` greets out of the others of its failure domain.
pub fn select_neighbours<'a>(
    node: &'a str,
    others: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let others: Vec<&str> = others.into_iter().filter(|it| *it != node).collect();
    if others.len() <= FULL_MESH_LIMIT {
        return others;
    }
    let ring = ring(others.into_iter().chain([node]));
    let own = position(&ring, node);
    let step = step(ring.len());
    [step, step + 1].map(|it| ring[(own + it) % ring.len()]).to_vec()
}

/// Returns the nodes of another failure domain in the order in which `node` prefers them: nodes of
/// one domain prefer different nodes of the other.
///
/// `own` are the nodes of the node's failure domain, itself included.
pub fn rank_remotes<'a>(
    node: &'a str,
    own: impl IntoIterator<Item = &'a str>,
    others: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let own = ring(own);
    let mut others = ring(others);
    if !others.is_empty() {
        let first = position(&own, node) % others.len();
        others.rotate_left(first);
    }
    others
}

fn ring<'a>(nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ring: Vec<&str> = nodes.into_iter().collect();
    ring.sort_by_key(|it| (rendezvous::weight(it, RING), *it));
    ring
}

fn position(ring: &[&str], node: &str) -> usize {
    ring.iter().position(|it| *it == node).unwrap_or_default()
}

/// Smallest step `k` for which steps of `k` and `k + 1` in both directions reach every node of a ring
/// within `k` rounds, or one more.
fn step(nodes: usize) -> usize {
    let root = ((2 * nodes - 1) as f64).sqrt();
    (((root - 1.0) / 2.0).ceil() as usize).max(1)
}
