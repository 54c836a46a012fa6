//! Reads the configuration stream of the log; the last configuration stays in force while the log
//! is unavailable.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_config::{follow, record};
use cuminward_event::kind::Kind;
use cuminward_platform::journal;
use serde_json::Value;

use crate::{
    control::{configure, outage},
    state,
};

/// Maximum number of records in one read.
const PAGE: usize = 500;

/// Name of the log as the source of a configuration, in events.
const SOURCE: &str = "log";

/// Maximum time that a read waits for a new record.
const WAIT: Duration = Duration::from_secs(2);

/// Reads the log until the node stops.
pub async fn run(state: Arc<state::State>) {
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let mut outage = outage::Outage::default();
    while !state.stop.is_cancelled() {
        let from = state.config.follow().read_from();
        let read = tokio::select! {
            read = stream.read::<Value>(from, PAGE, WAIT) => read,
            () = state.stop.cancelled() => return,
        };
        match read {
            Ok(read) => {
                emit_recovery(&state, &mut outage);
                apply(&state, read).await;
            }
            Err(error) => {
                emit_failure(&state, &mut outage, error.to_string());
                tokio::time::sleep(configure::RETRY).await;
            }
        }
    }
}

fn emit_recovery(state: &state::State, outage: &mut outage::Outage) {
    if let Some(after_ms) = outage.record_answer(state.now()) {
        state.is_log_unreachable.store(false, Ordering::Release);
        state.events.emit(Kind::LogRecovered { stream: record::STREAM.to_owned(), after_ms });
    }
}

fn emit_failure(state: &state::State, outage: &mut outage::Outage, message: String) {
    if outage.record_failure(state.now()) {
        state.is_log_unreachable.store(true, Ordering::Release);
        state.events.emit(Kind::LogUnavailable { stream: record::STREAM.to_owned(), message });
    }
}

/// Applies what was read. If the log lost records that are in force, waits before the next read.
async fn apply(state: &state::State, read: journal::Read<Value>) {
    let input = match read {
        journal::Read::Page(page) => follow::Input::Page(follow::Page {
            oldest: page.oldest,
            next: page.next,
            records: page.records.into_iter().map(|it| (it.offset, it.value)).collect(),
        }),
        journal::Read::Trimmed { oldest } => follow::Input::Trimmed { oldest },
    };
    if configure::apply(state, input, SOURCE).log_behind {
        tokio::time::sleep(configure::RETRY).await;
    }
}
