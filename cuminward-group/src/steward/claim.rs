//! Records of the stream `steward.{domain}`.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::{record, value};
use serde_with::{DurationMilliSeconds, serde_as};

/// A record in the log that claims, renews or ends the lease of a failure domain's steward.
#[serde_as]
#[record]
pub struct Claim {
    /// Node that wrote the record.
    pub node: id::Node,
    /// Start of the node; differs between any two starts.
    pub incarnation: id::Incarnation,
    /// Number of the record among those of one start of the node.
    pub sequence: u64,
    /// Length of the lease; the writer counts it from the time before it sent the record.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Operation of the record.
    pub kind: Kind,
}

/// Operation of a record.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Starts a term of the writer; the record's offset is the fencing token.
    Claim,
    /// Extends the writer's term, if it is still the current one.
    Renew,
    /// Ends the writer's term, if it is still the current one.
    Resign,
}

/// Returns the name of the stream that holds a failure domain's claims.
pub fn stream_name(domain: &str) -> String {
    format!("steward.{domain}")
}
