//! Pauses between the events of a replica, by which a stall is told from a usual pause.
//!
//! A replica that reads long prompts makes events seldom. If every pause over a fixed limit led to
//! a check of all members, loaded replicas would be probed all the time by all nodes that use them.

use std::{ops::RangeInclusive, time::Duration};

/// Shortest time without progress after which the members of a replica are checked.
pub const MIN_CHECK_AFTER: Duration = Duration::from_millis(220);

/// Longest time without progress after which the members of a replica are checked.
pub const MAX_CHECK_AFTER: Duration = Duration::from_millis(500);

/// Multiple of the longest recent pause after which the members are checked.
const PAUSE_FACTOR: f64 = 1.5;

/// Part of the passing time by which the longest recent pause is reduced, so that a replica whose
/// pauses become short is soon checked early again.
const DECAY: f64 = 0.25;

/// Shortest and longest time without progress after which a request that has got no event yet moves
/// to another replica.
const MOVE_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(450)..=Duration::from_millis(1500);

/// Multiple of the usual time to the first event after which such a request moves.
const MOVE_FACTOR: f64 = 2.0;

/// Further time without progress after which a replica is given up although its members answer.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(1050);

/// Divisor of the difference by which a new sample changes the mean time to the first event.
const MEAN_DIVISOR: u32 = 8;

/// Returns the mean time from sending a request to its first event, after another such time or the
/// time after which a request moved without an event.
pub fn mean_first_event(mean: Duration, sample: Duration) -> Duration {
    if mean.is_zero() {
        return sample;
    }
    (mean * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR
}

/// Returns the time without progress after which a request that has got no event yet moves to
/// another replica. Under load first events take long everywhere; moving a request then only has
/// its prompt read twice.
pub fn move_after(mean_first_event: Duration) -> Duration {
    mean_first_event.mul_f64(MOVE_FACTOR).clamp(*MOVE_AFTER.start(), *MOVE_AFTER.end())
}

/// Returns the time without progress after which a replica is given up although its members answer.
pub fn give_up_after(mean_first_event: Duration) -> Duration {
    move_after(mean_first_event) + GIVE_UP_MARGIN
}

/// Returns the longest recent pause after a pause has ended; `recent` is the one before.
pub fn longest_pause(recent: Duration, pause: Duration) -> Duration {
    recent.saturating_sub(pause.mul_f64(DECAY)).max(pause)
}

/// Returns the time without progress after which the members of a replica are checked.
pub fn check_after(recent: Duration) -> Duration {
    recent.mul_f64(PAUSE_FACTOR).clamp(MIN_CHECK_AFTER, MAX_CHECK_AFTER)
}
