//! Probes: who asks which host whether it answers, and what missed answers mean.
//!
//! Probes are divided among the nodes of a failure domain by rendezvous hash, so that the load of a node
//! depends on hosts divided by nodes only. [`suspicion`] judges one host, [`dark`] a fabric domain; [`table`]
//! merges what the nodes know, at the [`pace`] that the traffic's bound allows.

use cuminward_core::{id, rendezvous};

pub mod dark;
pub mod pace;
pub mod suspicion;
pub mod table;

/// Nodes that probe each host unless set otherwise.
pub const PROBERS: usize = 2;

/// Returns the hosts that `node` probes, if each host is probed by `probers` of the nodes.
pub fn assigned<'a>(
    node: &str,
    nodes: &[id::Node],
    hosts: impl IntoIterator<Item = &'a id::Host>,
    probers: usize,
) -> Vec<&'a id::Host> {
    let own = |host: &&id::Host| {
        let nodes = nodes.iter().map(String::as_str);
        rendezvous::owners(nodes, host, probers).contains(&node)
    };
    hosts.into_iter().filter(own).collect()
}
