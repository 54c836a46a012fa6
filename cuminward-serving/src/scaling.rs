//! How much each node does of what all nodes do together, so that the cost of a node doesn't grow with
//! their number.

use std::time::Duration;

use crate::id;

/// Nodes that a node tells about its load at once.
pub const FANOUT: usize = 8;

/// Nodes of a failure domain that divide the duties and read the store for the others.
pub const CANDIDATES_PER_DOMAIN: usize = 4;

/// Upstreams among which a node chooses, at least.
const MIN_CHOICES: usize = 3;

/// Nodes up to which each reads the list of hosts as often as it likes.
const FEW_NODES: usize = 12;

/// Indices of the peers that are told in a round: all if there are few, otherwise some that take turns.
pub fn gossip_targets(number: u64, peers: usize) -> impl Iterator<Item = usize> {
    let count = FANOUT.min(peers);
    let first = if peers > 0 { number as usize % peers * count % peers } else { 0 };
    (first..first + count).map(move |it| it % peers)
}

/// Rounds in which every peer is told once.
pub fn gossip_rounds(peers: usize) -> u32 {
    peers.div_ceil(FANOUT).max(1) as u32
}

/// Upstreams among which one of `nodes` nodes chooses. What it knows of the load of others is older the
/// more nodes there are, and nodes that all chose the least loaded one would overload it together.
pub fn subset_size(upstreams: usize, nodes: usize) -> usize {
    if nodes <= FANOUT + 1 {
        return upstreams;
    }
    (upstreams * FANOUT / nodes).max(MIN_CHOICES)
}

/// Tells whether a node takes part in the division of the duties, among the nodes of its failure domain
/// that were heard of lately.
pub fn is_candidate<'a>(node: &str, others: impl IntoIterator<Item = &'a id::Node>) -> bool {
    others.into_iter().filter(|it| it.as_str() < node).count() < CANDIDATES_PER_DOMAIN
}

/// Interval of something that each of `nodes` nodes does, which is stretched up to `longest` as they
/// grow.
pub fn stretch_interval(usual: Duration, longest: Duration, nodes: usize) -> Duration {
    let stretch = nodes as f64 / FEW_NODES as f64;
    usual.mul_f64(stretch.max(1.0)).min(longest)
}
