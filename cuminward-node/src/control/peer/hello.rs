//! Exchanges hello messages with other nodes, periodically.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use cuminward_core::id;
use cuminward_event::kind::Kind;
use cuminward_peer::{digest, message};

use crate::{control::peer::target, peers, state};

/// Interval between two rounds of hello messages.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Nodes with a hello in flight. Each is sent from its own task, so that a node that does not
/// answer delays no other.
type InFlight = Arc<Mutex<BTreeSet<id::Node>>>;

/// Sends hello messages until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut live = BTreeSet::new();
    let in_flight = InFlight::default();
    for round in 0.. {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        update_nodes(&state);
        for node in target::choose(&state, round) {
            spawn(&state, &in_flight, node);
        }
        emit_changes(&state, &mut live);
    }
}

/// Updates the known nodes and the connection pool from the host list.
fn update_nodes(state: &state::State) {
    let settings = &state.settings;
    state.peers.set_nodes(state.now(), &settings.node, &settings.domain, &state.hosts.load().hosts);
    let known = state.peers.all();
    let addresses = known.iter().map(|(node, it)| (node.clone(), it.address.clone()));
    state.pool.set_nodes(&addresses.collect());
}

/// Spawns a hello to a node, unless one is in flight.
fn spawn(state: &Arc<state::State>, in_flight: &InFlight, node: id::Node) {
    let (state, in_flight) = (Arc::clone(state), Arc::clone(in_flight));
    if !lock(&in_flight).insert(node.clone()) {
        return;
    }
    tokio::spawn(async move {
        exchange(&state, &node).await;
        lock(&in_flight).remove(&node);
    });
}

fn lock(in_flight: &InFlight) -> MutexGuard<'_, BTreeSet<id::Node>> {
    in_flight.lock().expect("no code panics while it has the lock")
}

async fn exchange(state: &state::State, node: &str) {
    let asked = state.now();
    let hello = request(state, node);
    if let Ok(hello) = state.pool.hello(node, hello).await
        && hello.node == node
    {
        record_answer(state, &hello, asked);
    }
}

/// Records the status of another node's answer.
fn record_answer(state: &state::State, hello: &message::Hello, asked: Duration) {
    let status = peers::Status {
        at: asked,
        incarnation: hello.incarnation,
        revision: hello.revision,
        draining: hello.draining,
        callers: hello.callers.clone(),
        free: hello.free,
        round_trip: state.now().saturating_sub(asked),
        list: hello.digest.list,
    };
    state.peers.record_status(&hello.node, &status);
    apply_gossip(state, hello, asked);
}

/// Applies the information of a hello about other nodes and groups. `at` is a time that is not
/// later than the sending of the hello.
pub fn apply_gossip(state: &state::State, hello: &message::Hello, at: Duration) {
    state.departed.record_incarnation(&hello.node, hello.incarnation);
    state.events.clock().observe(hello.stamp);
    let settings = &state.settings;
    if !hello.digest.ages.is_empty() {
        state.peers.record_digest(at, &settings.node, &settings.domain, &hello.digest);
    }
    hello.ended.iter().for_each(|it| state.departed.add(state.now(), it));
    for it in &hello.retiring {
        let until = state.now() + it.left;
        state.retiring.add(state.now(), it.group.clone(), it.generation, until);
    }
}

/// Returns the hello that this node sends to another one.
fn request(state: &state::State, to: &str) -> message::Hello {
    let known = state.peers.all();
    let list = known.get(to).and_then(|it| it.status.as_ref()).map_or(0, |it| it.list);
    let is_near = known.get(to).is_some_and(|it| it.domain == state.settings.domain);
    build(state, is_near.then_some(list))
}

/// Returns the answer to another node's hello.
pub fn answer(state: &state::State, hello: &message::Hello) -> message::Hello {
    let is_near = !hello.digest.ages.is_empty();
    build(state, is_near.then_some(hello.digest.list))
}

/// Builds a hello for a node whose list of the failure domain's nodes has the given hash, or for a
/// node of another domain if `list` is `None`.
fn build(state: &state::State, list: Option<digest::ListHash>) -> message::Hello {
    let evidence = list.map(|list| (state.peers.evidence(state), list));
    let digest = evidence.map(|(nodes, list)| digest::Digest::new(&nodes, list));
    message::Hello {
        node: state.settings.node.clone(),
        incarnation: state.incarnation,
        revision: *state.revision.borrow(),
        stamp: state.events.clock().now(),
        draining: state.draining.load(Ordering::Acquire),
        callers: state.addresses.callers.to_string(),
        free: state.free_capacity(),
        retiring: if list.is_some() { state.retiring.list(state.now()) } else { Vec::new() },
        ended: if list.is_some() { state.departed.list(state.now()) } else { Vec::new() },
        digest: digest.unwrap_or_default(),
    }
}

/// Emits events for the nodes that were found or lost since the last call.
fn emit_changes(state: &state::State, live: &mut BTreeSet<id::Node>) {
    let now = state.now();
    let known = state.peers.all();
    let answering = known.iter().filter(|(_, it)| it.is_live(now));
    let found: BTreeSet<id::Node> = answering.map(|(node, _)| node.clone()).collect();
    for node in found.difference(live) {
        let incarnation = known[node].status.as_ref().map_or(0, |it| it.incarnation);
        state.events.emit(Kind::PeerReachable { peer: node.clone(), incarnation });
    }
    for node in live.difference(&found) {
        let message = "no answer".to_owned();
        state.events.emit(Kind::PeerUnreachable { peer: node.clone(), message });
    }
    *live = found;
}
