//! Concurrency limit of a stand-in upstream that warms up after its start.

use std::time::Duration;

/// Limit of concurrent requests that rises linearly after a start (slow start).
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ramp {
    /// Concurrent requests directly after the start.
    pub(crate) cold: u32,
    /// Concurrent requests once the upstream is warm.
    pub(crate) warm: u32,
    /// Time from the start until the upstream is warm.
    pub(crate) duration: Duration,
}

/// Access
impl Ramp {
    /// Returns the limit of concurrent requests at an age, the time since the start.
    pub(crate) fn limit_at(&self, age: Duration) -> u32 {
        if age >= self.duration {
            return self.warm;
        }
        let part = age.as_secs_f64() / self.duration.as_secs_f64();
        self.cold + (f64::from(self.warm.saturating_sub(self.cold)) * part) as u32
    }
}
