//! Pauses between the events of a replica, by which a stall is told from a usual pause.
//!
//! A replica that reads long prompts makes events seldom. If every pause over a fixed limit led to
//! a check of all members, loaded replicas would be probed all the time by all nodes that use them.

use std::time::Duration;

/// Shortest time without progress after which the members of a replica are checked.
pub const MIN_CHECK_AFTER: Duration = Duration::from_millis(220);

/// Longest time without progress after which the members of a replica are checked.
pub const MAX_CHECK_AFTER: Duration = Duration::from_millis(500);

/// Multiple of the longest recent pause after which the members are checked.
const PAUSE_FACTOR: f64 = 1.5;

/// Part of the passing time by which the longest recent pause is reduced, so that a replica whose
/// pauses become short is soon checked early again.
const DECAY: f64 = 0.25;

/// Returns the longest recent pause after a pause has ended; `recent` is the one before.
pub fn longest_pause(recent: Duration, pause: Duration) -> Duration {
    recent.saturating_sub(pause.mul_f64(DECAY)).max(pause)
}

/// Returns the time without progress after which the members of a replica are checked.
pub fn check_after(recent: Duration) -> Duration {
    recent.mul_f64(PAUSE_FACTOR).clamp(MIN_CHECK_AFTER, MAX_CHECK_AFTER)
}
