//! Hybrid logical clock: orders events across nodes by timestamps close to wall time.
//!
//! The algorithm is the one of Kulkarni et al., "Logical Physical Clocks" (2014), with wall time in
//! milliseconds in the upper 48 bits and a counter in the lower 16.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A hybrid timestamp: milliseconds since the Unix epoch, shifted left by 16 bits, plus a counter.
pub type Stamp = u64;

/// Number of low bits of a stamp that hold the counter.
const COUNTER_BITS: u32 = 16;

/// Largest lead over the local wall clock at which a received stamp is still accepted.
const MAX_LEAD: Duration = Duration::from_secs(60);

/// A hybrid logical clock. Its stamps strictly increase and exceed every accepted stamp of other
/// nodes.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

/// Access
impl Clock {
    /// Returns a stamp larger than every stamp that the clock has returned or observed.
    pub fn now(&self) -> Stamp {
        self.advance(from_system_time(SystemTime::now()))
    }

    /// Advances the clock to a stamp received from another node. Stamps more than 60 s ahead of the
    /// local wall clock are ignored.
    pub fn observe(&self, stamp: Stamp) {
        let local = from_system_time(SystemTime::now());
        let limit = local.saturating_add((MAX_LEAD.as_millis() as u64) << COUNTER_BITS);
        if stamp <= limit {
            self.last.fetch_max(stamp, Ordering::AcqRel);
        }
    }

    /// Advances the clock to the wall time, or by one if it is already ahead, and returns the new
    /// stamp.
    fn advance(&self, wall: Stamp) -> Stamp {
        let next = |last: u64| wall.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |it| Some(next(it)))
            .expect("the closure always returns `Some`");
        next(last)
    }
}

/// Returns the wall time of a stamp, in whole milliseconds.
pub fn time(stamp: Stamp) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(stamp >> COUNTER_BITS)
}

/// Returns the first stamp of the millisecond of a wall time.
fn from_system_time(time: SystemTime) -> Stamp {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_millis() as u64) << COUNTER_BITS
}
