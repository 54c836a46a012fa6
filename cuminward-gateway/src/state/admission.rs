//! Admission queues: requests that wait for an upstream.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_serving::{
    id,
    queue::{Outcome, Progress, Queue, Rank},
    returns,
};
use tokio::sync::oneshot;

use super::{routing::Upstream, stats::InFlight};

/// Conditions that an upstream for a request must meet.
#[derive(Debug, Clone)]
pub(crate) struct Criteria {
    pub(crate) target: Target,
    pub(crate) hosts: Hosts,
    /// Longest time for which a connection that the request uses may have been idle.
    pub(crate) max_idle: Duration,
}

/// Hosts to which a request may be sent, as its earlier attempts allow.
#[derive(Debug, Clone)]
pub(crate) enum Hosts {
    /// All but these, which had the request before.
    Except(Vec<id::Host>),
    /// Only these, which had the request before and may go on with it.
    Only(Vec<id::Host>),
}

/// Service and model that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub(crate) service: id::Service,
    pub(crate) model: Option<id::Model>,
}

/// An upstream that was assigned to a request, and the guard that counts the request as in flight there.
pub(crate) struct Grant {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) in_flight: InFlight,
}

/// Waiting requests, in one queue for each target.
#[derive(Default)]
pub(crate) struct Queues {
    queues: Mutex<HashMap<Target, Queue<Waiter>>>,
    next_number: AtomicU64,
    /// When rejected callers return.
    returns: Mutex<HashMap<Target, returns::Calendar>>,
}

struct Waiter {
    criteria: Criteria,
    sender: oneshot::Sender<Grant>,
}

/// Ticket of a waiting request. Dropping it removes the request from its queue.
pub(crate) struct Ticket<'a> {
    queues: &'a Queues,
    target: Target,
    rank: Rank,
    /// Receives the upstream that is assigned to the request.
    pub(crate) grant: oneshot::Receiver<Grant>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(&self.target) {
            queue.remove(self.rank);
            if queue.is_empty() {
                queues.remove(&self.target);
            }
        }
    }
}

/// Access
impl Hosts {
    /// Returns whether the request may be sent to a host.
    pub(crate) fn allow(&self, host: &id::Host) -> bool {
        match self {
            Hosts::Except(it) => !it.contains(host),
            Hosts::Only(it) => it.contains(host),
        }
    }

    /// Returns whether the request returns to hosts that had it before.
    pub(crate) fn is_return(&self) -> bool {
        matches!(self, Hosts::Only(_))
    }

    /// Returns whether the request may be sent to all hosts, as it was sent to none before.
    pub(crate) fn are_all(&self) -> bool {
        matches!(self, Hosts::Except(it) if it.is_empty())
    }
}

/// Access
impl Queues {
    /// Returns whether requests wait for a target.
    pub(crate) fn has_waiting(&self, target: &Target) -> bool {
        self.lock().contains_key(target)
    }

    /// Returns the number of requests that wait for a target.
    pub(crate) fn waiting(&self, target: &Target) -> usize {
        self.lock().get(target).map_or(0, Queue::len)
    }

    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Target, Queue<Waiter>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Queues {
    /// Adds a request to the queue of its target. Requests whose response has started come first, then those
    /// of the lowest `priority` number, then the oldest.
    pub(crate) fn enqueue(
        &self,
        criteria: Criteria,
        progress: Progress,
        priority: u8,
    ) -> Ticket<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let rank = Rank { progress, priority, number };
        let target = criteria.target.clone();
        let (sender, grant) = oneshot::channel();
        let mut queues = self.lock();
        queues.entry(target.clone()).or_default().push(rank, Waiter { criteria, sender });
        drop(queues);
        Ticket { queues: self, target, rank, grant }
    }

    /// Returns the time after which a caller that is rejected at `now` and has `left` should return, so that `rate` callers
    /// return per second.
    pub(crate) fn plan_return(
        &self,
        target: &Target,
        now: Duration,
        left: Duration,
        rate: f64,
    ) -> Duration {
        let mut returns = self.returns.lock().unwrap_or_else(PoisonError::into_inner);
        returns.entry(target.clone()).or_default().assign(now, left, rate)
    }

    /// Assigns upstreams to waiting requests in the order of each queue. `assign` returns an upstream
    /// for a request, or `None` if no suitable one has capacity.
    pub(crate) fn dispatch(&self, mut assign: impl FnMut(&Criteria) -> Option<Grant>) {
        for queue in self.lock().values_mut() {
            let served = queue.serve(|it| match assign(&it.criteria) {
                Some(grant) => Outcome::Served(grant),
                None if it.criteria.hosts.are_all() => Outcome::Full,
                None => Outcome::Skipped,
            });
            for (waiter, grant) in served {
                // If the request no longer waits, dropping the grant releases the upstream.
                let _ = waiter.sender.send(grant);
            }
        }
    }
}
