//! One time line from the events of several nodes.

use std::time::UNIX_EPOCH;

use cuminward_core::hlc;

use crate::view::Event;

/// Merges events by hybrid logical time; events that several nodes gave stand once.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.hlc, &a.node, a.number).cmp(&(b.hlc, &b.node, b.number)));
    events.dedup();
    events
}

/// An event as one line: seconds since the epoch, counter, node, number, name, request, fields.
pub fn line(event: &Event) -> String {
    let since_epoch = hlc::time(event.hlc).duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = format!(
        "{}.{:03}+{} {} {:04} {}",
        since_epoch.as_secs(),
        since_epoch.subsec_millis(),
        counter(event.hlc),
        event.node,
        event.number,
        event.name
    );
    if !event.request.is_empty() {
        line.push_str(&format!(" request={}", event.request));
    }
    for (name, value) in &event.fields {
        line.push_str(&format!(" {name}={value:?}"));
    }
    line
}

/// Counter of a hybrid logical time.
pub(crate) fn counter(stamp: hlc::Stamp) -> u64 {
    stamp & 0xffff
}
