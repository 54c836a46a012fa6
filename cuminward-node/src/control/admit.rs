//! Drives the admission: tells it the nodes, the upstreams' reports and the time, and sends its
//! messages.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id};
use cuminward_route::admission;

use crate::state;

/// Time between two looks.
const TICK: Duration = Duration::from_millis(20);

/// Time for which a node that left the host list may still send work.
const LIST_LAG: Duration = Duration::from_secs(30);

/// Nodes of the failure domain that may send work, by the time at which they were last listed.
#[derive(Debug, Default)]
struct Listed {
    seen: BTreeMap<id::Node, Duration>,
}

/// Nodes of the failure domain, as the admission has to know them.
#[derive(Debug, Default, PartialEq)]
struct Nodes {
    /// In the host list now or until lately, this one included, but for those that have ended.
    listed: Vec<id::Node>,
    /// Those that answer and don't shut down.
    live: Vec<id::Node>,
    /// Those that have ended regularly.
    ended: Vec<id::Node>,
}

/// Runs the admission until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut listed = Listed::default();
    let mut known = Nodes::default();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = state.stop.cancelled() => return,
        }
        let now = state.now();
        let nodes = listed.update(&state, now);
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

impl Listed {
    /// Nodes of the failure domain as they are now.
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

/// Sends messages and asks upstreams whose state is wanted.
pub fn execute(state: &Arc<state::State>, work: admission::Work) {
    for (node, batch) in work.batches {
        crate::control::peer::send_batch(state, node, batch);
    }
    for upstream in work.probes {
        crate::control::probe::probe_now(state, &upstream);
    }
}
