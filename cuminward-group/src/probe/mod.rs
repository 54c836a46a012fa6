//! Health probes of hosts: which node probes which host, and failure detection from the results.
//!
//! Rendezvous hashing assigns the hosts of a failure domain to its nodes, so that the load of a node depends
//! only on the number of hosts divided by the number of nodes. [`detector`] tells whether one host has failed,
//! [`fabric_outage`] whether a whole fabric domain has; [`table`] merges the observations of all nodes, at
//! the [`interval`] that the bound on traffic allows.

use cuminward_core::{id, rendezvous};

pub mod detector;
pub mod fabric_outage;
pub mod interval;
pub mod table;

/// Default number of nodes that probe each host.
pub const PROBERS_PER_HOST: usize = 2;

/// Returns the hosts that `node` probes, if each host is probed by `probers` of the nodes.
pub fn assigned_hosts<'a>(
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
