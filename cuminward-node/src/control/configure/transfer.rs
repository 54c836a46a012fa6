//! Gives other nodes the records that they lack, and takes over theirs.

use std::sync::atomic::Ordering;

use cuminward_config::{follow, record, snapshot::Snapshot};
use cuminward_core::id;
use cuminward_peer::message;

use crate::{control::configure, state};

/// What a node asks other nodes for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Nothing: the log will tell.
    Nothing,
    /// Records from a revision on.
    Records(id::Revision),
    /// The newest state that any node has, since records don't tell how much is missing.
    State,
}

/// What this node asks other nodes for.
///
/// A node that isn't ready reads the log where it can: a peer's state may be older than what an
/// earlier process of this node had in force.
pub fn next_request(state: &state::State) -> Request {
    let follow = state.config.follow();
    if follow.is_ready() {
        return Request::Records(follow.revision());
    }
    let is_log_away = state.is_log_unreachable.load(Ordering::Acquire);
    if is_log_away || follow.needs_snapshot() { Request::State } else { Request::Nothing }
}

/// Records from a revision on for another node, or the state where they aren't kept any more.
///
/// A node that isn't ready has nothing to give.
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

/// Takes over what another node has folded already; what can't be read is skipped.
pub fn apply(state: &state::State, config: message::Config, source: &str) {
    let value = config.snapshot.and_then(|it| serde_json::from_str(&it).ok());
    if let Some(snapshot) = value.as_ref().and_then(record::parse_snapshot) {
        configure::take(state, follow::Input::Snapshot(Box::new(snapshot)), source);
    }
    let delta = |it: message::ConfigRecord| Some((it.offset, serde_json::from_str(&it.text).ok()?));
    let deltas: Vec<follow::Delta> = config.records.into_iter().map_while(delta).collect();
    if !deltas.is_empty() {
        configure::take(state, follow::Input::Deltas(deltas), source);
    }
}
