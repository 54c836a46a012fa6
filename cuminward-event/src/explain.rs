//! Extracts the events that concern one request from the log lines of several nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Deserialize;

use crate::{kind::Kind, record::Record, trace};

/// Time before the first event of a request in which events of nodes and upstreams are included.
const LOOKBACK: Duration = Duration::from_secs(5);

/// What log lines contain.
#[derive(Debug, Default)]
pub struct Lines {
    /// Events that this build knows.
    pub records: Vec<Record>,
    /// Number of events that it can't read, by their name: another build has written them.
    pub unreadable: BTreeMap<String, usize>,
}

/// The part of an event that all builds write alike.
#[derive(Deserialize)]
struct Head {
    #[serde(rename = "stamp")]
    _stamp: u64,
    event: String,
}

/// Parses the records of log lines. Text before a record, such as the prefix of a log collector, and
/// lines without a record are skipped.
pub fn parse_lines(lines: impl IntoIterator<Item = String>) -> Lines {
    let mut parsed = Lines::default();
    for line in lines {
        let Some(text) = line.find('{').map(|start| &line[start..]) else { continue };
        if let Ok(record) = serde_json::from_str(text) {
            parsed.records.push(record);
        } else if let Ok(head) = serde_json::from_str::<Head>(text) {
            *parsed.unreadable.entry(head.event).or_default() += 1;
        }
    }
    parsed
}

/// Returns the events of a request in order, together with the events that may explain its outcome:
/// those about its upstreams and those about the state of the nodes that handled it, from 5 s before
/// its first event to its last one, and the last state of the groups before its end. Empty if the
/// request has no events.
pub fn request_events(records: Vec<Record>, request: &str) -> Vec<Record> {
    let records = trace::merge([records]);
    let own: Vec<&Record> =
        records.iter().filter(|it| it.request.as_deref() == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let begin = first.since_epoch().saturating_sub(LOOKBACK);
    let end = last.since_epoch();
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|it| upstream(&it.kind)).collect();
    let groups = records
        .iter()
        .rfind(|it| matches!(it.kind, Kind::GroupsChanged { .. }) && it.since_epoch() <= end);
    let is_relevant = |it: &&Record| {
        let time = it.since_epoch();
        let is_own = it.request.as_deref() == Some(request);
        let is_in_range = it.request.is_none() && time >= begin && time <= end;
        let is_groups = groups.is_some_and(|groups| groups == *it);
        let is_same_node = own.iter().any(|own| own.node == it.node);
        let explains =
            concerns_upstream(&it.kind, &upstreams) || is_same_node && concerns_node(&it.kind);
        is_own || is_groups || is_in_range && explains
    };
    records.iter().filter(is_relevant).cloned().collect()
}

/// Returns the upstream that an event of a request names.
fn upstream(kind: &Kind) -> Option<&str> {
    match kind {
        Kind::UpstreamChosen { upstream, .. }
        | Kind::AttemptFailed { upstream, .. }
        | Kind::ConnectionStale { upstream, .. } => Some(upstream),
        _ => None,
    }
}

/// Returns whether an event concerns one of the upstreams or the stewards that manage them.
fn concerns_upstream(kind: &Kind, upstreams: &BTreeSet<&str>) -> bool {
    let is_named = |name: &str| upstreams.contains(name);
    match kind {
        Kind::ReplicaStalled { replica, .. } | Kind::HostUnreachable { replica, .. } => {
            is_named(replica)
        }
        Kind::OrderCompleted { order, .. } => upstreams.iter().any(|it| {
            let group = it.split('/').next().unwrap_or(it);
            order.contains(group)
        }),
        Kind::HostRemoved { host } => upstreams.iter().any(|it| it.starts_with(host.as_str())),
        Kind::StewardElected { .. } => true,
        _ => false,
    }
}

/// Returns whether an event concerns the state or the life cycle of its node.
fn concerns_node(kind: &Kind) -> bool {
    matches!(
        kind,
        Kind::StoreUnavailable { .. }
            | Kind::StoreRecovered { .. }
            | Kind::CatalogApplied { .. }
            | Kind::DomainTrafficSwitched { .. }
            | Kind::NodeStarted { .. }
            | Kind::NodeDraining { .. }
    )
}
