//! The other nodes, as the host list names them and as they were last heard of.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_core::{host, id};
use cuminward_peer::{digest, topology};

use crate::state;

/// Time after which a node that is greeted all the time and wasn't heard of doesn't count as live.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for a node that is heard of through others, or greeted less often.
pub const INDIRECT_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_800);

/// The other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    known: ArcSwap<BTreeMap<id::Node, Peer>>,
}

/// Another node.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// IP address and port for calls between nodes.
    pub address: String,
    /// When the node was first listed, since the start of this process.
    pub first_listed: Duration,
    /// Time after which the node doesn't count as live unless it is heard of.
    pub live_timeout: Duration,
    /// What the node last said, if it ever did.
    pub status: Option<Status>,
    /// Newest evidence through other nodes of its failure domain.
    pub evidence: Option<Evidence>,
}

/// What others say about a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// When the node was heard of, since the start of this process.
    pub at: Duration,
    /// Whether the node shuts down.
    pub draining: bool,
}

/// What a node last said.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// When it was heard, since the start of this process.
    pub at: Duration,
    /// Tells that start of the node from others.
    pub incarnation: id::Incarnation,
    /// Revision of the node's configuration.
    pub revision: id::Revision,
    /// Whether the node shuts down.
    pub draining: bool,
    /// IP address and port of the node's HTTP interface towards callers.
    pub callers: String,
    /// Requests that the node's failure domain could take in addition.
    pub free: u32,
    /// Time between question and answer.
    pub round_trip: Duration,
    /// Hash of the node's list of its failure domain's nodes.
    pub list: digest::ListHash,
}

/// Access
impl Peers {
    /// The other nodes by name.
    pub fn all(&self) -> Arc<BTreeMap<id::Node, Peer>> {
        self.known.load_full()
    }

    /// Nodes of this failure domain that answer and don't shut down, this one included.
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
    /// Nodes of all failure domains that count as live as far as is known, this one included: of those
    /// that are neither greeted nor heard of, nothing else is known.
    pub fn live_nodes_everywhere(&self, state: &state::State) -> Vec<id::Node> {
        let now = state.now();
        let known = self.known.load();
        let is_unheard = |it: &Peer| it.domain != state.settings.domain && it.status.is_none();
        let live = known.iter().filter(|(_, it)| it.is_live(now) || is_unheard(it));
        live.map(|(name, _)| name.clone()).chain([state.settings.node.clone()]).collect()
    }

    /// What this node knows about the liveness of its failure domain's nodes, itself included.
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
    /// Takes over the nodes of the host list; what they said before is kept.
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

    /// Notes what a node said.
    pub fn record_status(&self, node: &str, status: &Status) {
        self.known.rcu(|known| {
            let mut known = BTreeMap::clone(known);
            if let Some(peer) = known.get_mut(node) {
                peer.status = Some(status.clone());
            }
            known
        });
    }

    /// Notes what a node of this failure domain knows about the others, at a time.
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
    /// Tells whether the node was heard of lately and doesn't shut down.
    pub fn is_live(&self, now: Duration) -> bool {
        let newest = self.newest_evidence();
        newest.is_some_and(|it| !it.draining && now.saturating_sub(it.at) <= self.live_timeout)
    }

    /// Tells whether the node may answer: it was heard of or listed lately.
    pub fn may_be_live(&self, now: Duration) -> bool {
        let at =
            self.newest_evidence().map_or(self.first_listed, |it| it.at.max(self.first_listed));
        now.saturating_sub(at) <= self.live_timeout
    }

    /// Newest evidence of the node. Evidence through others counts only where the node isn't greeted
    /// all the time.
    pub fn newest_evidence(&self) -> Option<Evidence> {
        let status = self.status.as_ref().map(|it| Evidence { at: it.at, draining: it.draining });
        let others = self.evidence.filter(|_| self.live_timeout > LIVENESS_TIMEOUT);
        [status, others].into_iter().flatten().max_by_key(|it| it.at)
    }
}

/// Mutation
impl Peer {
    /// Notes evidence that another node gave at a time.
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
    /// The evidence with its age.
    fn age(self, now: Duration) -> digest::Evidence {
        digest::Evidence { age: now.saturating_sub(self.at), draining: self.draining }
    }
}
