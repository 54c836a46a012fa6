//! Timeline of the events of several nodes, as text and as a trace file.
//!
//! The trace file has the Chrome trace-event format (JSON), which Perfetto and `chrome://tracing`
//! read. It has a process for each node, an instant event for each event and an async span for each
//! request.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::{kind::Kind, record::Record};

/// Merges the events of several nodes in the order of their hybrid logical timestamps and removes
/// duplicates.
pub fn merge(nodes: impl IntoIterator<Item = Vec<Record>>) -> Vec<Record> {
    let mut all: Vec<Record> = nodes.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.node, a.seq).cmp(&(b.stamp, &b.node, b.seq)));
    all.dedup_by(|a, b| a.stamp == b.stamp && a.node == b.node && a.seq == b.seq);
    all
}

/// Formats the events as lines of text.
pub fn format_text(records: &[Record]) -> String {
    records.iter().map(|it| format!("{it}\n")).collect()
}

/// Returns the content of the trace file.
pub fn chrome_trace(records: &[Record]) -> Value {
    let mut processes = BTreeMap::new();
    for record in records {
        let next = processes.len() + 1;
        processes.entry(record.node.as_str()).or_insert(next);
    }
    let names = processes.iter().map(|(node, pid)| process_name(node, *pid));
    let events = records.iter().flat_map(|it| {
        let pid = processes[it.node.as_str()];
        [Some(instant(it, pid)), span(it, pid)].into_iter().flatten()
    });
    let events: Vec<Value> = names.chain(events).collect();
    json!({ "displayTimeUnit": "ms", "traceEvents": events })
}

/// Returns the metadata event that names the process of a node.
fn process_name(node: &str, pid: usize) -> Value {
    json!({ "ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": { "name": node } })
}

/// Returns the instant event of a record.
fn instant(record: &Record, pid: usize) -> Value {
    json!({
        "ph": "i",
        "s": "p",
        "name": record.kind.name(),
        "cat": record.kind.level().as_str(),
        "ts": microseconds(record),
        "pid": pid,
        "tid": 0,
        "args": record,
    })
}

/// Returns the begin or end of a request's span; `None` if the event is neither.
fn span(record: &Record, pid: usize) -> Option<Value> {
    let request = record.request.as_ref()?;
    let phase = match record.kind {
        Kind::RequestAdmitted { .. } => "b",
        Kind::RequestCompleted { .. }
        | Kind::RequestRefused { .. }
        | Kind::RequestUnknown { .. }
        | Kind::RequestCancelled { .. } => "e",
        _ => return None,
    };
    Some(json!({
        "ph": phase,
        "cat": "request",
        "name": request,
        "id": request,
        "ts": microseconds(record),
        "pid": pid,
        "tid": 0,
    }))
}

/// Returns the time of a record in microseconds. The counter of the timestamp is added as
/// microseconds, so that events of the same millisecond stay in order.
fn microseconds(record: &Record) -> f64 {
    let counter = (record.stamp & 0xffff) as f64;
    record.since_epoch().as_millis() as f64 * 1000.0 + counter.min(999.0)
}
