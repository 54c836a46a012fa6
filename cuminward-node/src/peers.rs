//! The other nodes, as the host list names them and as they were last heard of.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use cuminward_core::{host, id};

use crate::state;

/// Time after which a node that wasn't heard of doesn't count as live.
pub const LIVE: Duration = Duration::from_millis(1_500);

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
    /// What the node last said, if it ever did.
    pub word: Option<Word>,
}

/// What a node last said.
#[derive(Debug, Clone, PartialEq)]
pub struct Word {
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
}

/// Access
impl Peers {
    /// The other nodes by name.
    pub fn known(&self) -> Arc<BTreeMap<id::Node, Peer>> {
        self.known.load_full()
    }

    /// Nodes of this failure domain that answer and don't shut down, this one included.
    pub fn live(&self, state: &state::State) -> Vec<id::Node> {
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
    /// Nodes of all failure domains that answer and don't shut down, this one included.
    pub fn live_everywhere(&self, state: &state::State) -> Vec<id::Node> {
        let now = state.now();
        let known = self.known.load();
        let live = known.iter().filter(|(_, it)| it.is_live(now)).map(|(name, _)| name.clone());
        live.chain([state.settings.node.clone()]).collect()
    }
}

/// Mutation
impl Peers {
    /// Takes over the nodes of the host list; what they said before is kept.
    pub fn list(&self, own: &str, hosts: &[host::Entry]) {
        let old = self.known.load();
        let nodes = hosts.iter().filter(|it| it.role == host::Role::Node && it.host != own);
        let peer = |it: &host::Entry| {
            let known = old.get(&it.host).filter(|peer| peer.address == it.address);
            Peer {
                domain: it.domain.clone(),
                address: it.address.clone(),
                word: known.and_then(|it| it.word.clone()),
            }
        };
        let known = nodes.map(|it| (it.host.clone(), peer(it))).collect();
        self.known.store(Arc::new(known));
    }

    /// Notes what a node said.
    pub fn heard(&self, node: &str, word: &Word) {
        self.known.rcu(|known| {
            let mut known = BTreeMap::clone(known);
            if let Some(peer) = known.get_mut(node) {
                peer.word = Some(word.clone());
            }
            known
        });
    }
}

/// Access
impl Peer {
    /// Tells whether the node answered lately and doesn't shut down.
    pub fn is_live(&self, now: Duration) -> bool {
        let word = self.word.as_ref();
        word.is_some_and(|it| !it.draining && now.saturating_sub(it.at) <= LIVE)
    }
}
