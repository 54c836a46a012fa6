//! How callers' connections end.

use cuminward_event::kind::Kind;

use super::activity::Activity;
use crate::state::State;

/// Callers' connections that ended, by reason.
const ENDED: &str = "cuminward_gateway_caller_connections_ended_total";

/// What ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// The node, as the connection was idle.
    Idle,
    /// The node, as it is stopping.
    Stopping,
    /// The node, to make room for other callers.
    Crowded,
    /// The node, as the head of a request didn't arrive in time. The node responds to it with 408.
    SlowHead,
    /// The node, as the caller didn't read its response.
    Unread,
    /// The node, after a response that closes the connection.
    Response,
    /// The caller.
    Caller,
    /// An error of the connection or of a response.
    Error,
}

/// What a connection ended with.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) reason: Reason,
    /// Error message; empty if there is none.
    pub(super) cause: String,
    /// Requests in flight.
    pub(super) in_flight: u64,
    /// Bytes that were received and not handled.
    pub(super) bytes: u64,
}

/// Life cycle
impl Ending {
    /// Creates the ending of a connection that the node closed between requests, with `bytes` left on it.
    pub(super) fn between_requests(reason: Reason, bytes: u64) -> Ending {
        Ending { reason, cause: String::new(), in_flight: 0, bytes }
    }
}

/// Access
impl Reason {
    /// Returns the name in events and metrics.
    fn name(self) -> &'static str {
        match self {
            Reason::Idle => "idle",
            Reason::Stopping => "stopping",
            Reason::Crowded => "crowded",
            Reason::SlowHead => "slow-head",
            Reason::Unread => "unread",
            Reason::Response => "response",
            Reason::Caller => "caller",
            Reason::Error => "error",
        }
    }
}

/// Counts the end of a connection. The event is written if a request or bytes were left on it.
pub(super) fn record(state: &State, activity: &Activity, ending: Ending) {
    let reason = ending.reason.name();
    metrics::counter!(ENDED, "reason" => reason).increment(1);
    if ending.in_flight == 0 && ending.bytes == 0 {
        return;
    }
    let kind = Kind::CallerConnectionCut {
        reason: reason.to_owned(),
        cause: ending.cause,
        in_flight: ending.in_flight,
        bytes: ending.bytes,
        unused_ms: activity.unused_for().as_millis() as u64,
    };
    match activity.request() {
        Some(id) => state.events.emit_for(&id, kind),
        None => state.events.emit(kind),
    }
}
