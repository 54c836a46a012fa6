//! The other nodes: membership by the host list, and liveness by the statuses that they send.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_core::{host, id};
use cuminward_peer::{digest, topology};

use crate::state;

/// Time without evidence after which a node that this one calls in every round counts as not live.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Liveness timeout of a node that is called less often, or observed only through other nodes.
pub const INDIRECT_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_800);

/// The other nodes, as a snapshot that is replaced on every change.
#[derive(Debug, Default)]
pub struct Peers {
    known: ArcSwap<BTreeMap<id::Node, Peer>>,
}

/// What is known about another node.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// IP address and port for calls between nodes.
    pub address: String,
    /// Time of the first host list with the node, since the start of this process.
    pub first_listed: Duration,
    /// Time without evidence after which the node counts as not live.
    pub live_timeout: Duration,
    /// Status that the node last sent, if any.
    pub status: Option<Status>,
    /// Newest evidence that other nodes of its failure domain passed on.
    pub evidence: Option<Evidence>,
}

/// Evidence that a node is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Time at which the node was live, since the start of this process.
    pub at: Duration,
    /// Whether the node is shutting down.
    pub draining: bool,
}

/// Status that a node sent with a hello message.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Time at which the status was requested, since the start of this process.
    pub at: Duration,
    /// Distinguishes that start of the node from others.
    pub incarnation: id::Incarnation,
    /// Revision of the node's configuration.
    pub revision: id::Revision,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// IP address and port of the node's HTTP interface towards callers.
    pub callers: String,
    /// Number of further requests that the node's failure domain could take.
    pub free: u32,
    /// Time between sending the hello and receiving the answer.
    pub round_trip: Duration,
    /// Hash of the node's list of its failure domain's nodes.
    pub list: digest::ListHash,
}

/// Access
impl Peers {
    /// Returns the other nodes by name.
    pub fn all(&self) -> Arc<BTreeMap<id::Node, Peer>> {
        self.known.load_full()
    }

    /// Returns the nodes of this failure domain that are live and not shutting down, this one
    /// included, sorted by name.
    pub fn live_nodes(&self, state: &state::State) -> Vec<id::Node> {
        let now = state.now();
        let domain = &state.settings.domain;
        let known = self.known.load();
        let live = known.iter().filter(|(_, it)| it.domain == *domain && it.is_live(now));
        let mut nodes: Vec<id::Node> = live.map(|(name, _)| name.clone()).collect();
        nodes.push(state.settings.node.clone());
        nodes.sort_unstable();
        nodes
    }
}

/// Access
impl Peers {
    /// Returns the nodes of all failure domains that are presumably live, this one included.
    ///
    /// Nodes of other domains without a status count as live, since nothing is known about them.
    pub fn live_nodes_everywhere(&self, state: &state::State) -> Vec<id::Node> {
        let now = state.now();
        let known = self.known.load();
        let is_unknown = |it: &Peer| it.domain != state.settings.domain && it.status.is_none();
        let live = known.iter().filter(|(_, it)| it.is_live(now) || is_unknown(it));
        live.map(|(name, _)| name.clone()).chain([state.settings.node.clone()]).collect()
    }

    /// Returns the newest evidence about each node of the failure domain, this one included.
    pub fn evidence(&self, state: &state::State) -> BTreeMap<id::Node, Option<digest::Evidence>> {
        let now = state.now();
        let known = self.known.load();
        let own = known.iter().filter(|(_, it)| it.domain == state.settings.domain);
        let mut all: BTreeMap<_, _> = own
            .map(|(name, it)| (name.clone(), it.newest_evidence().map(|it| it.age(now))))
            .collect();
        let draining = state.draining.load(Ordering::Acquire);
        let itself = digest::Evidence { age: Duration::ZERO, draining };
        all.insert(state.settings.node.clone(), Some(itself));
        all
    }
}

