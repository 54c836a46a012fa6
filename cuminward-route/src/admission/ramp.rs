//! Slow start of an upstream: its concurrency limit while it warms up.

use std::time::Duration;

use cuminward_core::id;

use super::{Limits, message};

/// Current concurrency limit of an upstream, which rises linearly from the cold limit to the warm
/// one.
#[derive(Debug, Clone)]
pub struct Ramp {
    limits: Limits,
    incarnation: Option<id::Incarnation>,
    /// Time since the upstream's start, as of `as_of`.
    age: Duration,
    as_of: Duration,
}

/// Life cycle
impl Ramp {
    /// Creates the ramp of an upstream that is assumed to be cold.
    pub fn new(limits: Limits, now: Duration) -> Ramp {
        Ramp { limits, incarnation: None, age: Duration::ZERO, as_of: now }
    }
}

/// Access
impl Ramp {
    /// Returns the number of requests that the upstream may run at the same time.
    pub fn limit(&self, now: Duration) -> u32 {
        self.limits.limit_at(self.age(now))
    }

    /// Returns the start from which the ramp counts, once the upstream's incarnation is known.
    pub fn started(&self, now: Duration) -> Option<message::Started> {
        let incarnation = self.incarnation?;
        Some(message::Started { incarnation, age: self.age(now) })
    }

    /// Returns the incarnation of the upstream, once it is known.
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
    }

    fn age(&self, now: Duration) -> Duration {
        if self.incarnation.is_none() {
            return Duration::ZERO;
        }
        self.age.saturating_add(now.saturating_sub(self.as_of))
    }
}

/// Mutation
impl Ramp {
    /// Changes the limits of the upstream.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Records the upstream's incarnation and restarts the ramp if it isn't the known one. Returns
    /// `true` if another incarnation was known before.
    pub fn observe(&mut self, now: Duration, incarnation: id::Incarnation) -> bool {
        let known = self.incarnation.replace(incarnation);
        if known != Some(incarnation) {
            self.restart(now);
        }
        known.is_some_and(|it| it != incarnation)
    }

    /// Moves the start back to `age` before `now`, if the ramp has it later.
    pub fn backdate(&mut self, now: Duration, age: Duration) {
        self.age = self.age(now).max(age);
        self.as_of = now;
    }

    /// Restarts the ramp from the cold limit.
    pub fn restart(&mut self, now: Duration) {
        self.age = Duration::ZERO;
        self.as_of = now;
    }
}
