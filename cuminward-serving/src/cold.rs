//! Limit on the requests that all nodes together send to a cold host.
//!
//! The limit holds without any message between the nodes, so it also holds while they can't reach
//! each other: only some nodes, the owners, may send requests to a cold host, and each of them uses
//! a fixed part of the rate. The owners follow from the list of all nodes, which never gets shorter
//! when nodes fail or are cut off.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::nodes;

/// Limit on the requests that all nodes together send to one cold host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the host sustains.
    pub rate: f64,
    /// Largest number of requests that may arrive within one second.
    pub peak: f64,
}

/// Part of the difference between peak and rate that the owners may use for simultaneous requests.
/// The rest covers nodes that learn of further nodes at different times, and requests that arrive
/// closer together than they were sent.
const BURST_PART: f64 = 0.6;

/// Access
impl Limit {
    /// Returns the number of nodes that may send requests to the host. Each of them sends at most
    /// `1 + rate / owners` requests within a second, so all together send at most `owners + rate`.
    pub fn owners(&self) -> usize {
        ((self.peak - self.rate) * BURST_PART).floor().max(1.0) as usize
    }

    /// Returns the requests per second that a node may send to a host; 0 if the node isn't one of
    /// its owners, or doesn't know yet which nodes there are.
    pub fn share(&self, nodes: &nodes::List, host: &str) -> f64 {
        let owners = self.owners();
        if !nodes.is_complete() || nodes.rank(xxh3::xxh3_64(host.as_bytes())) >= owners {
            return 0.0;
        }
        self.rate / owners.min(nodes.len()) as f64
    }
}

/// Token bucket for the requests that one node sends to one cold host. It is empty when the node
/// starts, as an earlier process of the node may have used its tokens a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bucket {
    /// Tokens at the time of the last refill.
    tokens: f64,
    refilled_at: Duration,
}

/// Capacity of the bucket: requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

/// Access
impl Bucket {
    /// Returns whether a request may be sent now; `rate` is in requests per second.
    pub fn has_token(&self, now: Duration, rate: f64) -> bool {
        self.available_tokens(now, rate) >= BURST
    }

    fn available_tokens(&self, now: Duration, rate: f64) -> f64 {
        if rate <= 0.0 {
            return 0.0;
        }
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * rate;
        (self.tokens + refill).min(BURST)
    }
}

/// Mutation
impl Bucket {
    /// Takes a token for a request; `rate` is in requests per second. Returns false if there is no
    /// token.
    pub fn try_take(&mut self, now: Duration, rate: f64) -> bool {
        let tokens = self.available_tokens(now, rate);
        self.refilled_at = now;
        self.tokens = tokens;
        if tokens < BURST {
            return false;
        }
        self.tokens -= BURST;
        true
    }
}
