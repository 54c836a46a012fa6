//! Retry budget: limits the retries of all nodes together to a part of the requests, and a reserve.
//!
//! Each node keeps to the limit on its own: within every window of time, its retries are at most the
//! given part of the requests that it got in that window, plus its share of the reserve. The sum
//! over all nodes then keeps to the limit too. What a node has not used for a while may be used at
//! once, as when a failure domain is lost and many streams have to continue elsewhere.
//!
//! A process doesn't know which retries its predecessor made. Until a window has passed since its start, it uses
//! nothing of the node's share of the reserve, and borrows from nodes that know what they used.

use std::{collections::VecDeque, time::Duration};

/// Number of parts of a window that are counted separately.
const PARTS: u32 = 10;

/// Number of parts in which retries count: one more than a window has, as the oldest part may have begun before the
/// window and ended in it. Requests count only in the parts that lie in the window.
const RETRY_PARTS: u32 = PARTS + 1;

/// Number of parts of a window within which a loan has to be used.
const LOAN_PARTS: u32 = 2;

/// Limit on the retries for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries per request.
    pub ratio: f64,
    /// This node's share of the retries that are allowed in each window in addition; 0 as long as
    /// it isn't known.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Access
impl Limit {
    /// Returns the time within which a retry that another node has lent has to be sent.
    pub fn loan_time(&self) -> Duration {
        self.window / PARTS * LOAN_PARTS
    }
}

/// Requests and retries of the last window. The default is the budget of a process that follows another one.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    parts: VecDeque<Part>,
    /// Times until which retries count that were lent to other nodes.
    loans: Vec<Duration>,
    /// Whether no earlier process of the node has made retries.
    is_first: bool,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    /// Time since the node's start, in parts of the window.
    number: u32,
    requests: u32,
    retries: u32,
}

/// Life cycle
impl Budget {
    /// Creates the budget of the first process of a node.
    pub fn first() -> Budget {
        Budget { is_first: true, ..Budget::default() }
    }
}

/// Access
impl Budget {
    /// Returns whether a retry is allowed now.
    pub fn has_retry(&self, now: Duration, limit: &Limit) -> bool {
        let current = part_number(now, limit.window);
        let within = |parts: u32| self.parts.iter().filter(move |it| it.number + parts > current);
        let requests: u32 = within(PARTS).map(|it| it.requests).sum();
        let retries: u32 = within(RETRY_PARTS).map(|it| it.retries).sum();
        let lent = self.loans.iter().filter(|until| **until > now).count();
        let knows_use = self.is_first || now >= limit.window;
        let reserve = if knows_use { limit.reserve } else { 0.0 };
        f64::from(retries + 1) + lent as f64 <= f64::from(requests) * limit.ratio + reserve
    }
}

/// Mutation
impl Budget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Duration, limit: &Limit) {
        self.part(now, limit).requests += 1;
    }

    /// Counts a retry if one is allowed now. Returns whether it is.
    pub fn try_retry(&mut self, now: Duration, limit: &Limit) -> bool {
        let is_allowed = self.has_retry(now, limit);
        if is_allowed {
            self.part(now, limit).retries += 1;
        }
        is_allowed
    }

    /// Counts a retry that another node makes within [`Limit::loan_time`] if one is allowed now. Returns whether it is.
    pub fn lend(&mut self, now: Duration, limit: &Limit) -> bool {
        self.loans.retain(|until| *until > now);
        let is_allowed = self.has_retry(now, limit);
        if is_allowed {
            self.loans.push(now + limit.loan_time() + limit.window);
        }
        is_allowed
    }

    /// Records that a retry that was allowed at `allowed_at` is sent only now: it counts from now on.
    pub fn record_sending(&mut self, allowed_at: Duration, now: Duration, limit: &Limit) {
        let number = part_number(allowed_at, limit.window);
        if number == part_number(now, limit.window) {
            return;
        }
        if let Some(part) = self.parts.iter_mut().find(|it| it.number == number) {
            part.retries = part.retries.saturating_sub(1);
        }
        self.part(now, limit).retries += 1;
    }

    /// Returns the current part of the window, and removes those that no longer count.
    fn part(&mut self, now: Duration, limit: &Limit) -> &mut Part {
        let number = part_number(now, limit.window);
        self.parts.retain(|it| it.number + RETRY_PARTS > number);
        if self.parts.back().is_none_or(|it| it.number < number) {
            self.parts.push_back(Part { number, requests: 0, retries: 0 });
        }
        self.parts.back_mut().expect("a part was added if there was none")
    }
}

fn part_number(now: Duration, window: Duration) -> u32 {
    let part = (window / PARTS).max(Duration::from_millis(1));
    (now.as_millis() / part.as_millis()) as u32
}
