//! The story of one request, from the log lines of several nodes.

use std::{collections::BTreeSet, time::Duration};

use crate::{kind::Kind, record::Record, trace};

/// Time before a request's first event in which what nodes learned may explain it.
const BEFORE: Duration = Duration::from_secs(5);

/// Reads log lines; text before a record, such as a collector's prefix, and lines without one are
/// passed over.
pub fn parse_lines(lines: impl IntoIterator<Item = String>) -> Vec<Record> {
    let record = |line: String| serde_json::from_str(&line[line.find('{')?..]).ok();
    lines.into_iter().filter_map(record).collect()
}

/// The events of a request in order, among them what nodes learned about the upstreams that it was sent
/// to, and the last state of the groups before it ended.
pub fn request_events(records: Vec<Record>, request: &str) -> Vec<Record> {
    let records = trace::merge([records]);
    let own: Vec<&Record> =
        records.iter().filter(|it| it.request.as_deref() == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let begin = first.since_epoch().saturating_sub(BEFORE);
    let end = last.since_epoch();
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|it| upstream(&it.kind)).collect();
    let groups = records
        .iter()
        .rfind(|it| matches!(it.kind, Kind::GroupsChanged { .. }) && it.since_epoch() <= end);
    let is_told = |it: &&Record| {
        let time = it.since_epoch();
        let is_own = it.request.as_deref() == Some(request);
        let is_near = it.request.is_none() && time >= begin && time <= end;
        let is_state = groups.is_some_and(|groups| groups == *it);
        let is_here = own.iter().any(|own| own.node == it.node);
        let explains = tells_of(&it.kind, &upstreams) || is_here && tells_of_node(&it.kind);
        is_own || is_state || is_near && explains
    };
    records.iter().filter(is_told).cloned().collect()
}

/// The upstream that an event of a request names.
fn upstream(kind: &Kind) -> Option<&str> {
    match kind {
        Kind::UpstreamChosen { upstream, .. } | Kind::AttemptFailed { upstream, .. } => {
            Some(upstream)
        }
        _ => None,
    }
}

/// Tells whether an event says something about one of the upstreams.
fn tells_of(kind: &Kind, upstreams: &BTreeSet<&str>) -> bool {
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

/// Tells whether an event says something about what its node knows or does.
fn tells_of_node(kind: &Kind) -> bool {
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
