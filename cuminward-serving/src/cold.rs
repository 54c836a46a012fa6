//! Rate limit for requests to a cold host.
//!
//! Each node uses a fixed part of the rate that the host can take, so that the sum also stays
//! within the rate while nodes can't reach each other.

use std::time::Duration;

/// Token bucket for the requests that one node sends to one cold host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Tokens at the time of the last refill.
    tokens: f64,
    refilled_at: Duration,
}

/// Capacity of the bucket: requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket { tokens: BURST, refilled_at: Duration::ZERO }
    }
}

/// Access
impl Bucket {
    /// Returns whether a request may be sent now; `rate` is in requests per second.
    pub fn has_token(&self, now: Duration, rate: f64) -> bool {
        self.available_tokens(now, rate) >= 1.0
    }

    fn available_tokens(&self, now: Duration, rate: f64) -> f64 {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * rate;
        (self.tokens + refill).min(BURST)
    }
}

/// Mutation
impl Bucket {
    /// Takes a token for a request; `rate` is in requests per second. Returns false if there is no
    /// token.
    pub fn try_take(&mut self, now: Duration, rate: f64) -> bool {
        let tokens = self.available_tokens(now, rate);
        self.refilled_at = now;
        self.tokens = tokens;
        if tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
