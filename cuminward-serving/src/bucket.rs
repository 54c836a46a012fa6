//! Token bucket for the requests that one node sends to one host whose rate of requests is limited.

use std::time::Duration;

/// Token bucket. The default is the bucket of a node's start: it is empty then, as an earlier process of the
/// node may have used its tokens a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bucket {
    /// Tokens at the time of the last refill.
    tokens: f64,
    refilled_at: Duration,
}

/// Capacity of the bucket: requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

/// Life cycle
impl Bucket {
    /// Creates a bucket that is empty now.
    pub fn empty(now: Duration) -> Bucket {
        Bucket { tokens: 0.0, refilled_at: now }
    }
}

/// Access
impl Bucket {
    /// Returns whether a request may be sent now; `rate` is in requests per second.
    pub fn has_token(&self, now: Duration, rate: f64) -> bool {
        self.available_tokens(now, rate) >= BURST
    }

    /// Returns the time until a request may be sent; `None` if the rate allows none.
    pub fn time_to_token(&self, now: Duration, rate: f64) -> Option<Duration> {
        if rate <= 0.0 {
            return None;
        }
        let missing = BURST - self.available_tokens(now, rate);
        Duration::try_from_secs_f64(missing.max(0.0) / rate).ok()
    }

    fn available_tokens(&self, now: Duration, rate: f64) -> f64 {
        if rate <= 0.0 {
            return 0.0;
        }
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
        if tokens < BURST {
            return false;
        }
        self.tokens -= BURST;
        true
    }
}
