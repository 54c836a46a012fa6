//! Chooses the nodes that a node pulls from.
//!
//! Each node pulls from a few nodes of its own failure domain and from one node of each other one,
//! chosen by rendezvous hashing over its own name. What one node learns reaches all others of its
//! domain in a number of rounds that grows with the logarithm of the domain's size, and the choice
//! changes little when nodes come and go.

use std::collections::{BTreeMap, BTreeSet};

use cuminward_core::{id, rendezvous};

/// Nodes of its own failure domain that a node pulls from.
pub const OWN_DOMAIN: usize = 3;

/// Nodes of each other failure domain that a node pulls from.
pub const OTHER_DOMAIN: usize = 1;

/// Returns the nodes that `node` of `domain` pulls from, out of the nodes of each domain.
pub fn sources(
    node: &str,
    domain: &str,
    nodes: &BTreeMap<id::Domain, BTreeSet<id::Node>>,
) -> Vec<id::Node> {
    let chosen = nodes.iter().flat_map(|(of, members)| {
        let count = if of == domain { OWN_DOMAIN } else { OTHER_DOMAIN };
        let candidates = members.iter().map(String::as_str).filter(|it| *it != node);
        rendezvous::owners(candidates, node, count)
    });
    chosen.map(str::to_owned).collect()
}
