//! Which steward's duties this node holds, as the store divides them.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cuminward_adapter::{store, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::id;
use tokio::time;

use crate::state::State;

/// Group in which nodes divide the duties.
const GROUP: &str = "stewards";

/// Lease of a duty.
const LEASE: Duration = Duration::from_millis(1200);

/// Calls a lease.
const CALLS_PER_LEASE: u32 = 3;

/// Duties that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    share: Mutex<Option<Share>>,
    /// Whether a duty is one of a service's steward.
    is_steward: AtomicBool,
    is_busy: AtomicBool,
}

/// What the store said last.
#[derive(Debug, Clone)]
struct Share {
    token: id::Token,
    parts: Vec<u32>,
    /// Until when the duties are this node's.
    until: Duration,
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

    /// Gives up all duties until the store divides them anew: a host has seen a newer token.
    pub(crate) fn forfeit(&self, token: id::Token) {
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(share) = share.as_mut().filter(|it| it.token <= token) {
            share.parts.clear();
        }
    }

    fn set(&self, events: &Sink, next: Share) {
        let mut share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        let held = |it: Option<&Share>| it.map(|it| it.parts.clone()).unwrap_or_default();
        if held(share.as_ref()) != next.parts {
            let parts = format!("{:?}", next.parts);
            events.emit(Kind::DutiesDivided { parts, token: next.token });
        }
        *share = Some(next);
    }
}

/// Takes part in the division of the duties until the task is dropped.
pub(crate) async fn run(state: &State, duty: &Duty, member: &store::Member) {
    let interval = member.lease / CALLS_PER_LEASE;
    let mut generation = 0;
    if let Err(error) = state.store.create(topic::DUTIES).await {
        log::warn!("the topic of the duties can't be created: {error}");
    }
    loop {
        let asked = state.now();
        match state.store.join(member, generation).await {
            Ok(share) => {
                generation = share.generation;
                let until = asked + member.lease;
                duty.set(&state.events, Share { token: generation, parts: share.parts, until });
            }
            Err(error) => log::debug!("the duties can't be renewed: {error}"),
        }
        time::sleep(interval).await;
    }
}

/// This node as a member of the group that divides the duties. The name differs between two starts, so
/// that a new start doesn't inherit the duties of the former one.
pub(crate) fn member(state: &State) -> store::Member {
    let start = rand::random::<u32>();
    store::Member {
        group: GROUP.to_owned(),
        name: format!("{}-{start:08x}", state.settings.node.name),
        topic: topic::DUTIES.to_owned(),
        lease: LEASE.max(state.settings.store.min_lease),
    }
}
