//! For how long an upstream keeps idle connections, as far as stale ones have shown.
//!
//! Upstreams don't say when they drop an idle connection, and may do it sooner than usual for a while. A
//! connection that turns out stale after it was idle for a time bounds the time that others are kept. It may
//! also have been closed for a reason of its own, as by a restart of the upstream. So the bound is forgotten
//! after a multiple of that time: a short one, which costs many new connections, sooner than a long one.

use std::time::{Duration, Instant};

/// Time for which a bound holds, as a multiple of the idle time that showed it.
const VALIDITY: u32 = 20;

/// Bound on the idle time of connections to one address. The default is no bound.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Limit {
    bound: Option<Bound>,
}

#[derive(Debug, Clone, Copy)]
struct Bound {
    /// Shortest idle time after which a connection was stale.
    idle: Duration,
    /// When the bound is forgotten.
    expires: Instant,
}

/// Access
impl Limit {
    /// Returns whether a connection that was idle for a time may be used.
    pub(crate) fn allows(&self, idle: Duration, now: Instant) -> bool {
        self.current(now).is_none_or(|it| idle < it.idle)
    }

    fn current(&self, now: Instant) -> Option<Bound> {
        self.bound.filter(|it| now < it.expires)
    }
}

/// Mutation
impl Limit {
    /// Records that a connection was stale after it had been idle for a time.
    pub(crate) fn record_stale(&mut self, idle: Duration, now: Instant) {
        if self.allows(idle, now) {
            self.bound = Some(Bound { idle, expires: now + idle * VALIDITY });
        }
    }
}
