//! Limit of an upstream that warms up.

use std::time::Duration;

use cuminward_core::id;

use super::{Limits, message};

/// What an upstream bears now: its limit rises linearly from the cold to the warm one.
#[derive(Debug, Clone)]
pub struct Ramp {
    limits: Limits,
    incarnation: Option<id::Incarnation>,
    age: Duration,
    at: Duration,
}

/// Life cycle
impl Ramp {
    /// Makes the ramp of an upstream that is taken to be cold.
    pub fn new(limits: Limits, now: Duration) -> Ramp {
        Ramp { limits, incarnation: None, age: Duration::ZERO, at: now }
    }
}

/// Access
impl Ramp {
    /// Requests that the upstream may run at the same time.
    pub fn limit(&self, now: Duration) -> u32 {
        self.limits.limit_at(self.age(now))
    }

    /// The start that the ramp counts from, once the upstream's incarnation is known.
    pub fn started(&self, now: Duration) -> Option<message::Started> {
        let incarnation = self.incarnation?;
        Some(message::Started { incarnation, age: self.age(now) })
    }

    /// Incarnation of the upstream, once it is known.
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
    }

    fn age(&self, now: Duration) -> Duration {
        if self.incarnation.is_none() {
            return Duration::ZERO;
        }
        self.age.saturating_add(now.saturating_sub(self.at))
    }
}

/// Mutation
impl Ramp {
    /// Changes what the upstream bears.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes the upstream's incarnation over; `true` when it differs from the known one, and the
    /// ramp starts anew.
    pub fn observe(&mut self, now: Duration, incarnation: id::Incarnation) -> bool {
        let known = self.incarnation.replace(incarnation);
        if known != Some(incarnation) {
            self.restart(now);
        }
        known.is_some_and(|it| it != incarnation)
    }

    /// Takes over that the start happened earlier.
    pub fn backdate(&mut self, now: Duration, age: Duration) {
        self.age = self.age(now).max(age);
        self.at = now;
    }

    /// Starts the ramp anew.
    pub fn restart(&mut self, now: Duration) {
        self.age = Duration::ZERO;
        self.at = now;
    }
}
