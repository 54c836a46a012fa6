//! Rate of requests to a cold host.
//!
//! Each node spends a fixed part of the rate that the host bears, so that the sum holds also while
//! nodes can't reach each other.

use std::time::Duration;

/// Requests that one node may send to one cold host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    at: Duration,
}

/// Requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket { tokens: BURST, at: Duration::ZERO }
    }
}

/// Access
impl Bucket {
    /// Tells whether a request may be sent now.
    pub fn has_token(&self, now: Duration, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    fn tokens_at(&self, now: Duration, rate: f64) -> f64 {
        let grown = now.saturating_sub(self.at).as_secs_f64() * rate;
        (self.tokens + grown).min(BURST)
    }
}

/// Mutation
impl Bucket {
    /// Takes a request from the allowance; false if none is left.
    pub fn try_take(&mut self, now: Duration, rate: f64) -> bool {
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
