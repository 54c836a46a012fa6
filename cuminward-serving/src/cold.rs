//! Rate of requests to a cold host.
//!
//! Each node spends a fixed part of the rate that the host bears, so that the sum holds also while
//! nodes can't reach each other.

use std::time::Duration;

/// Requests that one node may send to one cold host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    tokens: f64,
    at: Duration,
}

/// Requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance { tokens: BURST, at: Duration::ZERO }
    }
}

/// Access
impl Allowance {
    /// Tells whether a request may be sent now.
    pub fn is_open(&self, now: Duration, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    fn tokens_at(&self, now: Duration, rate: f64) -> f64 {
        let grown = now.saturating_sub(self.at).as_secs_f64() * rate;
        (self.tokens + grown).min(BURST)
    }
}

/// Mutation
impl Allowance {
    /// Takes a request from the allowance; false if none is left.
    pub fn take(&mut self, now: Duration, rate: f64) -> bool {
        let tokens = self.tokens_at(now, rate);
        self.at = now;
        self.tokens = tokens;
        if tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
