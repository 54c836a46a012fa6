//! Limit on the requests that all nodes together send to one host.
//!
//! The limit holds without any message between the nodes, so it also holds while they can't reach
//! each other: only some nodes, the owners, may send requests to the host, and each of them uses
//! a fixed part of the rate. The owners follow from the list of all nodes, which never gets shorter
//! when nodes fail or are cut off.

use std::time::Duration;

use crate::nodes::Standing;

/// Limit on the requests that all nodes together send to one host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that the host sustains.
    pub rate: f64,
    /// Largest number of requests that may arrive within a window.
    pub peak: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Part of the difference between peak and rate that the owners may use for simultaneous requests.
/// The rest covers nodes that learn of further nodes at different times, and requests that arrive
/// closer together than they were sent.
const BURST_PART: f64 = 0.6;

/// Access
impl Limit {
    /// Returns the number of nodes that may send requests to the host. Each of them sends at most
    /// `1 + rate * window / owners` requests within a window, so all together send at most
    /// `owners + rate * window`.
    pub fn owners(&self) -> usize {
        let sustained = self.rate * self.window.as_secs_f64();
        ((self.peak - sustained) * BURST_PART).floor().max(1.0) as usize
    }

    /// Returns the requests per second that a node may send to the host; 0 if the node isn't one of
    /// its owners, or doesn't know yet which nodes there are.
    pub fn share(&self, standing: Option<Standing>) -> f64 {
        let owners = self.owners();
        match standing {
            Some(it) if it.rank < owners => self.rate / owners.min(it.nodes) as f64,
            _ => 0.0,
        }
    }
}
