//! Connections that have gone silent.

use std::time::Duration;

/// Bounds of silence on a connection that should carry tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest time until the first byte of a reply.
    pub first: Duration,
    /// Longest time between two parts of a reply.
    pub between: Duration,
}

/// What is known about a connection with a reply under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// When the request was sent.
    pub sent: Duration,
    /// When the last part of a reply was received, if any was.
    pub received: Option<Duration>,
}

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The connection may be silent until then.
    Wait(Duration),
    /// Drop the connection, and find out over a new one whether the upstream works.
    Drop,
}

/// Whom a silence is blamed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// Something between the two ends lost track of the connection.
    Connection,
    /// The upstream doesn't answer over new connections either.
    Upstream,
}

impl Default for Options {
    fn default() -> Options {
        Options { first: Duration::from_secs(10), between: Duration::from_secs(2) }
    }
}

/// Decides whether a connection has been silent for too long.
pub fn decide(now: Duration, connection: &Connection, options: &Options) -> Action {
    let until = match connection.received {
        Some(it) => it + options.between,
        None => connection.sent + options.first,
    };
    if now < until { Action::Wait(until) } else { Action::Drop }
}

/// Blames a silence, given whether the upstream answered over a new connection.
pub fn blame(answered: bool) -> Blame {
    if answered { Blame::Connection } else { Blame::Upstream }
}
