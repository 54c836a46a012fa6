//! How much an upstream bears after a cold start.

use std::time::Duration;

/// A limit that rises linearly after a start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ramp {
    /// Requests at the same time right after the start.
    pub(crate) cold: u32,
    /// Requests at the same time once warm.
    pub(crate) warm: u32,
    /// Time from cold to warm.
    pub(crate) duration: Duration,
}

/// Access
impl Ramp {
    /// Requests that are borne at an age since the start.
    pub(crate) fn limit_at(&self, age: Duration) -> u32 {
        if age >= self.duration {
            return self.warm;
        }
        let part = age.as_secs_f64() / self.duration.as_secs_f64();
        self.cold + (f64::from(self.warm.saturating_sub(self.cold)) * part) as u32
    }
}
