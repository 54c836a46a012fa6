//! Polls the engines' cache events, so that requests are routed to replicas that have their
//! prefixes cached.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_route::route::Candidate;

use crate::state;

/// Interval between two polls, over all replicas.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two polls of the same replica.
const REPLICA_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the last poll of each replica.
type LastPolls = HashMap<(id::Group, id::Generation), Duration>;

/// Polls the replicas for their cache events, one at a time, until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut tick = tokio::time::interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_polls = LastPolls::new();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if let Some(candidate) = take_due(&state, &mut last_polls) {
            poll(&state, &candidate).await;
        }
    }
}

/// Returns the replica with the oldest poll if its next one is due, and marks it as polled.
fn take_due(state: &state::State, last_polls: &mut LastPolls) -> Option<Candidate> {
    let view = state.view.load();
    let now = state.now();
    let name = |it: &Candidate| (it.replica.group.clone(), it.replica.generation);
    let known: Vec<_> = view.table.candidates().map(name).collect();
    last_polls.retain(|it, _| known.contains(it));
    let last = |it: &Candidate| last_polls.get(&name(it)).copied();
    let candidate = view.table.candidates().min_by_key(|it| last(it))?.clone();
    let due = last(&candidate).is_none_or(|it| it + REPLICA_INTERVAL <= now);
    due.then(|| {
        last_polls.insert(name(&candidate), now);
        candidate
    })
}

/// Reads the cache events of a replica. A failed poll is repeated when the replica is due again.
async fn poll(state: &state::State, candidate: &Candidate) {
    let prefixes = candidate.gauge.prefixes();
    let answer =
        state.engines.fetch_cache_events(&candidate.replica.address, prefixes.next_event()).await;
    if let Ok(batch) = answer {
        prefixes.apply(&batch);
    }
}
