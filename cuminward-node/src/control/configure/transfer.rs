//! Transfers configuration records and snapshots between nodes.

use std::sync::atomic::Ordering;

use cuminward_config::{follow, record, snapshot::Snapshot};
use cuminward_core::id;
use cuminward_peer::message;

use crate::{control::configure, state};

/// Configuration that a node requests from other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Nothing: the node reads the log.
    Nothing,
    /// Records from a revision on.
    Records(id::Revision),
    /// The newest state of any node, since the node cannot tell which records it lacks.
    State,
}

/// Returns what this node requests from other nodes.
///
/// A node that is not ready prefers the log: the state of another node may be older than what an
/// earlier process of this node had in force.
pub fn next_request(state: &state::State) -> Request {
    let follow = state.config.follow();
    if follow.is_ready() {
        return Request::Records(follow.revision());
    }
    let is_log_unreachable = state.is_log_unreachable.load(Ordering::Acquire);
    if is_log_unreachable || follow.needs_snapshot() { Request::State } else { Request::Nothing }
}

/// Returns up to `max` records from a revision on, or a snapshot if they are not kept any more.
///
/// The answer of a node that is not ready is empty.
pub fn records_since(state: &state::State, from: id::Revision, max: u32) -> message::Config {
    let (deltas, fold, revision) = {
        let follow = state.config.follow();
        let Some(fold) = follow.fold().filter(|_| follow.is_ready()) else {
            return message::Config::default();
        };
        let deltas = follow.deltas(from, max as usize).filter(|_| from > 0);
        let fold = deltas.is_none().then(|| fold.clone());
        (deltas, fold, follow.revision())
    };
    let snapshot = fold.map(|it| {
        let snapshot = record::Record::Snapshot(Box::new(Snapshot::new(&it, 0)));
        record::to_value(&snapshot).to_string()
    });
    let record =
        |(offset, value): follow::Delta| message::ConfigRecord { offset, text: value.to_string() };
    let records = deltas.into_iter().flatten().map(record).collect();
    message::Config { records, snapshot, revision }
}

/// Applies the snapshot and the records of another node.
///
/// A snapshot that cannot be parsed is ignored; records are applied up to the first that cannot.
pub fn apply(state: &state::State, config: message::Config, source: &str) {
    let value = config.snapshot.and_then(|it| serde_json::from_str(&it).ok());
    if let Some(snapshot) = value.as_ref().and_then(record::parse_snapshot) {
        configure::apply(state, follow::Input::Snapshot(Box::new(snapshot)), source);
    }
    let delta = |it: message::ConfigRecord| Some((it.offset, serde_json::from_str(&it.text).ok()?));
    let deltas: Vec<follow::Delta> = config.records.into_iter().map_while(delta).collect();
    if !deltas.is_empty() {
        configure::apply(state, follow::Input::Deltas(deltas), source);
    }
}
