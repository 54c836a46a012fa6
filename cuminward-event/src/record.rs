//! An event with where and when it happened.

use std::{
    fmt,
    time::{Duration, UNIX_EPOCH},
};

use cuminward_core::{hlc, id};
use cuminward_derive::record;

use crate::kind;

/// An event as a node keeps it.
#[record]
pub struct Record {
    /// Index within the node.
    pub seq: kind::Seq,
    /// Hybrid logical time.
    pub stamp: kind::Stamp,
    /// Node where it happened.
    pub node: id::Node,
    /// Request that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// What happened.
    #[serde(flatten)]
    pub kind: kind::Kind,
}

/// Access
impl Record {
    /// Wall time of the event, since the Unix epoch.
    pub fn since_epoch(&self) -> Duration {
        hlc::time(self.stamp).duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl fmt::Display for Record {
    /// Writes the record as a line of the time line: wall time in seconds with milliseconds, node
    /// and event, and the request if there is one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.since_epoch();
        write!(f, "{}.{:03} {} {}", time.as_secs(), time.subsec_millis(), self.node, self.kind)?;
        match &self.request {
            Some(request) => write!(f, " request={request}"),
            None => Ok(()),
        }
    }
}
