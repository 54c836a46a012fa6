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
    queue::{Progress, Queue, Rank, Served},
};
use tokio::sync::oneshot;

use super::{gauge::Flight, view::Upstream};

/// What a request needs of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) service: id::Service,
    pub(crate) model: Option<id::Model>,
    /// Hosts that had the request before.
    pub(crate) tried: Vec<id::Host>,
}

/// An upstream that was taken for a request.
pub(crate) struct Taken {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) flight: Flight,
}

/// Requests that wait, by what can serve them.
#[derive(Default)]
pub(crate) struct Waiting {
    queues: Mutex<HashMap<Pool, Queue<Waiter>>>,
    number: AtomicU64,
}

/// Upstreams that requests of one kind share.
type Pool = (id::Service, Option<id::Model>);

struct Waiter {
    wish: Wish,
    sender: oneshot::Sender<Taken>,
}

/// Place of a waiting request; it is given up when this is dropped.
pub(crate) struct Place<'a> {
    waiting: &'a Waiting,
    pool: Pool,
    rank: Rank,
    pub(crate) taken: oneshot::Receiver<Taken>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut queues = self.waiting.lock();
        if let Some(queue) = queues.get_mut(&self.pool) {
            queue.remove(self.rank);
            if queue.is_empty() {
                queues.remove(&self.pool);
            }
        }
    }
}

/// Access
impl Waiting {
    /// Tells whether requests wait for the same upstreams as a wish.
    pub(crate) fn is_any(&self, wish: &Wish) -> bool {
        self.lock().contains_key(&pool(wish))
    }

    /// Tells whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Pool, Queue<Waiter>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Waiting {
    /// Lets a request wait.
    pub(crate) fn enter(&self, wish: Wish, progress: Progress, priority: u8) -> Place<'_> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let rank = Rank { progress, priority, number };
        let pool = pool(&wish);
        let (sender, taken) = oneshot::channel();
        let queue = &mut *self.lock();
        queue.entry(pool.clone()).or_default().push(rank, Waiter { wish, sender });
        Place { waiting: self, pool, rank, taken }
    }

    /// Serves waiting requests in their order with what `take` finds for them.
    pub(crate) fn serve(&self, mut take: impl FnMut(&Wish) -> Option<Taken>) {
        for queue in self.lock().values_mut() {
            let served = queue.serve(|it| match take(&it.wish) {
                Some(taken) => Served::Got(taken),
                None if it.wish.tried.is_empty() => Served::Full,
                None => Served::Skipped,
            });
            for (waiter, taken) in served {
                // A request that stopped waiting leaves the upstream as it was.
                let _ = waiter.sender.send(taken);
            }
        }
    }
}

fn pool(wish: &Wish) -> Pool {
    (wish.service.clone(), wish.model.clone())
}
