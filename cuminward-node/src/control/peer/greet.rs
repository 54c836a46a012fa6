//! Says hello to the other nodes again and again, and pulls configuration that they have earlier.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_core::id;
use cuminward_event::kind::Kind;
use cuminward_peer::{message, spread};
use futures::{StreamExt, stream};

use crate::{control::configure, peers, state};

/// Time between two greetings of the same node.
const INTERVAL: Duration = Duration::from_millis(400);

/// Greetings under way at the same time.
const CONCURRENCY: usize = 64;

/// Records of one pull.
const PAGE: u32 = 500;

/// Greets until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut live = BTreeSet::new();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        list(&state);
        let nodes: Vec<id::Node> = state.peers.known().keys().cloned().collect();
        let greetings = nodes.into_iter().map(|it| greet(Arc::clone(&state), it));
        stream::iter(greetings).buffer_unordered(CONCURRENCY).collect::<Vec<()>>().await;
        report(&state, &mut live);
        pull(&state).await;
    }
}

/// Takes the nodes over from the host list.
fn list(state: &state::State) {
    state.peers.list(&state.settings.node, &state.hosts.load().hosts);
    let known = state.peers.known();
    let addresses = known.iter().map(|(node, it)| (node.clone(), it.address.clone()));
    state.pool.set_nodes(&addresses.collect());
}

async fn greet(state: Arc<state::State>, node: id::Node) {
    let asked = state.now();
    if let Ok(hello) = state.pool.hello(&node, hello(&state)).await
        && hello.node == node
    {
        note(&state, &hello, asked);
    }
}

/// Keeps what another node said.
pub fn note(state: &state::State, hello: &message::Hello, asked: Duration) {
    state.events.clock().observe(hello.stamp);
    let word = peers::Word {
        at: asked,
        incarnation: hello.incarnation,
        revision: hello.revision,
        draining: hello.draining,
        callers: hello.callers.clone(),
        free: hello.free,
        round_trip: state.now().saturating_sub(asked),
    };
    state.peers.heard(&hello.node, &word);
    for it in &hello.retiring {
        let until = state.now() + it.left;
        state.retiring.add(state.now(), it.group.clone(), it.generation, until);
    }
}

/// What this node says about itself.
pub fn hello(state: &state::State) -> message::Hello {
    message::Hello {
        node: state.settings.node.clone(),
        domain: state.settings.domain.clone(),
        incarnation: state.incarnation,
        revision: *state.revision.borrow(),
        stamp: state.events.clock().now(),
        draining: state.draining.load(Ordering::Acquire),
        trusted: Vec::new(),
        callers: state.addresses.callers.to_string(),
        free: state.free(),
        retiring: state.retiring.list(state.now()),
    }
}

/// Says which nodes were found or lost since the last look.
fn report(state: &state::State, live: &mut BTreeSet<id::Node>) {
    let now = state.now();
    let known = state.peers.known();
    let answering = known.iter().filter(|(_, it)| it.is_live(now));
    let found: BTreeSet<id::Node> = answering.map(|(node, _)| node.clone()).collect();
    for node in found.difference(live) {
        let incarnation = known[node].word.as_ref().map_or(0, |it| it.incarnation);
        state.events.emit(Kind::PeerFound { peer: node.clone(), incarnation });
    }
    for node in live.difference(&found) {
        let message = "no answer".to_owned();
        state.events.emit(Kind::PeerLost { peer: node.clone(), message });
    }
    *live = found;
}

/// Pulls newer configuration from the node's sources.
async fn pull(state: &state::State) {
    let known = state.peers.known();
    let mut domains: BTreeMap<id::Domain, BTreeSet<id::Node>> = BTreeMap::new();
    for (node, peer) in known.iter() {
        domains.entry(peer.domain.clone()).or_default().insert(node.clone());
    }
    let (node, domain) = (&state.settings.node, &state.settings.domain);
    for source in spread::sources(node, domain, &domains) {
        let own = configure::spread::wanted_from(state);
        let newer = known[&source].word.as_ref().is_some_and(|it| own < it.revision);
        if newer && let Ok(config) = state.pool.config(&source, own, PAGE).await {
            configure::spread::take_over(state, config, &source);
        }
    }
}
