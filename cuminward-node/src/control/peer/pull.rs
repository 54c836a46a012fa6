//! Pulls configuration from nodes that have a newer revision than this one.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_core::id;

use crate::{
    control::{configure::transfer, peer::hello},
    peers, state,
};

/// Maximum number of records in one pull.
const PAGE: u32 = 500;

/// Time that the log has to deliver records that other nodes already have, before they are pulled.
const LOG_GRACE: Duration = Duration::from_millis(400);

/// Pulls configuration until the node stops.
pub async fn run(state: Arc<state::State>) {
    let mut interval = tokio::time::interval(hello::INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pull = Pull::default();
    loop {
        tokio::select! {
            _ = interval.tick() => pull.step(&state).await,
            () = state.stop.cancelled() => return,
        }
    }
}

/// State of the pulls: the time since which this node has been behind.
#[derive(Debug, Default)]
struct Pull {
    behind_since: Option<Duration>,
}

/// Mutation
impl Pull {
    /// Pulls what this node lacks from the node with the newest revision, if one is ahead.
    async fn step(&mut self, state: &state::State) {
        let from = match transfer::next_request(state) {
            transfer::Request::Nothing => return,
            transfer::Request::Records(from) => from,
            transfer::Request::State => 0,
        };
        let Some((source, revision)) = newest(state).filter(|(_, revision)| from < *revision)
        else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(state.now());
        if state.now().saturating_sub(since) < LOG_GRACE && is_log_reachable(state) {
            return;
        }
        log::debug!("pulling configuration revision {revision} from node {source}");
        if let Ok(config) = state.pool.config(&source, from, PAGE).await {
            transfer::apply(state, config, &source);
        }
    }
}

fn is_log_reachable(state: &state::State) -> bool {
    !state.is_log_unreachable.load(Ordering::Acquire)
}

/// Returns the node with the newest revision among those that answered recently.
fn newest(state: &state::State) -> Option<(id::Node, id::Revision)> {
    let now = state.now();
    let known = state.peers.all();
    let recent_revision = |peer: &peers::Peer| {
        let status =
            peer.status.as_ref().filter(|it| now.saturating_sub(it.at) <= peer.live_timeout);
        status.map(|it| it.revision)
    };
    let revisions = known.iter().filter_map(|(node, it)| Some((node, recent_revision(it)?)));
    revisions.max_by_key(|(_, revision)| *revision).map(|(node, it)| (node.clone(), it))
}
