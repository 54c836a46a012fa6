//! Converts events to Chrome's trace event format, which common trace viewers can open.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::UNIX_EPOCH,
};

use cuminward_core::hlc;
use serde_json::{Value, json};

use crate::{timeline, view::Event};

/// Microseconds per millisecond. The counter of a hybrid logical time is added as microseconds, so that
/// events of the same millisecond keep their order.
const MILLISECOND_US: u64 = 1_000;

/// Builds a trace: a process for each node, a thread for each request, an instant for each event, and a
/// span from the first to the last event of each request on each node.
pub fn build(events: &[Event]) -> Value {
    let processes = assign_ids(events.iter().map(|it| it.node.as_str()));
    let threads = assign_ids(events.iter().map(|it| it.request.as_str()));
    let ids = |event: &Event| (processes[event.node.as_str()], threads[event.request.as_str()]);
    let mut entries: Vec<Value> =
        processes.iter().map(|(name, pid)| process_entry(name, *pid)).collect();
    entries.extend(events.iter().map(|it| instant_entry(it, ids(it))));
    entries.extend(
        request_spans(events).into_iter().map(|(first, last)| span_entry(first, last, ids(first))),
    );
    json!({"displayTimeUnit": "ms", "traceEvents": entries})
}

/// Numbers the distinct names from 1, in sorted order.
fn assign_ids<'a>(names: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
    let names: BTreeSet<&str> = names.collect();
    names.into_iter().zip(1..).collect()
}

fn process_entry(name: &str, pid: usize) -> Value {
    json!({"ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": {"name": name}})
}

fn instant_entry(event: &Event, (pid, tid): (usize, usize)) -> Value {
    json!({
        "ph": "i", "s": "t", "name": event.name, "cat": event.number.to_string(),
        "ts": to_micros(event.hlc), "pid": pid, "tid": tid, "args": event.fields,
    })
}

fn span_entry(first: &Event, last: &Event, (pid, tid): (usize, usize)) -> Value {
    let start = to_micros(first.hlc);
    json!({
        "ph": "X", "name": first.request, "cat": "request", "ts": start,
        "dur": to_micros(last.hlc).saturating_sub(start), "pid": pid, "tid": tid,
    })
}

/// Returns the first and the last event of each request on each node.
fn request_spans(events: &[Event]) -> Vec<(&Event, &Event)> {
    let mut spans: BTreeMap<(&str, &str), (&Event, &Event)> = BTreeMap::new();
    for event in events.iter().filter(|it| !it.request.is_empty()) {
        let key = (event.node.as_str(), event.request.as_str());
        spans.entry(key).or_insert((event, event)).1 = event;
    }
    spans.into_values().collect()
}

/// Converts a hybrid logical time to microseconds since the Unix epoch.
fn to_micros(stamp: hlc::Stamp) -> u64 {
    let since_epoch = hlc::time(stamp).duration_since(UNIX_EPOCH).unwrap_or_default();
    let counter = timeline::counter(stamp).min(MILLISECOND_US - 1);
    since_epoch.as_millis() as u64 * MILLISECOND_US + counter
}
