//! Follows the engines' cache events, so that requests go where their prefixes are cached.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_route::route::Candidate;

use crate::state;

/// Time between two questions, whichever replica they go to.
const BETWEEN: Duration = Duration::from_millis(100);

/// Shortest time between two questions to the same replica.
const SAME: Duration = Duration::from_secs(1);

/// When each replica was last asked.
type Asked = HashMap<(id::Group, id::Generation), Duration>;

/// Asks one replica after the other for its cache events until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut tick = tokio::time::interval(BETWEEN);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut asked = Asked::new();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if let Some(candidate) = next(&state, &mut asked) {
            ask(&state, &candidate).await;
        }
    }
}

/// The replica that wasn't asked for the longest time, if one is due.
fn next(state: &state::State, asked: &mut Asked) -> Option<Candidate> {
    let view = state.view.load();
    let now = state.now();
    let name = |it: &Candidate| (it.replica.group.clone(), it.replica.generation);
    let known: Vec<_> = view.table.candidates().map(name).collect();
    asked.retain(|it, _| known.contains(it));
    let last = |it: &Candidate| asked.get(&name(it)).copied();
    let candidate = view.table.candidates().min_by_key(|it| last(it))?.clone();
    let due = last(&candidate).is_none_or(|it| it + SAME <= now);
    due.then(|| {
        asked.insert(name(&candidate), now);
        candidate
    })
}

/// Takes over a replica's events. One that doesn't answer is asked again in its turn.
async fn ask(state: &state::State, candidate: &Candidate) {
    let prefixes = candidate.gauge.prefixes();
    let answer =
        state.engines.fetch_cache_events(&candidate.replica.address, prefixes.next_event()).await;
    if let Ok(batch) = answer {
        prefixes.apply(&batch);
    }
}
