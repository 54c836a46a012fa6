//! What a request holds while it runs.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use cuminward_route::{admission, load};

use crate::{request::usage, state};

/// A slot of an upstream; dropping it lets a waiting request have it.
pub struct Lease {
    state: Arc<state::State>,
    slot: Option<admission::Slot>,
    _load: Option<load::Guard>,
    _running: usage::Running,
}

/// A request that its team's limit counts.
#[derive(Debug)]
pub struct Place {
    in_flight: Arc<AtomicU32>,
}

/// Life cycle
impl Lease {
    /// Holds a slot and counts as load.
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
    /// Notes that a connection to the upstream was lost: it may have started anew.
    pub fn disconnected(&self) {
        if let Some(slot) = &self.slot {
            slot.holder().on_disconnect();
        }
    }
}

/// Life cycle
impl Place {
    /// Counts a request, unless its team has `limit` in flight.
    pub fn take(in_flight: &Arc<AtomicU32>, limit: u32) -> Option<Place> {
        let add = |it: u32| (it < limit).then_some(it + 1);
        in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Place { in_flight: Arc::clone(in_flight) })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        drop(self.slot.take());
        self.state.slot_freed.notify_one();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
