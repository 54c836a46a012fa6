//! Selects the nodes to which a node sends hellos.
//!
//! With up to [`FULL_MESH_LIMIT`] other nodes, a node sends hellos to all of them. Beyond that the
//! nodes of a failure domain form a ring, ordered by a hash of their names, and each node sends
//! hellos to two others of the ring. Information from one node then reaches all others in a number
//! of rounds that grows with the square root of the size of the domain. In each other failure domain
//! a node sends hellos to one node.

use cuminward_core::rendezvous;

/// Largest number of other nodes for which a node sends hellos to all of them.
pub const FULL_MESH_LIMIT: usize = 8;

/// Rendezvous hashing key by which the ring is ordered.
const RING: &str = "ring";

/// Returns the nodes of its own failure domain to which `node` sends hellos.
///
/// `others` are the nodes of the domain; `node` itself is ignored.
pub fn select_neighbours<'a>(
    node: &'a str,
    others: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let others: Vec<&str> = others.into_iter().filter(|it| *it != node).collect();
    if others.len() <= FULL_MESH_LIMIT {
        return others;
    }
    let ring = build_ring(others.into_iter().chain([node]));
    let own = position(&ring, node);
    let step = ring_step(ring.len());
    [step, step + 1].map(|it| ring[(own + it) % ring.len()]).to_vec()
}

/// Returns the nodes of another failure domain in the order in which `node` prefers them. The nodes
/// of one domain prefer different nodes of the other.
///
/// `own` are the nodes of the failure domain of `node`, including `node`.
pub fn rank_remotes<'a>(
    node: &'a str,
    own: impl IntoIterator<Item = &'a str>,
    others: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let own = build_ring(own);
    let mut others = build_ring(others);
    if !others.is_empty() {
        let first = position(&own, node) % others.len();
        others.rotate_left(first);
    }
    others
}

/// Returns the nodes in the order of the hash of their names.
fn build_ring<'a>(nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ring: Vec<&str> = nodes.into_iter().collect();
    ring.sort_by_key(|it| (rendezvous::weight(it, RING), *it));
    ring
}

fn position(ring: &[&str], node: &str) -> usize {
    ring.iter().position(|it| *it == node).unwrap_or_default()
}

/// Returns the smallest `k` for which steps of `k` and `k + 1` in both directions reach every node of
/// a ring within `k` rounds, on some rings `k + 1`.
///
/// At most `2 k^2 + 2 k + 1` nodes can be reached in `k` rounds; the result is the smallest `k` for
/// which that is at least `nodes`.
fn ring_step(nodes: usize) -> usize {
    let root = ((2 * nodes - 1) as f64).sqrt();
    (((root - 1.0) / 2.0).ceil() as usize).max(1)
}
