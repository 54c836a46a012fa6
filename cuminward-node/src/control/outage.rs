//! Notices when a service of the platform goes away and comes back.

use std::time::Duration;

/// Whether a service answers.
#[derive(Debug, Default)]
pub struct Outage {
    since: Option<Duration>,
}

/// Mutation
impl Outage {
    /// Notes a failed call; tells whether it is the first one.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        first
    }

    /// Notes an answer; gives the length of the outage that it ends, in milliseconds.
    pub fn record_answer(&mut self, now: Duration) -> Option<u64> {
        let since = self.since.take()?;
        Some(now.saturating_sub(since).as_millis() as u64)
    }
}
