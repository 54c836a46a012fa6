//! Times at which rejected callers return.
//!
//! Answers waves of demand beyond the capacity that last for seconds: callers that are all told the same short time come back
//! together, into the same wave, and have spent their retry.

use std::time::Duration;

/// Shortest time until a return.
pub const MIN_WAIT: Duration = Duration::from_millis(250);

/// Part of the requests that end, for which callers are told to return.
const RETURN_PART: f64 = 0.25;

/// Part of the time that a caller has left in which it returns at the latest; it doesn't wait longer.
const MAX_PART: f64 = 1.0 / 3.0;

/// Returns of callers to the upstreams of a service and model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calendar {
    /// When the next return is free.
    free_at: Duration,
}

/// Returns the number of returns per second that a node plans, if `in_flight` of its requests are served, each for
/// `turnover`.
pub fn rate(in_flight: u32, turnover: Duration) -> f64 {
    f64::from(in_flight.max(1)) / turnover.as_secs_f64().max(f64::MIN_POSITIVE) * RETURN_PART
}

/// Mutation
impl Calendar {
    /// Returns the time after which a caller that is rejected at `now` and has `left` should return. Callers return in the
    /// order in which they were rejected, `rate` per second.
    pub fn assign(&mut self, now: Duration, left: Duration, rate: f64) -> Duration {
        let latest = left.mul_f64(MAX_PART).max(MIN_WAIT);
        let wait = self.free_at.saturating_sub(now).max(MIN_WAIT);
        if wait > latest {
            return latest;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(latest);
        self.free_at = now + wait + interval;
        wait
    }
}
