//! Spreading of requests over upstreams whose load is known late.
//!
//! Answers many nodes that hear of each other's requests every second or less often, while a request takes about as long:
//! an upstream that looks least loaded gets the requests of all nodes until they hear of each other again, and then none
//! for as long. Instead, each node sends so that all nodes together bring the upstreams to the same level by then.

use std::time::Duration;

/// What changes between two reports on the load of upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Part of the requests in flight that are still in flight at the next report, between 0 and 1.
    pub remaining: f64,
}

/// An upstream among which is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Upstream {
    /// Load as a share of the slots, with what the selection adds for distance and the like.
    pub share: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: f64,
}

/// Returns what changes within `period`, the time between two reports, if requests are in flight for `turnover` on
/// average.
pub fn foresee(period: Duration, turnover: Duration) -> Outlook {
    let ended = period.as_secs_f64() / turnover.as_secs_f64().max(f64::MIN_POSITIVE);
    Outlook { remaining: (-ended).exp() }
}

/// Returns the mean of times; `None` if there are none.
pub fn mean(times: impl Iterator<Item = Duration>) -> Option<Duration> {
    let (sum, count) = times.fold((Duration::ZERO, 0), |(sum, count), it| (sum + it, count + 1));
    sum.checked_div(count)
}

/// Access
impl Outlook {
    /// Returns how many of `load` requests are still in flight at the next report.
    pub fn remaining_load(self, load: u32) -> f64 {
        f64::from(load) * self.remaining
    }

    /// Returns how many requests begin until the next report, if `load` are in flight and the load is steady.
    pub fn arrivals(self, load: u32) -> f64 {
        f64::from(load) * (1.0 - self.remaining)
    }
}

/// Returns the index of the upstream that gets a request. `arrivals` requests begin until the next report, from all nodes;
/// the upstreams get them so that the lowest shares rise to a common one. `draw`, between 0 and 1, decides which of them
/// gets this one. Returns `None` if there are no upstreams.
pub fn choose(upstreams: &[Upstream], arrivals: f64, draw: f64) -> Option<usize> {
    let parts = additions(upstreams, arrivals);
    let mut left = draw * parts.iter().sum::<f64>();
    let last = parts.iter().rposition(|it| *it > 0.0)?;
    let chosen = parts.iter().position(|it| {
        left -= it;
        left < 0.0
    });
    Some(chosen.unwrap_or(last))
}

/// Returns the requests that each upstream gets of `arrivals`, at least one of which begins.
pub fn additions(upstreams: &[Upstream], arrivals: f64) -> Vec<f64> {
    let common = common_share(upstreams, arrivals.max(1.0));
    upstreams.iter().map(|it| (common - it.share).max(0.0) * it.slots).collect()
}

/// Returns the share to which `arrivals` requests raise the least loaded upstreams (water-filling).
fn common_share(upstreams: &[Upstream], arrivals: f64) -> f64 {
    let mut sorted = upstreams.to_vec();
    sorted.sort_by(|a, b| a.share.total_cmp(&b.share));
    let (mut slots, mut held, mut common) = (0.0, 0.0, f64::INFINITY);
    for it in sorted {
        if it.share >= common {
            break;
        }
        slots += it.slots;
        held += it.share * it.slots;
        common = (arrivals + held) / slots;
    }
    common
}

/// Returns whether a node sends a request to upstreams with `load` of `slots` requests in flight, `own` of them its own. If
/// all slots look used, only nodes with less than their part of them do, as the others' requests would end in a queue of
/// the upstream.
pub fn has_room(load: u32, slots: f64, own: u32, nodes: usize) -> bool {
    f64::from(load) < slots || f64::from(own) < (slots / nodes.max(1) as f64).max(1.0)
}
