//! Sends digests to the other nodes and takes theirs in.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cuminward_event::kind::Kind;
use cuminward_serving::{crash::Fingerprint, id, loss, scaling};
use tokio::{net::UdpSocket, time};

use super::digest::{Digest, Sender};
use crate::{
    control::watch,
    state::{State, view::Key},
};

/// Shortest and longest time between two digests.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Age beyond which what a node said about its load doesn't count.
const FRESH: Duration = Duration::from_millis(1500);

/// Silence after which a node gets digests only now and then.
const SILENT: Duration = Duration::from_secs(10);

/// Digests to reachable nodes for each one to a silent node.
const RARELY: u64 = 10;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// Nodes that this node knows.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: Mutex<HashMap<id::Node, Peer>>,
}

/// Another node.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    /// When something was last heard of it.
    pub(crate) heard: Duration,
    pub(crate) digest: Option<Digest>,
}

/// Access
impl Peers {
    /// Nodes that were heard of lately.
    pub(crate) fn fresh(&self, now: Duration) -> Vec<Peer> {
        let peers = self.lock();
        let fresh = FRESH.max(MAX_INTERVAL * scaling::gossip_rounds(peers.len()) * 2);
        peers.values().filter(|it| now.saturating_sub(it.heard) < fresh).cloned().collect()
    }

    /// Addresses of the nodes of the own failure domain that read the store for the others.
    pub(crate) fn readers(&self, state: &State) -> Vec<SocketAddr> {
        let fresh = self.fresh(state.now());
        let near: BTreeMap<&id::Node, SocketAddr> = near(&fresh, state).collect();
        near.into_values().take(scaling::CANDIDATES_PER_DOMAIN).collect()
    }

