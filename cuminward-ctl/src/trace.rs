//! Chrome's trace event format, which the usual trace viewers open.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::UNIX_EPOCH,
};

use cuminward_core::hlc;
use serde_json::{Value, json};

use crate::{timeline, view::Event};

/// Microseconds of a millisecond; the hybrid time's counter orders events within it.
const MILLISECOND_US: u64 = 1_000;

/// Makes a trace: a process for each node, a thread for each request, an instant for each event and a
/// span from a request's first to its last event on a node.
pub fn make(events: &[Event]) -> Value {
    let processes = number(events.iter().map(|it| it.node.as_str()));
    let threads = number(events.iter().map(|it| it.request.as_str()));
    let place = |event: &Event| (processes[event.node.as_str()], threads[event.request.as_str()]);
    let mut entries: Vec<Value> = processes.iter().map(|(name, pid)| process(name, *pid)).collect();
    entries.extend(events.iter().map(|it| instant(it, place(it))));
    entries.extend(spans(events).into_iter().map(|(first, last)| span(first, last, place(first))));
    json!({"displayTimeUnit": "ms", "traceEvents": entries})
}

fn number<'a>(names: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
    let names: BTreeSet<&str> = names.collect();
    names.into_iter().zip(1..).collect()
}

fn process(name: &str, pid: usize) -> Value {
    json!({"ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": {"name": name}})
}

fn instant(event: &Event, (pid, tid): (usize, usize)) -> Value {
    json!({
        "ph": "i", "s": "t", "name": event.name, "cat": event.number.to_string(),
        "ts": micros(event.hlc), "pid": pid, "tid": tid, "args": event.fields,
    })
}

fn span(first: &Event, last: &Event, (pid, tid): (usize, usize)) -> Value {
    let start = micros(first.hlc);
    json!({
        "ph": "X", "name": first.request, "cat": "request", "ts": start,
        "dur": micros(last.hlc).saturating_sub(start), "pid": pid, "tid": tid,
    })
}

fn spans(events: &[Event]) -> Vec<(&Event, &Event)> {
    let mut spans: BTreeMap<(&str, &str), (&Event, &Event)> = BTreeMap::new();
    for event in events.iter().filter(|it| !it.request.is_empty()) {
        let key = (event.node.as_str(), event.request.as_str());
        spans.entry(key).or_insert((event, event)).1 = event;
    }
    spans.into_values().collect()
}

fn micros(stamp: hlc::Stamp) -> u64 {
    let since_epoch = hlc::time(stamp).duration_since(UNIX_EPOCH).unwrap_or_default();
    let counter = timeline::counter(stamp).min(MILLISECOND_US - 1);
    since_epoch.as_millis() as u64 * MILLISECOND_US + counter
}
