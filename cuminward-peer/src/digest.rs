//! Compact encoding of a node's view of the liveness of the nodes in its failure domain.
//!
//! A digest holds, for each node, the age of the newest evidence that the node is live, in one byte.
//! If sender and receiver have the same list of nodes ([`Digest::list`]), the digest omits the names.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;
use cuminward_derive::record;
use xxhash_rust::xxh3;

/// Hash of a list of nodes; 0 stands for no list.
pub type ListHash = u32;

/// Unit in which a digest encodes ages.
pub const AGE_UNIT: Duration = Duration::from_millis(25);

/// Largest encoded age, in units of [`AGE_UNIT`]: an age of at least this much, or a node without
/// evidence.
const MAX_AGE: u8 = 0x7f;

/// Bit that marks a node that is shutting down.
const DRAINING: u8 = 0x80;

/// Newest evidence that a node is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Time since the evidence was obtained.
    pub age: Duration,
    /// Whether the node is shutting down.
    pub draining: bool,
}

/// Encoded evidence about the nodes of a failure domain.
#[record]
#[derive(Default)]
pub struct Digest {
    /// Hash of the sender's list of nodes; 0 without a list.
    pub list: ListHash,
    /// Hashes of the node names; empty if the receiver is known to have the same list.
    pub names: Vec<u32>,
    /// Encoded ages, in the order of the node names.
    pub ages: Vec<u8>,
}

/// Life cycle
impl Digest {
    /// Encodes the evidence about `nodes`, where `None` stands for a node without evidence.
    ///
    /// `receiver` is the hash of the receiver's list of nodes, 0 if unknown.
    pub fn new(nodes: &BTreeMap<id::Node, Option<Evidence>>, receiver: ListHash) -> Digest {
        let list = hash(nodes.keys());
        let names =
            if list == receiver { Vec::new() } else { nodes.keys().map(hash_name).collect() };
        Digest { list, names, ages: nodes.values().map(|it| pack(*it)).collect() }
    }
}

/// Access
impl Digest {
    /// Decodes the evidence about the receiver's list of nodes, which must be in the order of names.
    ///
    /// Leaves out nodes without evidence and nodes that are not in `nodes`. Returns nothing if the
    /// digest omits the names and was made for another list.
    pub fn evidence<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a id::Node>,
    ) -> Vec<(&'a id::Node, Evidence)> {
        let nodes: Vec<&id::Node> = nodes.into_iter().collect();
        if self.names.is_empty() {
            let matches =
                self.list == hash(nodes.iter().copied()) && self.ages.len() == nodes.len();
            let ages = self.ages.iter().filter(|_| matches);
            let pairs = nodes.into_iter().zip(ages);
            return pairs.filter_map(|(node, age)| Some((node, unpack(*age)?))).collect();
        }
        let ages: BTreeMap<u32, u8> =
            self.names.iter().copied().zip(self.ages.iter().copied()).collect();
        let decode = |it: &'a id::Node| Some((it, unpack(*ages.get(&hash_name(it))?)?));
        nodes.into_iter().filter_map(decode).collect()
    }
}

/// Returns the hash of a list of nodes, which must be in the order of their names.
pub fn hash<'a>(nodes: impl IntoIterator<Item = &'a id::Node>) -> ListHash {
    let mut hasher = xxh3::Xxh3::new();
    for node in nodes {
        hasher.update(node.as_bytes());
        hasher.update(&[0]);
    }
    // 0 is reserved for a node without a list.
    (hasher.digest() as ListHash).max(1)
}

fn hash_name(node: &id::Node) -> u32 {
    xxh3::xxh3_64(node.as_bytes()) as u32
}

fn pack(evidence: Option<Evidence>) -> u8 {
    let Some(evidence) = evidence else { return MAX_AGE };
    // Rounds up, so that evidence that is passed from node to node never appears newer than it is.
    let units = evidence.age.as_millis().div_ceil(AGE_UNIT.as_millis());
    let age = u8::try_from(units).unwrap_or(MAX_AGE).min(MAX_AGE);
    if evidence.draining { age | DRAINING } else { age }
}

fn unpack(byte: u8) -> Option<Evidence> {
    let units = byte & MAX_AGE;
    let evidence = Evidence { age: AGE_UNIT * u32::from(units), draining: byte & DRAINING != 0 };
    (units < MAX_AGE).then_some(evidence)
}
