//! Digest that a node sends to the other nodes at short intervals.

use std::net::SocketAddr;

use cuminward_derive::record;
use cuminward_serving::{id, message};

use super::pull::{self, Known};
use crate::state::{State, quarantine, routing::Key};

/// Summary of the state of a node.
#[record]
pub(crate) struct Digest {
    /// Node that sends it.
    pub(crate) node: id::Node,
    /// Failure domain of the node.
    pub(crate) domain: id::Domain,
    /// Random number that identifies this run of the node.
    pub(crate) start: u64,
    /// Sequence number of the digest within the run.
    pub(crate) number: u64,
    /// Address at which the node receives digests and calls of other nodes.
    pub(crate) address: SocketAddr,
    /// Whether callers may have sent requests, to any node, since the system first started.
    pub(crate) has_traffic: bool,
    /// Declarations and host list that the node has.
    pub(crate) known: Known,
    /// Number of the node's requests in flight, for each upstream that has any.
    pub(crate) flights: Vec<(Key, u32)>,
    /// Hosts that didn't answer a recent probe of the node.
    pub(crate) lost: Vec<id::Host>,
    /// Whether the node connects other nodes to hosts.
    pub(crate) is_relay: bool,
    /// What the node knows about crashing requests.
    pub(crate) quarantine: quarantine::Report,
}

/// Access
impl Digest {
    /// Returns the run and the sequence number of the digest.
    pub(crate) fn sequence(&self) -> message::Sequence {
        message::Sequence { incarnation: self.start, number: self.number }
    }
}

/// Creates the digests of one run of this node.
#[derive(Debug, Clone)]
pub(crate) struct Builder {
    pub(crate) start: u64,
    pub(crate) number: u64,
}

/// Mutation
impl Builder {
    /// Creates the next digest.
    pub(crate) fn build_next(&mut self, state: &State) -> Digest {
        self.number += 1;
        let now = state.now();
        let snapshot = state.routing.load();
        let flights = snapshot.routable().map(|it| (it.key, it.stats.in_flight()));
        let flights = flights.filter(|(_, count)| *count > 0).collect();
        let known = pull::own_knowledge(state);
        let cluster = state.cluster();
        Digest {
            node: state.settings.node.name.clone(),
            domain: state.settings.node.domain.clone(),
            start: self.start,
            number: self.number,
            address: state.settings.listen.peers,
            has_traffic: state.has_traffic(),
            known,
            flights,
            lost: cluster.probed_losses(now),
            is_relay: !state.is_stopping() && !state.paths.is_stranded(),
            quarantine: state.quarantine.report(now),
        }
    }
}
