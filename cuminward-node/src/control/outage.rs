//! Detects the begin and the end of outages of a platform service.

use std::time::Duration;

/// Outage state of a service.
#[derive(Debug, Default)]
pub struct Outage {
    since: Option<Duration>,
}

/// Mutation
impl Outage {
    /// Records a failed call; returns whether it begins an outage.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        first
    }

    /// Records an answer; returns the length of the outage that it ends, in milliseconds.
    pub fn record_answer(&mut self, now: Duration) -> Option<u64> {
        let since = self.since.take()?;
        Some(now.saturating_sub(since).as_millis() as u64)
    }
}
