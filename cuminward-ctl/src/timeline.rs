//! Merges the events of several nodes into one time line and formats them as text.

use std::time::UNIX_EPOCH;

use cuminward_core::hlc;

use crate::view::Event;

/// Sorts the events of all lists by hybrid logical time, node and number, and removes the duplicates that
/// several nodes report.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.hlc, &a.node, a.number).cmp(&(b.hlc, &b.node, b.number)));
    events.dedup();
    events
}

/// Formats an event as one line: seconds since the Unix epoch, counter, node, number, name, request,
/// fields.
pub fn format_line(event: &Event) -> String {
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

/// Returns the logical counter of a hybrid logical time, which orders events of the same millisecond.
pub(crate) fn counter(stamp: hlc::Stamp) -> u64 {
    stamp & 0xffff
}
