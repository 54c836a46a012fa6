//! Limits on the coordination work of each node, so that the cost of a node does not grow with the
//! number of nodes.

use std::{ops::Range, time::Duration};

use crate::id;

/// Number of peers to which a node sends its load in one gossip round.
pub const FANOUT: usize = 8;

/// Number of nodes in a failure domain that divide the duties among themselves and read the store
/// on behalf of the others.
pub const CANDIDATES_PER_DOMAIN: usize = 4;

/// Number of nodes that fetch what the store has from each node of the level above, at most.
pub const FOLLOWERS: usize = 8;

/// Minimum number of upstreams among which a node chooses.
const MIN_SUBSET_SIZE: usize = 3;

/// Minimum number of upstreams over which a node spreads its requests.
const MIN_SPREAD_SIZE: usize = 16;

/// Number of nodes up to which intervals are not stretched; each node then reads the list of hosts
/// at the base interval.
const MAX_UNSTRETCHED_NODES: usize = 12;

/// Returns the indices of the peers to which round `number` goes: all peers if there are at most
/// [`FANOUT`], otherwise [`FANOUT`] of them in rotation.
pub fn gossip_targets(number: u64, peers: usize) -> impl Iterator<Item = usize> {
    let count = FANOUT.min(peers);
    let first = if peers > 0 { number as usize % peers * count % peers } else { 0 };
    (first..first + count).map(move |it| it % peers)
}

/// Returns the number of gossip rounds that reach every peer once.
pub fn gossip_rounds(peers: usize) -> u32 {
    peers.div_ceil(FANOUT).max(1) as u32
}

/// Returns the number of upstreams among which one of `nodes` nodes chooses. The more nodes there
/// are, the older is what a node has received about the load from the others; if all nodes chose
/// the least loaded upstream, they would overload it together.
pub fn subset_size(upstreams: usize, nodes: usize) -> usize {
    if nodes <= FANOUT + 1 {
        return upstreams;
    }
    (upstreams * FANOUT / nodes).max(MIN_SUBSET_SIZE)
}

/// Returns the number of upstreams over which one of `nodes` nodes spreads its requests if it foresees what the others
/// send. A choice among few would leave the upstreams that few nodes prefer idle.
pub fn spread_size(upstreams: usize, nodes: usize) -> usize {
    subset_size(upstreams, nodes).max(MIN_SPREAD_SIZE)
}

/// Returns whether a node takes part in the division of the duties: the nodes with the lowest names
/// do. `others` are the nodes of its failure domain that have recently sent a message.
pub fn is_candidate<'a>(node: &str, others: impl IntoIterator<Item = &'a id::Node>) -> bool {
    others.into_iter().filter(|it| it.as_str() < node).count() < CANDIDATES_PER_DOMAIN
}

/// Returns the ranks of the nodes from which the node with a rank among the names of its failure domain fetches what
/// the store has; none for the nodes that read the store.
///
/// The readers are the first level of a tree, and each level has [`FOLLOWERS`] times as many nodes as the one above
/// it. If all fetched from the readers, the links of these would be full in a large domain while many hosts change.
pub fn sources(rank: usize) -> Range<usize> {
    let mut above = 0..0;
    let mut level = 0..CANDIDATES_PER_DOMAIN;
    while rank >= level.end {
        let end = level.end + level.len() * FOLLOWERS;
        above = std::mem::replace(&mut level, 0..0);
        level = above.end..end;
    }
    above
}

/// Returns the number of levels below the readers in a failure domain of `nodes` nodes.
pub fn depth(nodes: usize) -> usize {
    let mut depth = 0;
    let mut last = nodes.saturating_sub(1);
    while !sources(last).is_empty() {
        last = sources(last).start;
        depth += 1;
    }
    depth
}

/// Returns the interval of a task that each of `nodes` nodes runs: `base`, stretched in proportion
/// to the number of nodes up to `max_interval`.
pub fn stretch_interval(base: Duration, max_interval: Duration, nodes: usize) -> Duration {
    let stretch = nodes as f64 / MAX_UNSTRETCHED_NODES as f64;
    base.mul_f64(stretch.max(1.0)).min(max_interval)
}
