//! Polls the platform's host list.

use std::sync::{Arc, atomic::Ordering};

use cuminward_event::kind::Kind;
use cuminward_platform::hosts;

use crate::{control::outage, state, view};

/// Polls the list until the node stops; the last list stays in use while the platform is
/// unavailable.
pub async fn run(state: Arc<state::State>) {
    let client = hosts::Client::new(&state.settings.platform.hosts);
    let mut interval = tokio::time::interval(state.settings.timing.listing);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut outage = outage::Outage::default();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        match client.read().await {
            Ok(list) => {
                if let Some(after_ms) = outage.record_answer(state.now()) {
                    state.events.emit(Kind::HostListRecovered { after_ms });
                }
                store(&state, list);
            }
            Err(error) if outage.record_failure(state.now()) => {
                state.events.emit(Kind::HostListUnavailable { message: error.to_string() });
            }
            Err(_) => {}
        }
    }
}

/// Stores a list, unless it is older than the stored one because its answer came late.
fn store(state: &state::State, list: hosts::List) {
    let known = state.hosts.load();
    if list.as_of_ms < known.as_of_ms {
        return;
    }
    let changed = list.hosts != known.hosts;
    state.hosts.store(Arc::new(list));
    state.host_list_read.store(true, Ordering::Release);
    if changed {
        view::refresh(state);
    }
}
