//! What nodes tell each other often.

use std::net::SocketAddr;

use cuminward_derive::record;
use cuminward_serving::{crash::Fingerprint, id, message};

use crate::state::{State, view::Key};

/// What a node tells the others.
#[record]
pub(crate) struct Digest {
    /// Node that sends it.
    pub(crate) node: id::Node,
    /// Its failure domain.
    pub(crate) domain: id::Domain,
    /// Number of this start of the node.
    pub(crate) start: u64,
    /// Number of the digest within this start.
    pub(crate) number: u64,
    /// Where the node takes calls of other nodes.
    pub(crate) address: SocketAddr,
    /// Whether callers may have sent requests since the system first started.
    pub(crate) has_traffic: bool,
    /// Offset that follows the newest declaration it knows.
    pub(crate) declarations: id::Offset,
    /// Offset that follows the newest entry of the list of hosts it knows.
    pub(crate) listing: id::Offset,
    /// Its requests in flight, by each upstream that has some.
    pub(crate) flights: Vec<(Key, u32)>,
    /// Hosts that don't answer it.
    pub(crate) lost: Vec<id::Host>,
    /// Crashes that it saw, by fingerprint of the request.
    pub(crate) crashes: Vec<(Fingerprint, u32)>,
}

/// Access
impl Digest {
    /// Place of the digest among those of its node.
    pub(crate) fn place(&self) -> message::Sequence {
        message::Sequence { incarnation: self.start, number: self.number }
    }
}

/// Which start of which node sends digests.
#[derive(Debug, Clone)]
pub(crate) struct Sender {
    pub(crate) start: u64,
    pub(crate) number: u64,
}

/// Mutation
impl Sender {
    /// Makes the next digest.
    pub(crate) fn next(&mut self, state: &State) -> Digest {
        self.number += 1;
        let now = state.now();
        let view = state.view.load();
        let flights = view.all().map(|it| (it.key, it.gauge.in_flight()));
        let flights = flights.filter(|(_, count)| *count > 0).collect();
        let knowledge = state.knowledge();
        Digest {
            node: state.settings.node.name.clone(),
            domain: state.settings.node.domain.clone(),
            start: self.start,
            number: self.number,
            address: state.settings.listen.peers,
            has_traffic: state.has_traffic(),
            declarations: knowledge.declarations.end(),
            listing: knowledge.listing.end(),
            flights,
            lost: knowledge.lost(now).into_iter().collect(),
            crashes: state.crashes().own_counts(now).collect(),
        }
    }
}
