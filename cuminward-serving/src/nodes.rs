//! List of all nodes, by which limits on all nodes together are divided among them.

use std::collections::BTreeSet;

use xxhash_rust::xxh3;

use crate::id;

/// All nodes that were ever found. Nodes that fail or are cut off stay in the list, since a node
/// can't tell whether they still send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    own: id::Node,
    others: BTreeSet<id::Node>,
    is_complete: bool,
}

/// Position of a node among those that share an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Position in the order of preference for the item; 0 for the node that comes first.
    pub rank: usize,
    /// Number of all nodes.
    pub nodes: usize,
}

/// Life cycle
impl List {
    /// Creates a list that contains only the node itself and isn't complete.
    pub fn new(own: id::Node) -> List {
        List { own, others: BTreeSet::new(), is_complete: false }
    }
}

/// Access
impl List {
    /// Returns the number of nodes, this one included.
    pub fn len(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns whether the list is empty, which it never is.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns whether the list contains all nodes that had registered when it was read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns this node's position in the order of preference for an item, as in rendezvous
    /// hashing: 0 for the node that comes first. The orders of different items are unrelated.
    pub fn rank(&self, item: u64) -> usize {
        let weight = |node: &str| xxh3::xxh3_64_with_seed(node.as_bytes(), item);
        let own = (weight(&self.own), &self.own);
        self.others.iter().filter(|it| (weight(it), *it) > own).count()
    }

    /// Returns this node's standing for an item; `None` until the list is complete.
    pub fn standing(&self, item: u64) -> Option<Standing> {
        self.is_complete.then(|| Standing { rank: self.rank(item), nodes: self.len() })
    }

    /// Returns this node's part of an amount that all nodes share; `None` until the list is
    /// complete.
    pub fn divide(&self, amount: f64) -> Option<f64> {
        self.is_complete.then(|| amount / self.len() as f64)
    }
}

/// Mutation
impl List {
    /// Adds a node. Returns whether it wasn't in the list.
    pub fn add(&mut self, node: &str) -> bool {
        node != self.own && !self.others.contains(node) && self.others.insert(node.to_owned())
    }

    /// Records that all nodes were added that have registered. Returns whether the list wasn't
    /// complete before.
    pub fn set_complete(&mut self) -> bool {
        !std::mem::replace(&mut self.is_complete, true)
    }
}
