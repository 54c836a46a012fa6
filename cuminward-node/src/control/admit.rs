//! Drives the admission controller: passes the nodes and the time to it, sends its messages to
//! other nodes, and probes the upstreams that it asks about.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id};
use cuminward_route::admission;

use crate::state;

/// Interval at which the admission controller is updated.
const TICK: Duration = Duration::from_millis(20);

/// Time for which a node that left the host list may still send requests.
const LIST_LAG: Duration = Duration::from_secs(30);

/// Tracks the nodes of the failure domain that may send requests, with the time at which each was
/// last in the host list.
#[derive(Debug, Default)]
struct Tracker {
    seen: BTreeMap<id::Node, Duration>,
}

/// Nodes of the failure domain, as the admission controller distinguishes them.
#[derive(Debug, Default, PartialEq)]
struct Nodes {
    /// In the host list now or within the last [`LIST_LAG`], this one included, without those that
    /// have shut down gracefully.
    listed: Vec<id::Node>,
    /// Live and not shutting down.
    live: Vec<id::Node>,
    /// Shut down gracefully.
    ended: Vec<id::Node>,
}

/// Drives the admission controller until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tracker = Tracker::default();
    let mut known = Nodes::default();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = state.stop.cancelled() => return,
        }
        let now = state.now();
        let nodes = tracker.update(&state, now);
        state.dispatcher.set_nodes(nodes.live.len());
        state.view.load().usage.values().for_each(|it| it.update_limits(now));
        let work = {
            let mut admission = state.admission();
            if nodes != known {
                admission.set_nodes(now, nodes.listed.clone(), nodes.live.clone());
                nodes.ended.iter().for_each(|it| admission.on_node_ended(now, it));
                known = nodes;
            }
            admission.tick(now);
            admission.take_work()
        };
        execute(&state, work);
        state.slot_freed.notify_one();
    }
}

impl Tracker {
    /// Updates the tracked nodes from the host list and returns their current state.
    fn update(&mut self, state: &state::State, now: Duration) -> Nodes {
        let hosts = state.hosts.load();
        let nodes = hosts
            .hosts
            .iter()
            .filter(|it| it.role == host::Role::Node && it.domain == state.settings.domain);
        for node in nodes {
            self.seen.insert(node.host.clone(), now);
        }
        self.seen.retain(|_, seen| now.saturating_sub(*seen) <= LIST_LAG);
        state.departed.retain(now, |it| self.seen.contains_key(it));
        let (ended, seen): (Vec<id::Node>, Vec<id::Node>) =
            self.seen.keys().cloned().partition(|it| state.departed.contains(it));
        Nodes { listed: seen, live: state.peers.live_nodes(state), ended }
    }
}

/// Sends the messages of the admission controller and probes the upstreams that it asks about.
pub fn execute(state: &Arc<state::State>, work: admission::Work) {
    for (node, batch) in work.batches {
        crate::control::peer::send_batch(state, node, batch);
    }
    for upstream in work.probes {
        crate::control::probe::probe_now(state, &upstream);
    }
}