    /// Hosts that a node said don't answer it.
    fn losses(&self, node: &str) -> Vec<id::Host> {
        let peers = self.lock();
        let digest = peers.get(node).and_then(|it| it.digest.as_ref());
        digest.map(|it| it.lost.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Node, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Peers {
    /// Adds a node that the store lists. Returns the number of nodes, this one included.
    pub(crate) fn add(&self, now: Duration, node: &str, address: SocketAddr) -> usize {
        let mut peers = self.lock();
        let peer =
            peers.entry(node.to_owned()).or_insert(Peer { address, heard: now, digest: None });
        peer.address = address;
        peers.len() + 1
    }

    /// Takes in a digest; false if it is older than one that was taken in before.
    fn hear(&self, now: Duration, digest: Digest) -> bool {
        let mut peers = self.lock();
        let known = peers.get(&digest.node).and_then(|it| it.digest.as_ref());
        if known.is_some_and(|it| !digest.place().supersedes(it.place())) {
            return false;
        }
        let peer = Peer { address: digest.address, heard: now, digest: Some(digest.clone()) };
        peers.insert(digest.node, peer);
        true
    }

    /// Addresses to which a round of digests goes; all that are reachable if it is urgent.
    fn addresses(&self, now: Duration, number: u64, is_urgent: bool) -> Vec<SocketAddr> {
        let is_due =
            |it: &&Peer| now.saturating_sub(it.heard) < SILENT || number.is_multiple_of(RARELY);
        let peers = self.lock();
        let due: BTreeMap<&id::Node, SocketAddr> =
            peers.iter().filter(|it| is_due(&it.1)).map(|(node, it)| (node, it.address)).collect();
        let due: Vec<SocketAddr> = due.into_values().collect();
        if is_urgent {
            return due;
        }
        scaling::gossip_targets(number, due.len()).map(|it| due[it]).collect()
    }
}

/// Sends digests until the task is dropped.
pub(crate) async fn send(state: Arc<State>, peers: Arc<Peers>, socket: Arc<UdpSocket>, start: u64) {
    let mut sender = Sender { start, number: 0 };
    loop {
        let digest = sender.next(&state);
        match bincode::serialize(&digest) {
            Ok(bytes) => {
                let is_urgent = state.take_urgency();
                for address in peers.addresses(state.now(), digest.number, is_urgent) {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!("a digest to {address} wasn't sent: {error}");
                    }
                }
            }
            Err(error) => log::error!("the digest can't be encoded: {error}"),
        }
        time::sleep(MIN_INTERVAL).await;
        take_stock(&state, &peers);
        let rest = MAX_INTERVAL - MIN_INTERVAL;
        if state.view.load().all().all(|it| it.gauge.in_flight() == 0) {
            // Nothing to tell about load: wait for other news.
            let _ = time::timeout(rest, state.news.notified()).await;
        }
    }
}

/// Takes digests in until the task is dropped.
pub(crate) async fn receive(state: Arc<State>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        match received.and_then(|(length, _)| decode(&buffer[..length])) {
            Ok(digest) => take_in(&state, &peers, digest),
            Err(error) => {
                log::debug!("a digest wasn't received: {error}");
                time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

fn decode(bytes: &[u8]) -> io::Result<Digest> {
    bincode::deserialize(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

fn take_in(state: &Arc<State>, peers: &Peers, digest: Digest) {
    if digest.node == state.settings.node.name {
        return;
    }
    if digest.has_traffic {
        state.note_traffic();
    }
    let now = state.now();
    let (node, lost, crashes) = (digest.node.clone(), digest.lost.clone(), digest.crashes.clone());
    let before = peers.losses(&node);
    if !peers.hear(now, digest) {
        return;
    }
    state.set_nodes(peers.lock().len() + 1);
    suspect(state, &node, &loss::find_new(&before, &lost));
    if !crashes.is_empty() {
        count_crashes(state, peers, now);
    }
}

/// Asks members of replicas that newly don't answer another node.
fn suspect(state: &Arc<State>, from: &str, lost: &[&str]) {
    let now = state.now();
    let mut knowledge = state.knowledge();
    let lost: Vec<&str> = lost.iter().copied().filter(|it| knowledge.hear(now, it)).collect();
    drop(knowledge);
    if lost.is_empty() {
        return;
    }
    state.events.emit(Kind::LossHeard { from: from.to_owned(), hosts: lost.join(",") });
    for upstream in state.view.load().watched().filter(|it| it.is_replica()) {
        for member in upstream.members.iter().filter(|it| lost.contains(&it.host.as_str())) {
            watch::ask(state, member.clone());
        }
    }
}

fn count_crashes(state: &State, peers: &Peers, now: Duration) {
    let mut counts: HashMap<Fingerprint, u32> = HashMap::new();
    for peer in peers.lock().values() {
        let crashes = peer.digest.iter().flat_map(|it| &it.crashes);
        for (fingerprint, count) in crashes {
            *counts.entry(*fingerprint).or_default() += count;
        }
    }
    let mut ledger = state.crashes();
    for (fingerprint, count) in counts {
        ledger.set_peer_count(now, fingerprint, count);
    }
}

/// Takes stock of the other nodes: who takes part in the duties, and the requests in flight.
fn take_stock(state: &State, peers: &Peers) {
    let fresh = peers.fresh(state.now());
    let near = near(&fresh, state).map(|(node, _)| node);
    state.duty.set_bystander(!scaling::is_candidate(&state.settings.node.name, near));
    sum_flights(state, fresh);
}

/// Nodes of the own failure domain with their addresses.
fn near<'a>(
    peers: &'a [Peer],
    state: &'a State,
) -> impl Iterator<Item = (&'a id::Node, SocketAddr)> {
    let digests = peers.iter().filter_map(|it| Some((it.digest.as_ref()?, it.address)));
    let near = digests.filter(|(it, _)| it.domain == state.settings.node.domain);
    near.map(|(it, address)| (&it.node, address))
}

/// Adds up the requests in flight from other nodes.
fn sum_flights(state: &State, fresh: Vec<Peer>) {
    let mut sums: HashMap<Key, u32> = HashMap::new();
    for peer in fresh {
        for (key, count) in peer.digest.into_iter().flat_map(|it| it.flights) {
            *sums.entry(key).or_default() += count;
        }
    }
    for upstream in state.view.load().all() {
        upstream.gauge.set_others(sums.get(&upstream.key).copied().unwrap_or(0));
    }
}
