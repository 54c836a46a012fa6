//! What a node knows about the liveness of its failure domain's nodes, in few bytes.
//!
//! A digest gives the age of the newest evidence of each node. Two nodes with the same list of nodes
//! leave the names out; [`Digest::list`] tells whether they have.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;
use cuminward_derive::record;
use xxhash_rust::xxh3;

/// Hash of a list of nodes.
pub type ListHash = u32;

/// Unit of ages.
pub const AGE_UNIT: Duration = Duration::from_millis(25);

/// Age that stands for all larger ones, and for nodes without evidence, in units.
const MAX_AGE: u8 = 0x7f;

/// Marks a node that shuts down.
const DRAINING: u8 = 0x80;

/// What is known of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Time since the node was heard of.
    pub age: Duration,
    /// Whether the node shuts down.
    pub draining: bool,
}

/// Evidence of the nodes of a failure domain.
#[record]
#[derive(Default)]
pub struct Digest {
    /// Hash of the sender's list of nodes; 0 without a list.
    pub list: ListHash,
    /// Hashes of the names, where the receiver isn't known to have the same list.
    pub names: Vec<u32>,
    /// Ages in the order of the names.
    pub ages: Vec<u8>,
}

/// Life cycle
impl Digest {
    /// Makes the digest of a list of nodes for a receiver with a list; `None` is a node without
    /// evidence.
    pub fn new(nodes: &BTreeMap<id::Node, Option<Evidence>>, receiver: ListHash) -> Digest {
        let list = hash(nodes.keys());
        let names = if list == receiver { Vec::new() } else { nodes.keys().map(name).collect() };
        Digest { list, names, ages: nodes.values().map(|it| pack(*it)).collect() }
    }
}

/// Access
impl Digest {
    /// The evidence for a receiver with a list of nodes. Nodes without evidence and unlisted ones are
    /// left out; a digest that doesn't fit the list has none.
    pub fn evidence<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a id::Node>,
    ) -> Vec<(&'a id::Node, Evidence)> {
        let nodes: Vec<&id::Node> = nodes.into_iter().collect();
        if self.names.is_empty() {
            let fits = self.list == hash(nodes.iter().copied()) && self.ages.len() == nodes.len();
            let ages = self.ages.iter().filter(|_| fits);
            let pairs = nodes.into_iter().zip(ages);
            return pairs.filter_map(|(node, age)| Some((node, unpack(*age)?))).collect();
        }
        let ages: BTreeMap<u32, u8> =
            self.names.iter().copied().zip(self.ages.iter().copied()).collect();
        let found = |it: &'a id::Node| Some((it, unpack(*ages.get(&name(it))?)?));
        nodes.into_iter().filter_map(found).collect()
    }
}

/// Hash of a list of nodes in the order of their names.
pub fn hash<'a>(nodes: impl IntoIterator<Item = &'a id::Node>) -> ListHash {
    let mut hasher = xxh3::Xxh3::new();
    for node in nodes {
        hasher.update(node.as_bytes());
        hasher.update(&[0]);
    }
    // 0 stands for no list.
    (hasher.digest() as ListHash).max(1)
}

fn name(node: &id::Node) -> u32 {
    xxh3::xxh3_64(node.as_bytes()) as u32
}

fn pack(evidence: Option<Evidence>) -> u8 {
    let Some(evidence) = evidence else { return MAX_AGE };
    // Rounded up, so that passed on evidence never gets younger.
    let units = evidence.age.as_millis().div_ceil(AGE_UNIT.as_millis());
    let age = u8::try_from(units).unwrap_or(MAX_AGE).min(MAX_AGE);
    if evidence.draining { age | DRAINING } else { age }
}

fn unpack(byte: u8) -> Option<Evidence> {
    let units = byte & MAX_AGE;
    let evidence = Evidence { age: AGE_UNIT * u32::from(units), draining: byte & DRAINING != 0 };
    (units < MAX_AGE).then_some(evidence)
}
