//! Gossip: sends digests to the other nodes and receives theirs.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cuminward_event::kind::Kind;
use cuminward_serving::{id, level, loss, scaling};
use tokio::{net::UdpSocket, time};

use super::{
    datagram::{self, Datagram, Extension},
    digest::{Builder, Digest},
    feature,
    unreadable::Unreadable,
};
use crate::{
    control::health_check,
    state::{State, routing::Key},
    tunnel::paths::Relay,
};

/// Shortest and longest time between two digests.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time for which a node counts as present after it was last seen. The time is longer if a
/// round of digests doesn't reach all nodes.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time without a digest after which a node counts as silent and gets digests only in some rounds.
const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Number of rounds of which one also sends digests to silent nodes.
const SILENT_PEER_ROUNDS: u64 = 10;

/// Build of nodes that name none.
const UNKNOWN_BUILD: &str = "unknown";

/// Known other nodes, by name.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: Mutex<HashMap<id::Node, Peer>>,
    /// Addresses of nodes that have just started, to which the next digest goes whether or not it is their turn.
    greetings: Mutex<Vec<SocketAddr>>,
}

/// Another node as it was last seen.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    /// When the last digest arrived, or when the node was found in the store, since this node's start.
    pub(crate) seen_at: Duration,
    pub(crate) digest: Option<Digest>,
    /// What the present run of the node tells about itself; `None` if it hasn't told, as nodes of earlier builds.
    pub(crate) extension: Option<Extension>,
}

/// Access
impl Peer {
    /// Returns whether the node has a feature.
    fn has(&self, feature: feature::Id) -> bool {
        self.extension.as_ref().is_some_and(|it| it.features.contains(&feature))
    }
}

/// Access
impl Peers {
    /// Returns the nodes that were seen recently.
    pub(crate) fn recently_seen(&self, now: Duration) -> Vec<Peer> {
        let peers = self.lock();
        let timeout = PRESENCE_TIMEOUT.max(MAX_INTERVAL * scaling::gossip_rounds(peers.len()) * 2);
        peers.values().filter(|it| now.saturating_sub(it.seen_at) < timeout).cloned().collect()
    }

    /// Returns the addresses of the nodes of this node's failure domain from which it fetches what the store has.
    pub(crate) fn sources(&self, state: &State) -> Vec<SocketAddr> {
        let fresh = self.recently_seen(state.now());
        let peers: BTreeMap<&id::Node, SocketAddr> = peers_in_domain(&fresh, state).collect();
        let rank = peers.keys().filter(|it| **it < &state.settings.node.name).count();
        let sources = scaling::sources(rank);
        peers.into_values().skip(sources.start).take(sources.len()).collect()
    }

    /// Returns whether the present run of the node at an address has a feature.
    pub(crate) fn has_feature(&self, address: SocketAddr, feature: feature::Id) -> bool {
        self.lock().values().any(|it| it.address == address && it.has(feature))
    }

    /// Returns whether a run of a node is known.
    fn contains_run(&self, digest: &Digest) -> bool {
        let peers = self.lock();
        let known = peers.get(&digest.node).and_then(|it| it.digest.as_ref());
        known.is_some_and(|it| it.start == digest.start)
    }

    /// Returns whether a node is known.
    fn contains(&self, node: &str) -> bool {
        self.lock().contains_key(node)
    }

    /// Returns the hosts that the last digest of a node reports as lost.
    fn reported_losses(&self, node: &str) -> Vec<id::Host> {
        let peers = self.lock();
        let digest = peers.get(node).and_then(|it| it.digest.as_ref());
        digest.map(|it| it.lost.clone()).unwrap_or_default()
    }

