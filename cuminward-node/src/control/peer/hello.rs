//! Says hello to other nodes again and again.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use cuminward_core::id;
use cuminward_event::kind::Kind;
use cuminward_peer::{digest, message};

use crate::{control::peer::target, peers, state};

/// Time between two rounds of greetings.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Nodes that are being greeted. A node that doesn't answer puts off no others.
type UnderWay = Arc<Mutex<BTreeSet<id::Node>>>;

/// Greets until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut live = BTreeSet::new();
    let under_way = UnderWay::default();
    for round in 0.. {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        list(&state);
        for node in target::choose(&state, round) {
            spawn(&state, &under_way, node);
        }
        report(&state, &mut live);
    }
}

/// Takes the nodes over from the host list.
fn list(state: &state::State) {
    let settings = &state.settings;
    state.peers.set_nodes(state.now(), &settings.node, &settings.domain, &state.hosts.load().hosts);
    let known = state.peers.all();
    let addresses = known.iter().map(|(node, it)| (node.clone(), it.address.clone()));
    state.pool.set_nodes(&addresses.collect());
}

/// Greets a node, unless that is under way.
fn spawn(state: &Arc<state::State>, under_way: &UnderWay, node: id::Node) {
    let (state, under_way) = (Arc::clone(state), Arc::clone(under_way));
    if !lock(&under_way).insert(node.clone()) {
        return;
    }
    tokio::spawn(async move {
        greet(&state, &node).await;
        lock(&under_way).remove(&node);
    });
}

fn lock(under_way: &UnderWay) -> MutexGuard<'_, BTreeSet<id::Node>> {
    under_way.lock().expect("no code panics while it has the lock")
}

async fn greet(state: &state::State, node: &str) {
    let asked = state.now();
    let hello = hello(state, node);
    if let Ok(hello) = state.pool.hello(node, hello).await
        && hello.node == node
    {
        note(state, &hello, asked);
    }
}

/// Keeps what another node answered.
fn note(state: &state::State, hello: &message::Hello, asked: Duration) {
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

/// Keeps what another node says beside that it answers; `at` is when it knew that, or earlier.
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

/// What this node says to another one.
fn hello(state: &state::State, to: &str) -> message::Hello {
    let known = state.peers.all();
    let list = known.get(to).and_then(|it| it.status.as_ref()).map_or(0, |it| it.list);
    let is_near = known.get(to).is_some_and(|it| it.domain == state.settings.domain);
    say(state, is_near.then_some(list))
}

/// What this node answers to another one's hello.
pub fn answer(state: &state::State, hello: &message::Hello) -> message::Hello {
    let is_near = !hello.digest.ages.is_empty();
    say(state, is_near.then_some(hello.digest.list))
}

/// What this node says to a node with a list of the failure domain's nodes; `None` is a node of
/// another domain.
fn say(state: &state::State, list: Option<digest::ListHash>) -> message::Hello {
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

/// Says which nodes were found or lost since the last look.
fn report(state: &state::State, live: &mut BTreeSet<id::Node>) {
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
