//! Events of an engine's prefix cache, as `GET /v1/cache-events` answers them.

use cuminward_derive::{record, value};

/// Events since a number.
#[record]
pub struct Batch {
    /// Number to ask from next time.
    pub next: u64,
    /// Whether events between the asked number and `next` are missing.
    pub gap: bool,
    /// The events, by number.
    pub events: Vec<Event>,
}

/// A change of an engine's cache.
#[record]
pub struct Event {
    /// Number of the event; consecutive events have consecutive numbers.
    pub seq: u64,
    /// What happened to the prefix.
    pub kind: Kind,
    /// Id of the prefix, as 16 hexadecimal digits.
    pub prefix: String,
}

/// What happened to a prefix.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The cache now holds the prefix.
    Stored,
    /// The cache no longer holds the prefix.
    Removed,
}
