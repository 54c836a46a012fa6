//! Exchanges host observations among the nodes of a failure domain.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_group::{
    probe::{interval, table},
    steward,
};
use cuminward_peer::message;
use tokio::{sync::mpsc, time};

use crate::{control::probe, state};

/// Interval of the checks whether to pull, while every node probes every host itself.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Pulls observations from other nodes until the node stops and passes the new ones to the
/// admission controller and the steward.
pub async fn run(state: Arc<state::State>, inputs: mpsc::Sender<steward::Input>) {
    let mut mirrors: BTreeMap<id::Node, table::Mirror> = BTreeMap::new();
    loop {
        let nodes = state.peers.live_nodes(&state);
        let interval = probe::intervals(&state, nodes.len()).pull;
        let (round, wait) = next_round(interval.unwrap_or(IDLE_INTERVAL));
        tokio::select! {
            () = time::sleep(wait) => {}
            () = state.stop.cancelled() => return,
        }
        let Some(interval) = interval else { continue };
        mirrors.retain(|it, _| nodes.contains(it));
        let Some(source) = interval::pull_source(&state.settings.node, &nodes, round) else {
            continue;
        };
        let mirror = mirrors.entry(source.clone()).or_default();
        let pulling = pull(&state, source, mirror);
        let Ok(Some(update)) = time::timeout(interval * 2, pulling).await else { continue };
        forward(&state, update, &inputs).await;
    }
}

/// Returns the number of the next round by the wall clock and the time until it begins.
///
/// All nodes share the numbers, so clocks that differ delay the exchange.
fn next_round(interval: Duration) -> (u32, Duration) {
    let wall = state::unix_time().as_millis() as u64;
    let interval = (interval.as_millis() as u64).max(1);
    let round = wall / interval + 1;
    (round as u32, Duration::from_millis(round * interval - wall))
}

async fn pull(
    state: &state::State,
    source: &str,
    mirror: &mut table::Mirror,
) -> Option<table::Update> {
    let asked = state.now();
    let answer = state.pool.observations(source, mirror.incarnation, mirror.next).await.ok()?;
    if mirror.incarnation != answer.incarnation {
        *mirror = table::Mirror::new(answer.incarnation);
    }
    state.observations().merge(asked, mirror, &delta(answer))
}

/// Passes the observations of other nodes to the admission controller and the steward.
async fn forward(
    state: &state::State,
    update: table::Update,
    inputs: &mpsc::Sender<steward::Input>,
) {
    for it in update.changed.iter().chain(&update.recovered) {
        probe::apply_report(state, &it.report, it.at);
    }
    for it in update.changed.into_iter().chain(update.recovered) {
        let _ = inputs.send(steward::Input::ObservedByPeer(it)).await;
    }
}

/// Returns the observations that changed since a position, for another node.
///
/// Returns all if the position belongs to another incarnation of this node.
pub fn answer(
    state: &state::State,
    incarnation: id::Incarnation,
    since: message::Position,
) -> message::Observations {
    let since = if incarnation == state.incarnation { since } else { 0 };
    let delta = state.observations().changes_since(state.now(), since);
    let silence = |it: table::Silence| message::Silence { host: it.host, age: it.age };
    message::Observations {
        incarnation: state.incarnation,
        next: delta.next,
        full: delta.full,
        changed: delta.changed,
        removed: delta.removed,
        ages: delta.ages,
        silent: delta.silent.into_iter().map(silence).collect(),
    }
}

fn delta(answer: message::Observations) -> table::Delta {
    let silence = |it: message::Silence| table::Silence { host: it.host, age: it.age };
    table::Delta {
        next: answer.next,
        full: answer.full,
        changed: answer.changed,
        removed: answer.removed,
        ages: answer.ages,
        silent: answer.silent.into_iter().map(silence).collect(),
    }
}
