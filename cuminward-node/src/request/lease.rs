//! Guards that a request holds while it is in flight.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use cuminward_route::{admission, load};

use crate::{request::usage, state};

/// A slot of an upstream. Dropping it frees the slot and wakes the dispatcher of waiting requests.
pub struct Lease {
    state: Arc<state::State>,
    slot: Option<admission::Slot>,
    _load: Option<load::Guard>,
    _running: usage::Running,
}

/// A request that counts towards its team's limit of requests in flight, until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    in_flight: Arc<AtomicU32>,
}

/// Life cycle
impl Lease {
    /// Creates a lease of a slot, with the guards that count the request as load and as running.
    pub fn new(
        state: &Arc<state::State>,
        slot: admission::Slot,
        load: Option<load::Guard>,
        running: usage::Running,
    ) -> Lease {
        Lease { state: Arc::clone(state), slot: Some(slot), _load: load, _running: running }
    }
}

/// Mutation
impl Lease {
    /// Records that a connection to the upstream was lost, since the upstream may have restarted.
    pub fn record_disconnect(&self) {
        if let Some(slot) = &self.slot {
            slot.holder().on_disconnect();
        }
    }
}

/// Life cycle
impl InFlight {
    /// Counts a request; returns `None` if its team already has `limit` requests in flight.
    pub fn try_new(in_flight: &Arc<AtomicU32>, limit: u32) -> Option<InFlight> {
        let increment = |it: u32| (it < limit).then_some(it + 1);
        in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(InFlight { in_flight: Arc::clone(in_flight) })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        drop(self.slot.take());
        self.state.slot_freed.notify_one();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
