//! Hybrid logical clock: orders events over nodes, close to wall time.
//!
//! The algorithm is the one of Kulkarni et al., "Logical Physical Clocks" (2014), with wall time in
//! milliseconds in the upper 48 bits and a counter in the lower 16.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A point in hybrid time: milliseconds since the Unix epoch, shifted left by 16 bits, plus a
/// counter.
pub type Stamp = u64;

/// Bits of a stamp that hold the counter.
const COUNTER_BITS: u32 = 16;

/// Largest lead over the local clock that a received stamp may have.
const MAX_LEAD: Duration = Duration::from_secs(60);

/// A clock that never falls behind what it has seen.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

/// Access
impl Clock {
    /// Returns a stamp larger than all that the clock has given or seen.
    pub fn now(&self) -> Stamp {
        self.advance(wall(SystemTime::now()))
    }

    /// Takes a stamp from another node into account; stamps far in the future are ignored.
    pub fn observe(&self, stamp: Stamp) {
        let local = wall(SystemTime::now());
        let limit = local.saturating_add((MAX_LEAD.as_millis() as u64) << COUNTER_BITS);
        if stamp <= limit {
            self.last.fetch_max(stamp, Ordering::AcqRel);
        }
    }

    fn advance(&self, floor: Stamp) -> Stamp {
        let next = |last: u64| floor.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |it| Some(next(it)))
            .expect("the update always gives a value");
        next(last)
    }
}

/// Wall time of a stamp.
pub fn time(stamp: Stamp) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(stamp >> COUNTER_BITS)
}

fn wall(time: SystemTime) -> Stamp {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_millis() as u64) << COUNTER_BITS
}
