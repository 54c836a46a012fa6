//! Records of the stream `steward.{domain}`.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::{record, value};
use serde_with::{DurationMilliSeconds, serde_as};

/// A record about the lease of a failure domain's steward.
#[serde_as]
#[record]
pub struct Claim {
    /// Node that wrote the record.
    pub node: id::Node,
    /// Tells one start of the node from the next.
    pub incarnation: id::Incarnation,
    /// Counts the records of one start of the node.
    pub sequence: u64,
    /// Length of the lease; the writer counts from before it sent the record.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// What the record does.
    pub kind: Kind,
}

/// What a record does.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Starts a term of the writer; the record's offset is the fencing number.
    Claim,
    /// Extends the writer's term, if it is still the present one.
    Renew,
    /// Ends the writer's term, if it is still the present one.
    Resign,
}

/// Name of the stream that holds a failure domain's claims.
pub fn stream_name(domain: &str) -> String {
    format!("steward.{domain}")
}
