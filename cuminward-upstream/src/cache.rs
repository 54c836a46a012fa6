//! Events of an engine's prefix cache.

use cuminward_derive::{record, value};

/// Events since an index, which may have a gap.
#[record]
pub struct Events {
    /// Index to ask from next time.
    pub next: u64,
    /// Whether events before the first one were lost.
    pub gap: bool,
    /// The events in order.
    pub events: Vec<Event>,
}

/// One event.
#[record]
pub struct Event {
    /// Index of the event.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// Id of the prefix: 16 hexadecimal digits.
    pub prefix: String,
}

/// What happened to a prefix.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The prefix is in the cache.
    Stored,
    /// The prefix left the cache.
    Removed,
}
