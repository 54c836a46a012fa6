//! Events of an engine's prefix cache, in the format that `GET /v1/cache-events` returns.

use cuminward_derive::{record, value};

/// The events of a prefix cache from a sequence number on.
#[record]
pub struct Batch {
    /// Sequence number from which the next batch should be requested.
    pub next: u64,
    /// Whether events between the requested sequence number and `next` are missing.
    pub gap: bool,
    /// The events, ordered by sequence number.
    pub events: Vec<Event>,
}

/// A change of an engine's prefix cache.
#[record]
pub struct Event {
    /// Sequence number of the event; consecutive events have consecutive numbers.
    pub seq: u64,
    /// Kind of the change.
    pub kind: Kind,
    /// Id of the prefix, as 16 hexadecimal digits.
    pub prefix: String,
}

/// How an event changes the cache.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The cache now holds the prefix.
    Stored,
    /// The cache no longer holds the prefix.
    Removed,
}
