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

/// Runs the admission until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut listed = Listed::default();
    let mut known = (Vec::new(), Vec::new());
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = state.stop.cancelled() => return,
        }
        let now = state.now();
        let nodes = (listed.update(&state, now), state.peers.live(&state));
        state.desk.set_nodes(nodes.1.len());
        state.view.load().usage.values().for_each(|it| it.update(now));
        let work = {
            let mut admission = state.admission();
            if nodes != known {
                admission.set_nodes(now, nodes.0.clone(), nodes.1.clone());
                known = nodes;
            }
            admission.tick(now);
            admission.take_work()
        };
        carry_out(&state, work);
        state.freed.notify_one();
    }
}

impl Listed {
    /// Nodes of the failure domain in the host list now or until lately, this one included.
    fn update(&mut self, state: &state::State, now: Duration) -> Vec<id::Node> {
        let hosts = state.hosts.load();
        let nodes = hosts
            .hosts
            .iter()
            .filter(|it| it.role == host::Role::Node && it.domain == state.settings.domain);
        for node in nodes {
            self.seen.insert(node.host.clone(), now);
        }
        self.seen.retain(|_, seen| now.saturating_sub(*seen) <= LIST_LAG);
        self.seen.keys().cloned().collect()
    }
}

/// Sends messages and asks upstreams whose state is wanted.
pub fn carry_out(state: &Arc<state::State>, work: admission::Work) {
    for (node, batch) in work.batches {
        crate::control::peer::send_batch(state, node, &batch);
    }
    for upstream in work.probes {
        crate::control::probe::now(state, &upstream);
    }
}
