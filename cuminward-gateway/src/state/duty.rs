//! Which steward's duties this node holds.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::id;
use tokio::sync::Notify;

/// Time after a fetch from a node that reads the store within which this one needn't.
const FETCH_HOLDS: Duration = Duration::from_millis(1000);

/// Duties that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    share: Mutex<Option<Share>>,
    /// Whether a duty is one of a service's steward.
    is_steward: AtomicBool,
    is_busy: AtomicBool,
    /// Wakes the reader of the list of hosts when a duty begins.
    pub(crate) began: Notify,
    /// Whether the node leaves the duties, and reading the store, to others of its failure domain.
    is_bystander: AtomicBool,
    /// When it last fetched from one of those, in milliseconds since the node's start; 0 if never.
    fetched_ms: AtomicU64,
}

/// What the store said last.
#[derive(Debug, Clone)]
pub(crate) struct Share {
    pub(crate) token: id::Token,
    pub(crate) parts: Vec<u32>,
    /// Until when the duties are this node's.
    pub(crate) until: Duration,
}

/// Access
impl Duty {
    /// Tells whether the node is the steward of a service.
    pub(crate) fn is_steward(&self) -> bool {
        self.is_steward.load(Ordering::Relaxed)
    }

    /// Tells whether orders are under way.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }

    /// Tells whether the node leaves the duties to others of its failure domain.
    pub(crate) fn is_bystander(&self) -> bool {
        self.is_bystander.load(Ordering::Relaxed)
    }

    /// Tells whether others read the store for this node.
    pub(crate) fn has_readers(&self, now: Duration) -> bool {
        let fetched = Duration::from_millis(self.fetched_ms.load(Ordering::Relaxed));
        self.is_bystander() && fetched > Duration::ZERO && now.saturating_sub(fetched) < FETCH_HOLDS
    }

    /// Fencing token for the service with an index, if its duty is this node's.
    pub(crate) fn token(&self, now: Duration, index: usize, partitions: u32) -> Option<id::Token> {
        let part = index as u32 % partitions.max(1);
        let share = self.share()?;
        (share.until > now && share.parts.contains(&part)).then_some(share.token)
    }

    fn share(&self) -> Option<Share> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Mutation
impl Duty {
    /// Notes whether the node is the steward of a service, and whether orders are under way.
    pub(crate) fn set_work(&self, is_steward: bool, is_busy: bool) {
        self.is_steward.store(is_steward, Ordering::Relaxed);
        self.is_busy.store(is_busy, Ordering::Relaxed);
    }

    /// Notes whether the node leaves the duties to others of its failure domain.
    pub(crate) fn set_bystander(&self, is_bystander: bool) {
        self.is_bystander.store(is_bystander, Ordering::Relaxed);
    }

    /// Notes that what others read was fetched.
    pub(crate) fn note_fetched(&self, now: Duration) {
        self.fetched_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Gives up all duties until the store divides them anew: a host has seen a newer token.
    pub(crate) fn forfeit(&self, token: id::Token) {
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(share) = share.as_mut().filter(|it| it.token <= token) {
            share.parts.clear();
        }
    }

    /// Takes in what the store said.
    pub(crate) fn set(&self, events: &Sink, next: Share) {
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        let held = |it: Option<&Share>| it.map(|it| it.parts.clone()).unwrap_or_default();
        if held(share.as_ref()) != next.parts {
            let parts = format!("{:?}", next.parts);
            events.emit(Kind::DutiesDivided { parts, token: next.token });
        }
        *share = Some(next);
    }
}
