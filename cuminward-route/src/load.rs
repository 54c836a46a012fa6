//! Live figures of one upstream, shared by all routing snapshots that contain it.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use cuminward_core::host;

use crate::prefix;

/// Figures of one upstream that requests read and change without a lock.
#[derive(Debug)]
pub struct Gauge {
    in_flight: AtomicU32,
    others: AtomicU32,
    limit: AtomicU32,
    prefixes: prefix::Index,
}

/// One request in flight; dropping it ends the request.
#[derive(Debug)]
pub struct Guard {
    gauge: Arc<Gauge>,
}

/// Life cycle
impl Gauge {
    /// Makes the figures of an idle upstream that may run `limit` requests at the same time and
    /// remembers the cached prefixes that fit `options`.
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
    /// Requests of this node that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests in flight: this node's own and what the upstream reported beyond them.
    pub fn load(&self) -> u32 {
        self.in_flight().saturating_add(self.others.load(Ordering::Relaxed))
    }

    /// Requests that the upstream may run at the same time now.
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Load after one more request, in thousandths of what the upstream may run now. A cold
    /// upstream has a low limit and thus a high utilization.
    pub fn utilization(&self) -> u64 {
        let load = u64::from(self.load()) + 1;
        load * 1000 / u64::from(self.limit().max(1))
    }

    /// Prefixes that the upstream's cache is taken to hold.
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

    /// Takes the upstream's report into account. Work that the report counts beyond this node's own
    /// is taken to be other nodes'.
    pub fn report(&self, load: &host::Load) {
        let total = load.running.saturating_add(load.queued);
        let others = total.saturating_sub(self.in_flight());
        self.others.store(others, Ordering::Relaxed);
    }

    /// Sets how many requests the upstream may run at the same time.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
