//! Current load of one upstream, shared by all routing snapshots that contain the upstream.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use cuminward_core::host;

use crate::prefix;

/// Load, concurrency limit and cached prefixes of one upstream. Requests read and update them without
/// a lock.
#[derive(Debug)]
pub struct Gauge {
    /// Requests of this node in flight.
    in_flight: AtomicU32,
    /// Requests of other nodes, as of the upstream's last report.
    others: AtomicU32,
    limit: AtomicU32,
    prefixes: prefix::Index,
}

/// Guard of one request in flight; dropping it removes the request from the count.
#[derive(Debug)]
pub struct Guard {
    gauge: Arc<Gauge>,
}

/// Life cycle
impl Gauge {
    /// Creates the gauge of an idle upstream that may run `limit` requests at the same time. `options`
    /// sets the size of the prefix index.
    pub fn new(limit: u32, options: prefix::Options) -> Gauge {
        Gauge {
            in_flight: AtomicU32::new(0),
            others: AtomicU32::new(0),
            limit: AtomicU32::new(limit),
            prefixes: prefix::Index::new(options),
        }
    }
}

/// Access
impl Gauge {
    /// Returns the number of requests of this node that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in flight: this node's and those of other nodes according to
    /// the upstream's last report.
    pub fn load(&self) -> u32 {
        self.in_flight().saturating_add(self.others.load(Ordering::Relaxed))
    }

    /// Returns the number of requests that the upstream may run at the same time now.
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Returns the load after one more request, in thousandths of the current limit. A cold upstream
    /// has a low limit and thus a high utilization.
    pub fn utilization(&self) -> u64 {
        let load = u64::from(self.load()) + 1;
        load * 1000 / u64::from(self.limit().max(1))
    }

    /// Returns the index of the prefixes that the upstream's cache presumably holds.
    pub fn prefixes(&self) -> &prefix::Index {
        &self.prefixes
    }
}

/// Mutation
impl Gauge {
    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Guard { gauge: Arc::clone(self) }
    }

    /// Applies the upstream's load report. Requests in the report beyond this node's own are attributed
    /// to other nodes.
    pub fn report(&self, load: &host::Load) {
        let total = load.running.saturating_add(load.queued);
        let others = total.saturating_sub(self.in_flight());
        self.others.store(others, Ordering::Relaxed);
    }

    /// Sets the number of requests that the upstream may run at the same time.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