    /// Returns what the present run of a node tells about itself.
    fn extension(&self, node: &str) -> Option<Extension> {
        self.lock().get(node).and_then(|it| it.extension.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Node, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Peers {
    /// Adds a node that the store lists.
    pub(crate) fn add(&self, now: Duration, node: &str, address: SocketAddr) {
        let mut peers = self.lock();
        let new = Peer { address, seen_at: now, digest: None, extension: None };
        let peer = peers.entry(node.to_owned()).or_insert(new);
        peer.address = address;
    }

    /// Stores a digest, and the extension that came with it. Returns false, without a change, if the digest is no
    /// newer than the known one of its node.
    fn store(&self, now: Duration, digest: Digest, extension: Option<Extension>) -> bool {
        let mut peers = self.lock();
        let known = peers.get(&digest.node);
        let last = known.and_then(|it| it.digest.as_ref());
        if last.is_some_and(|it| !digest.sequence().supersedes(it.sequence())) {
            return false;
        }
        let is_same_run = last.is_some_and(|it| it.start == digest.start);
        let earlier = known.filter(|_| is_same_run).and_then(|it| it.extension.clone());
        let peer = Peer {
            address: digest.address,
            seen_at: now,
            digest: Some(digest.clone()),
            extension: extension.or(earlier),
        };
        peers.insert(digest.node, peer);
        true
    }

    /// Sends the next digest to a node that has just started.
    fn greet(&self, address: SocketAddr) {
        self.greetings.lock().unwrap_or_else(PoisonError::into_inner).push(address);
    }

    fn take_greetings(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut *self.greetings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the addresses to which a round of digests goes. A broadcast goes to all nodes that are
    /// due, any other round to those that have just started and to some that take turns.
    fn targets(&self, now: Duration, number: u64, is_broadcast: bool) -> Vec<SocketAddr> {
        let greetings = self.take_greetings();
        let is_due = |it: &&Peer| {
            now.saturating_sub(it.seen_at) < SILENT_AFTER
                || number.is_multiple_of(SILENT_PEER_ROUNDS)
        };
        let peers = self.lock();
        let due: BTreeMap<&id::Node, SocketAddr> =
            peers.iter().filter(|it| is_due(&it.1)).map(|(node, it)| (node, it.address)).collect();
        let due: Vec<SocketAddr> = due.into_values().collect();
        if is_broadcast {
            return due;
        }
        let mut targets: BTreeSet<SocketAddr> = greetings.into_iter().collect();
        targets.extend(scaling::gossip_targets(number, due.len()).map(|it| due[it]));
        targets.into_iter().collect()
    }
}

/// Sends digests until the task is dropped.
pub(crate) async fn send(state: Arc<State>, peers: Arc<Peers>, socket: Arc<UdpSocket>, start: u64) {
    let mut builder = Builder { start, number: 0 };
    let mut told: Told = HashMap::new();
    loop {
        let digest = builder.build_next(&state);
        if let Err(error) = send_digest(&state, &peers, &socket, &digest, &mut told).await {
            log::error!("can't encode a digest: {error}");
        }
        time::sleep(MIN_INTERVAL).await;
        update_from_digests(&state, &peers);
        state.update_quarantine();
        let rest = MAX_INTERVAL - MIN_INTERVAL;
        if state.routing.load().routable().all(|it| it.stats.in_flight() == 0) {
            // There is no load to report, so the next digest can wait until the snapshot changes.
            let _ = time::timeout(rest, state.snapshot_changed.notified()).await;
        }
    }
}

/// When the extension was last sent to each address, since the node's start.
type Told = HashMap<SocketAddr, Duration>;

/// Sends a digest to the nodes whose turn it is, with the extension to those that haven't got it for a while.
///
/// # Errors
///
/// Fails if the digest can't be encoded.
async fn send_digest(
    state: &State,
    peers: &Peers,
    socket: &UdpSocket,
    digest: &Digest,
    told: &mut Told,
) -> io::Result<()> {
    let now = state.now();
    let plain = datagram::encode(digest)?;
    if state.take_host_news() {
        told.clear();
    }
    told.retain(|_, at| now < *at + datagram::EXTENSION_INTERVAL);
    let extend = || {
        let extension = Extension::own(state.limit_reports(), state.leaving_reports());
        let extended = [plain.as_slice(), &extension.encode()].concat();
        if extended.len() <= datagram::MAX_BYTES { extended } else { plain.clone() }
    };
    let mut extended = None;
    let is_broadcast = state.take_broadcast_request();
    for address in peers.targets(now, digest.number, is_broadcast) {
        let is_told = told.contains_key(&address);
        let bytes = if is_told { &plain } else { &*extended.get_or_insert_with(extend) };
        told.entry(address).or_insert(now);
        if let Err(error) = socket.send_to(bytes, address).await {
            log::debug!("can't send a digest to {address}: {error}");
        }
    }
    Ok(())
}

/// Receives digests until the task is dropped.
pub(crate) async fn receive(state: Arc<State>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; datagram::MAX_BYTES];
    let mut unreadable = Unreadable::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("can't receive a digest: {error}");
                time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match datagram::decode(&buffer[..length]) {
            Ok(Datagram { digest, extension }) => {
                if let Err(error) = &extension {
                    unreadable.record(&state, from.ip(), length, error);
                }
                apply(&state, &peers, digest, extension.ok().flatten());
            }
            Err(error) => unreadable.record(&state, from.ip(), length, &error),
        }
    }
}

fn apply(state: &Arc<State>, peers: &Peers, digest: Digest, extension: Option<Extension>) {
    if digest.node == state.settings.node.name {
        return;
    }
    if digest.has_traffic {
        state.record_traffic();
    }
    state.store.record_era(digest.known.era());
    let now = state.now();
    let (node, lost) = (digest.node.clone(), digest.lost.clone());
    let quarantine = digest.quarantine.clone();
    let lost_before = peers.reported_losses(&node);
    let is_new = !peers.contains(&node);
    let is_new_run = !peers.contains_run(&digest);
    let (domain, address) = (digest.domain.clone(), digest.address);
    let extension_before = peers.extension(&node);
    if !peers.store(now, digest, extension.clone()) {
        return;
    }
    if let Some(it) = &extension {
        state.apply_limit_reports(&it.limits);
        state.apply_leaving_reports(&it.leaving);
    }
    let told_build = |it: &Extension| (it.build.clone(), it.features.clone());
    let build_before = extension_before.as_ref().map(told_build);
    if let Some(it) = extension.filter(|it| build_before != Some(told_build(it))) {
        let features: Vec<String> = it.features.iter().map(ToString::to_string).collect();
        let (node, features) = (node.clone(), features.join(","));
        state.events.emit(Kind::BuildHeard { from: node, build: it.build, features });
    }
    if is_new {
        state.add_nodes([node.as_str()], false);
    }
    if is_new_run && domain == state.settings.node.domain && !state.election.is_observer() {
        peers.greet(address);
    }
    withdraw_losses(state, &loss::find_new(&lost, &lost_before));
    handle_reported_losses(state, &node, &lost_before, &lost);
    if !quarantine.is_empty() {
        state.quarantine.apply(now, &quarantine);
        state.update_quarantine();
    }
}

/// Ends losses that were only extended by the reports of a node that reports them no longer.
fn withdraw_losses(state: &State, withdrawn: &[&str]) {
    if withdrawn.is_empty() {
        return;
    }
    let now = state.now();
    let mut cluster = state.cluster();
    let ended = withdrawn.iter().filter(|it| cluster.withdraw_reported_loss(now, it)).count();
    drop(cluster);
    if ended > 0 {
        state.publish();
    }
}

/// Handles the losses that another node reports. A replica with a lost member counts as suspect; the
/// member is probed if this node has requests at the replica, or is one of the nodes that probe the
/// member.
fn handle_reported_losses(state: &Arc<State>, from: &str, before: &[id::Host], lost: &[id::Host]) {
    let now = state.now();
    let mut cluster = state.cluster();
    let reported = lost.iter().filter(|it| cluster.record_reported_loss(now, it));
    let reported: Vec<&id::Host> = reported.collect();
    let lost: Vec<(&str, bool)> =
        reported.into_iter().map(|it| (it.as_str(), cluster.is_prober(it))).collect();
    drop(cluster);
    if lost.is_empty() {
        return;
    }
    let new: Vec<&str> =
        lost.iter().map(|it| it.0).filter(|it| !before.iter().any(|old| old == it)).collect();
    if !new.is_empty() {
        state.events.emit(Kind::LossReported { from: from.to_owned(), hosts: new.join(",") });
    }
    let is_steward = state.election.is_steward();
    for upstream in state.routing.load().including_retired().filter(|it| it.is_replica()) {
        for member in &upstream.members {
            let Some((_, is_prober)) = lost.iter().find(|it| it.0 == member.host) else { continue };
            upstream.stats.record_reported_loss(now);
            if *is_prober || is_steward || upstream.stats.in_flight() > 0 {
                health_check::spawn_probe(state, member.clone());
            }
        }
    }
}

/// Updates what depends on the digests of the other nodes: whether this node is a candidate for the
/// role of steward, the nodes that connect this one to hosts, and the load of the upstreams.
fn update_from_digests(state: &State, peers: &Peers) {
    let fresh = peers.recently_seen(state.now());
    let others: Vec<&id::Node> = peers_in_domain(&fresh, state).map(|(node, _)| node).collect();
    let has_observers = others.len() >= scaling::CANDIDATES_PER_DOMAIN;
    state.election.set_depth(scaling::depth(others.len() + 1));
    let is_candidate = scaling::is_candidate(&state.settings.node.name, others);
    state.election.set_observers(!is_candidate, is_candidate && has_observers);
    state.paths.set_relays(relays(state, &fresh));
    let lenders = fresh.iter().filter(|it| it.has(feature::LEND_RETRY));
    state.lenders.set_nodes(lenders.map(|it| it.address).collect());
    state.set_builds(count_builds(&fresh));
    state.set_report_period(report_period(&fresh, state.now()));
    update_remote_load(state, fresh);
}

/// Returns the time between two reports on the load, as told by the age of the last ones; zero if each round of digests
/// reaches all nodes.
fn report_period(peers: &[Peer], now: Duration) -> Duration {
    if scaling::gossip_rounds(peers.len()) < 2 {
        return Duration::ZERO;
    }
    let heard = peers.iter().filter(|it| it.digest.is_some());
    let age = level::mean(heard.map(|it| now.saturating_sub(it.seen_at)));
    // A report is half as old on average as the time between two of them.
    age.unwrap_or_default() * 2
}

/// Returns the number of nodes that were heard of each build.
fn count_builds(peers: &[Peer]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for peer in peers.iter().filter(|it| it.digest.is_some()) {
        let build = peer.extension.as_ref().map_or(UNKNOWN_BUILD, |it| &it.build);
        *counts.entry(build.to_owned()).or_default() += 1;
    }
    counts
}

/// Returns the nodes that connect this one to hosts.
fn relays(state: &State, peers: &[Peer]) -> Vec<Relay> {
    let domain = &state.settings.node.domain;
    let mut relays: Vec<Relay> = peers
        .iter()
        .filter_map(|peer| {
            let digest = peer.digest.as_ref().filter(|it| it.is_relay)?;
            Some(Relay { address: peer.address, is_same_domain: digest.domain == *domain })
        })
        .collect();
    relays.sort_by_key(|it| it.address);
    relays
}

/// Iterates over the nodes of this node's failure domain, with their addresses.
fn peers_in_domain<'a>(
    peers: &'a [Peer],
    state: &'a State,
) -> impl Iterator<Item = (&'a id::Node, SocketAddr)> {
    let digests = peers.iter().filter_map(|it| Some((it.digest.as_ref()?, it.address)));
    let peers = digests.filter(|(it, _)| it.domain == state.settings.node.domain);
    peers.map(|(it, address)| (&it.node, address))
}

/// Sums up the requests in flight of the other nodes for each upstream.
fn update_remote_load(state: &State, fresh: Vec<Peer>) {
    let mut sums: HashMap<Key, u32> = HashMap::new();
    for peer in fresh {
        for (upstream, count) in peer.digest.into_iter().flat_map(|it| it.flights) {
            *sums.entry(upstream).or_default() += count;
        }
    }
    for upstream in state.routing.load().routable() {
        upstream.stats.set_remote_in_flight(sums.get(&upstream.key).copied().unwrap_or(0));
    }
}