/// Mutation
impl Peers {
    /// Sets the nodes to those of the host list; a node with the same address keeps its status.
    pub fn set_nodes(&self, now: Duration, own: &str, domain: &str, hosts: &[host::Entry]) {
        let old = self.known.load();
        let nodes = hosts.iter().filter(|it| it.role == host::Role::Node && it.host != own);
        let all = nodes.clone().count();
        let near = nodes.clone().filter(|it| it.domain == domain).count();
        let peer = |it: &host::Entry| {
            let known = old.get(&it.host).filter(|peer| peer.address == it.address);
            let others = if it.domain == domain { near } else { all };
            Peer {
                domain: it.domain.clone(),
                address: it.address.clone(),
                first_listed: known.map_or(now, |it| it.first_listed),
                live_timeout: if others <= topology::FULL_MESH_LIMIT {
                    LIVENESS_TIMEOUT
                } else {
                    INDIRECT_LIVENESS_TIMEOUT
                },
                status: known.and_then(|it| it.status.clone()),
                evidence: known.and_then(|it| it.evidence),
            }
        };
        let known: BTreeMap<id::Node, Peer> = nodes.map(|it| (it.host.clone(), peer(it))).collect();
        if known != **old {
            self.known.store(Arc::new(known));
        }
    }

    /// Records the status that a node sent.
    pub fn record_status(&self, node: &str, status: &Status) {
        self.known.rcu(|known| {
            let mut known = BTreeMap::clone(known);
            if let Some(peer) = known.get_mut(node) {
                peer.status = Some(status.clone());
            }
            known
        });
    }

    /// Records the evidence that another node of this failure domain had about its nodes at a time.
    pub fn record_digest(&self, at: Duration, own: &str, domain: &str, digest: &digest::Digest) {
        self.known.rcu(|known| {
            let mut known = BTreeMap::clone(known);
            let own = own.to_owned();
            let near = known.iter().filter(|(_, it)| it.domain == domain).map(|(name, _)| name);
            let names: BTreeSet<id::Node> = near.chain([&own]).cloned().collect();
            for (name, evidence) in digest.evidence(&names) {
                if let Some(peer) = known.get_mut(name) {
                    peer.record_evidence(at, evidence);
                }
            }
            known
        });
    }
}

/// Access
impl Peer {
    /// Returns whether there is recent evidence of the node and it is not shutting down.
    pub fn is_live(&self, now: Duration) -> bool {
        let newest = self.newest_evidence();
        newest.is_some_and(|it| !it.draining && now.saturating_sub(it.at) <= self.live_timeout)
    }

    /// Returns whether the node may answer: there is recent evidence of it, or it was first listed
    /// recently.
    pub fn may_be_live(&self, now: Duration) -> bool {
        let at =
            self.newest_evidence().map_or(self.first_listed, |it| it.at.max(self.first_listed));
        now.saturating_sub(at) <= self.live_timeout
    }

    /// Returns the newest evidence of the node.
    ///
    /// Evidence from other nodes counts only if this one does not call the node in every round.
    pub fn newest_evidence(&self) -> Option<Evidence> {
        let status = self.status.as_ref().map(|it| Evidence { at: it.at, draining: it.draining });
        let others = self.evidence.filter(|_| self.live_timeout > LIVENESS_TIMEOUT);
        [status, others].into_iter().flatten().max_by_key(|it| it.at)
    }
}

/// Mutation
impl Peer {
    /// Records evidence that another node had at a time, if it is newer.
    fn record_evidence(&mut self, at: Duration, evidence: digest::Evidence) {
        let Some(at) = at.checked_sub(evidence.age) else { return };
        let evidence = Evidence { at, draining: evidence.draining };
        if self.evidence.is_none_or(|it| it.at < at) {
            self.evidence = Some(evidence);
        }
    }
}

/// Access
impl Evidence {
    /// Returns the evidence with its age instead of its time.
    fn age(self, now: Duration) -> digest::Evidence {
        digest::Evidence { age: now.saturating_sub(self.at), draining: self.draining }
    }
}
