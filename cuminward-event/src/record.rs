//! An event with its node, time and request.

use std::{
    fmt,
    time::{Duration, UNIX_EPOCH},
};

use cuminward_core::{hlc, id};
use cuminward_derive::record;

use crate::kind;

/// An event as it is buffered and written to the log.
#[record]
pub struct Record {
    /// Sequence number within the node.
    pub seq: kind::Seq,
    /// Hybrid logical timestamp.
    pub stamp: kind::Stamp,
    /// Node that emitted the event.
    pub node: id::Node,
    /// Request that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// The event.
    #[serde(flatten)]
    pub kind: kind::Kind,
}

/// Access
impl Record {
    /// Returns the wall time of the event since the Unix epoch, in whole milliseconds.
    pub fn since_epoch(&self) -> Duration {
        hlc::time(self.stamp).duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl fmt::Display for Record {
    /// Formats the record as a line of the timeline: wall time in seconds with milliseconds, node,
    /// event, and the request if there is one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.since_epoch();
        write!(f, "{}.{:03} {} {}", time.as_secs(), time.subsec_millis(), self.node, self.kind)?;
        match &self.request {
            Some(request) => write!(f, " request={request}"),
            None => Ok(()),
        }
    }
}
