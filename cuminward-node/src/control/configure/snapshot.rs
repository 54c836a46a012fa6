//! Appends snapshots of the configuration to the log before it forgets what new nodes need.

use std::{sync::Arc, time::Duration};

use cuminward_config::{record, snapshot};
use cuminward_event::kind::Kind;
use cuminward_platform::journal;

use crate::state;

/// Time between two looks whether a snapshot is due.
const LOOK: Duration = Duration::from_millis(500);

/// Appends snapshots in this node's turns until the node stops.
pub async fn run(state: Arc<state::State>) {
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let mut schedule = snapshot::Schedule::new(snapshot::Options {
        node: state.settings.node.clone(),
        retention: state.settings.platform.retention,
    });
    let mut look = tokio::time::interval(LOOK);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = look.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if let Some(snapshot) = due(&state, &mut schedule) {
            append(&state, &stream, snapshot).await;
        }
    }
}

/// The snapshot to append now, if it is this node's turn.
fn due(state: &state::State, schedule: &mut snapshot::Schedule) -> Option<snapshot::Snapshot> {
    let nodes = state.peers.live_nodes_everywhere(state);
    let wall_ms = state::unix_time().as_millis() as u64;
    let follow = state.config.follow();
    let view = follow.view().filter(|_| follow.is_ready())?;
    let is_due = schedule.step(state.now(), wall_ms, &view, nodes.iter().map(String::as_str));
    follow.fold().filter(|_| is_due).map(|it| snapshot::Snapshot::new(it, wall_ms))
}

/// Appends a snapshot; the schedule asks for another one if this has no effect.
async fn append(state: &state::State, stream: &journal::Stream, snapshot: snapshot::Snapshot) {
    let at = snapshot.at;
    let value = record::to_value(&record::Record::Snapshot(Box::new(snapshot)));
    let bytes = value.to_string().len() as u64;
    match stream.append(&value).await {
        Ok(offset) => {
            state.events.emit(Kind::ConfigSnapshotWritten { revision: at, offset, bytes });
        }
        Err(error) => log::warn!("a snapshot of revision {at} was not written: {error}"),
    }
}
