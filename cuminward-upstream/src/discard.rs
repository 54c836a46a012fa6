//! Counts the connections that are closed instead of being kept for further requests, by cause.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// Why a connection isn't kept for further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The response refuses the request; a copy of it may follow, which nothing tells from the next response.
    Refusal,
    /// The response wasn't read to its end: it failed, isn't trusted or is no longer wanted.
    Unread,
    /// The upstream sent nothing in time.
    Timeout,
    /// The upstream had dropped the connection while it was idle, which showed when a request was sent on it.
    Stale,
}

/// Access
impl Cause {
    /// All causes.
    pub const ALL: [Cause; 4] = [Cause::Refusal, Cause::Unread, Cause::Timeout, Cause::Stale];
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Refusal => "refusal",
            Cause::Unread => "unread",
            Cause::Timeout => "timeout",
            Cause::Stale => "stale",
        })
    }
}

/// Number of connections that weren't kept, by cause.
#[derive(Debug, Default)]
pub struct Counter {
    refusals: AtomicU64,
    unread: AtomicU64,
    timeouts: AtomicU64,
    stale: AtomicU64,
}

/// Access
impl Counter {
    /// Returns the number of connections that weren't kept for a cause.
    pub fn count(&self, cause: Cause) -> u64 {
        self.counter(cause).load(Ordering::Relaxed)
    }

    fn counter(&self, cause: Cause) -> &AtomicU64 {
        match cause {
            Cause::Refusal => &self.refusals,
            Cause::Unread => &self.unread,
            Cause::Timeout => &self.timeouts,
            Cause::Stale => &self.stale,
        }
    }
}

/// Mutation
impl Counter {
    pub(crate) fn record(&self, cause: Cause) {
        self.counter(cause).fetch_add(1, Ordering::Relaxed);
    }
}
