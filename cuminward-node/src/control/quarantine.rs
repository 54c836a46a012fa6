//! Shares records about requests that crash replicas among the nodes, by the stream `quarantine` of
//! the platform's log.

use std::{sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_platform::journal;
use cuminward_route::quarantine::Record;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::state;

/// Name of the stream.
const STREAM: &str = "quarantine";

/// Maximum number of records in one read.
const PAGE: usize = 500;

/// Maximum time that a read waits for a new record.
const WAIT: Duration = Duration::from_secs(2);

/// Delay between two attempts while the log is unavailable.
const RETRY: Duration = Duration::from_millis(500);

/// Appends this node's records and applies those of all nodes until the node stops.
pub async fn run(state: Arc<state::State>) {
    let records = state.suspects.take_records().expect("the task is started once");
    let stream = journal::Stream::new(&state.settings.platform.log, STREAM);
    let stop = state.stop.clone();
    let both = async { tokio::join!(append(&stream, records), follow(&state, &stream)) };
    tokio::select! {
        _ = both => {}
        () = stop.cancelled() => {}
    }
}

/// Appends records in order and retries until each is stored.
///
/// If an answer is lost, the record is appended twice, which has no further effect.
async fn append(stream: &journal::Stream, mut records: mpsc::UnboundedReceiver<Record>) {
    while let Some(record) = records.recv().await {
        while let Err(error) = stream.append(&record).await {
            log::debug!("failed to append a quarantine record, retrying: {error}");
            tokio::time::sleep(RETRY).await;
        }
    }
}

async fn follow(state: &state::State, stream: &journal::Stream) {
    let mut from = 0;
    loop {
        match stream.read::<Value>(from, PAGE, WAIT).await {
            Ok(journal::Read::Page(page)) => from = apply(state, from, page),
            Ok(journal::Read::Trimmed { oldest }) => from = oldest,
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

/// Applies records and returns the offset of the next read. Records that cannot be parsed are
/// logged and skipped.
fn apply(state: &state::State, from: id::Offset, page: journal::Page<Value>) -> id::Offset {
    let now = state.now();
    let wall = state::unix_time().as_millis() as u64;
    let mut next = from;
    for record in page.records {
        next = record.offset + 1;
        let age = Duration::from_millis(wall.saturating_sub(record.at_ms));
        match serde_json::from_value::<Record>(record.value) {
            Ok(it) => state.suspects.apply(now, age, &it),
            Err(error) => log::warn!("failed to parse a quarantine record, skipping it: {error}"),
        }
    }
    next
}
