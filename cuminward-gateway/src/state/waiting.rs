//! Requests that wait for an upstream.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use cuminward_serving::{
    id,
    queue::{Outcome, Progress, Queue, Rank},
};
use tokio::sync::oneshot;

use super::{gauge::Flight, view::Upstream};

/// What a request needs of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) target: Target,
    /// Hosts that had the request before.
    pub(crate) tried: Vec<id::Host>,
}

/// What can serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub(crate) service: id::Service,
    pub(crate) model: Option<id::Model>,
}

/// An upstream that was taken for a request.
pub(crate) struct Taken {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) flight: Flight,
}

/// Requests that wait, by what can serve them.
#[derive(Default)]
pub(crate) struct Waiting {
    queues: Mutex<HashMap<Target, Queue<Waiter>>>,
    number: AtomicU64,
}

struct Waiter {
    wish: Wish,
    sender: oneshot::Sender<Taken>,
}

/// Place of a waiting request; it is given up when this is dropped.
pub(crate) struct Place<'a> {
    waiting: &'a Waiting,
    target: Target,
    rank: Rank,
    pub(crate) taken: oneshot::Receiver<Taken>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut queues = self.waiting.lock();
        if let Some(queue) = queues.get_mut(&self.target) {
            queue.remove(self.rank);
            if queue.is_empty() {
                queues.remove(&self.target);
            }
        }
    }
}

/// Access
impl Waiting {
    /// Tells whether requests wait for a target.
    pub(crate) fn is_any(&self, target: &Target) -> bool {
        self.lock().contains_key(target)
    }

    /// Tells whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Target, Queue<Waiter>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Waiting {
    /// Lets a request wait.
    pub(crate) fn enter(&self, wish: Wish, progress: Progress, priority: u8) -> Place<'_> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let rank = Rank { progress, priority, number };
        let target = wish.target.clone();
        let (sender, taken) = oneshot::channel();
        let mut queues = self.lock();
        queues.entry(target.clone()).or_default().push(rank, Waiter { wish, sender });
        drop(queues);
        Place { waiting: self, target, rank, taken }
    }

    /// Serves waiting requests in their order with what `take` finds for them.
    pub(crate) fn serve(&self, mut take: impl FnMut(&Wish) -> Option<Taken>) {
        for queue in self.lock().values_mut() {
            let served = queue.serve(|it| match take(&it.wish) {
                Some(taken) => Outcome::Served(taken),
                None if it.wish.tried.is_empty() => Outcome::Full,
                None => Outcome::Skipped,
            });
            for (waiter, taken) in served {
                // A request that stopped waiting leaves the upstream as it was.
                let _ = waiter.sender.send(taken);
            }
        }
    }
}
