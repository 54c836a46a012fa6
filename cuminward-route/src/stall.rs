//! Detection of stalled connections.

use std::time::Duration;

/// Timeouts of a connection that should carry tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest time until the first byte of a reply.
    pub first: Duration,
    /// Longest time between two parts of a reply.
    pub between: Duration,
}

/// State of a connection on which a reply is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// When the request was sent.
    pub sent: Duration,
    /// When the last part of the reply was received, if any was.
    pub received: Option<Duration>,
}

/// Action on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Keep the connection; it is stalled if nothing is received by this time.
    Wait(Duration),
    /// Drop the connection, and probe the upstream over a new one.
    Drop,
}

/// Cause of a stall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The connection, for example because a device in between dropped its state.
    Connection,
    /// The upstream, which doesn't answer over new connections either.
    Upstream,
}

impl Default for Options {
    fn default() -> Options {
        Options { first: Duration::from_secs(10), between: Duration::from_secs(2) }
    }
}

/// Decides whether a connection is stalled.
pub fn decide(now: Duration, connection: &Connection, options: &Options) -> Action {
    let deadline = match connection.received {
        Some(it) => it + options.between,
        None => connection.sent + options.first,
    };
    if now < deadline { Action::Wait(deadline) } else { Action::Drop }
}

/// Returns the cause of a stall, given whether the upstream answered over a new connection.
pub fn cause(answered: bool) -> Cause {
    if answered { Cause::Connection } else { Cause::Upstream }
}
