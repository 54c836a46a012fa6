//! Appends snapshots of the configuration to the log before its retention drops records that new
//! nodes need.

use std::{sync::Arc, time::Duration};

use cuminward_config::{record, snapshot};
use cuminward_event::kind::Kind;
use cuminward_platform::journal;

use crate::state;

/// Interval at which the node checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Appends a snapshot whenever it is due and this node's turn, until the node stops.
pub async fn run(state: Arc<state::State>) {
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let mut schedule = snapshot::Schedule::new(snapshot::Options {
        node: state.settings.node.clone(),
        retention: state.settings.platform.retention,
    });
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if let Some(snapshot) = take_due(&state, &mut schedule) {
            append(&state, &stream, snapshot).await;
        }
    }
}

/// Returns the snapshot to append now, if one is due and it is this node's turn.
fn take_due(state: &state::State, schedule: &mut snapshot::Schedule) -> Option<snapshot::Snapshot> {
    let nodes = state.peers.live_nodes_everywhere(state);
    let wall_ms = state::unix_time().as_millis() as u64;
    let follow = state.config.follow();
    let view = follow.view().filter(|_| follow.is_ready())?;
    let is_due = schedule.step(state.now(), wall_ms, &view, nodes.iter().map(String::as_str));
    follow.fold().filter(|_| is_due).map(|it| snapshot::Snapshot::new(it, wall_ms))
}

/// Appends a snapshot. A failure is only logged, since the schedule asks for another one.
async fn append(state: &state::State, stream: &journal::Stream, snapshot: snapshot::Snapshot) {
    let at = snapshot.at;
    let value = record::to_value(&record::Record::Snapshot(Box::new(snapshot)));
    let bytes = value.to_string().len() as u64;
    match stream.append(&value).await {
        Ok(offset) => {
            state.events.emit(Kind::ConfigSnapshotWritten { revision: at, offset, bytes });
        }
        Err(error) => log::warn!("snapshot of revision {at} not appended: {error}"),
    }
}
