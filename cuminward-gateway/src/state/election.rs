//! Result of the election of stewards.
//!
//! The steward of a service is the node that plans and orders the replicas of the service. The store
//! assigns the partitions of a topic among the candidate nodes, each for the time of a lease, and each
//! service belongs to one partition.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::id;
use tokio::sync::Notify;

/// This node's role in the election of stewards.
#[derive(Debug, Default)]
pub(crate) struct Election {
    assignment: Mutex<Option<Assignment>>,
    /// Whether this node is the steward of any service.
    is_steward: AtomicBool,
    /// Whether the node, as a steward, has orders or formations of groups in progress.
    has_pending_changes: AtomicBool,
    /// Wakes the reader of the host list when this node becomes the steward of a service.
    pub(crate) won: Notify,
    /// Whether the node is no candidate and leaves reading the store to the candidates of its failure
    /// domain.
    is_observer: AtomicBool,
    /// Whether the node is a candidate, and other nodes of its failure domain leave reading the store to it.
    has_observers: AtomicBool,
    /// Number of levels of nodes below those of the failure domain that read the store.
    depth: AtomicUsize,
}

/// Partitions that the store assigned to this node.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    /// Fencing token, which grows with each assignment.
    pub(crate) token: id::Token,
    pub(crate) partitions: Vec<u32>,
    /// When the lease ends, since the node's start.
    pub(crate) until: Duration,
}

/// Access
impl Election {
    /// Returns whether the node is the steward of any service.
    pub(crate) fn is_steward(&self) -> bool {
        self.is_steward.load(Ordering::Relaxed)
    }

    /// Returns whether the node, as a steward, has orders or formations of groups in progress.
    pub(crate) fn has_pending_changes(&self) -> bool {
        self.has_pending_changes.load(Ordering::Relaxed)
    }

    /// Returns whether the node leaves the role of steward and reading the store to the candidates of its
    /// failure domain.
    pub(crate) fn is_observer(&self) -> bool {
        self.is_observer.load(Ordering::Relaxed)
    }

    /// Returns whether other nodes of the failure domain leave reading the store to this one.
    pub(crate) fn has_observers(&self) -> bool {
        self.has_observers.load(Ordering::Relaxed)
    }

    /// Returns the number of levels of nodes below those of the failure domain that read the store.
    pub(crate) fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed)
    }

    /// Returns the fencing token for the service with an index; `None` if this node isn't its steward.
    pub(crate) fn token(
        &self,
        now: Duration,
        index: usize,
        partition_count: u32,
    ) -> Option<id::Token> {
        let partition = index as u32 % partition_count.max(1);
        let assignment = self.assignment()?;
        (assignment.until > now && assignment.partitions.contains(&partition))
            .then_some(assignment.token)
    }

    fn assignment(&self) -> Option<Assignment> {
        self.assignment.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Mutation
impl Election {
    /// Records whether the node is the steward of any service, and whether it has orders or formations
    /// of groups in progress.
    pub(crate) fn set_activity(&self, is_steward: bool, has_pending_changes: bool) {
        self.is_steward.store(is_steward, Ordering::Relaxed);
        self.has_pending_changes.store(has_pending_changes, Ordering::Relaxed);
    }

    /// Sets whether the node leaves the role of steward and reading the store to the candidates of its
    /// failure domain, and whether others leave it to this one.
    pub(crate) fn set_observers(&self, is_observer: bool, has_observers: bool) {
        self.is_observer.store(is_observer, Ordering::Relaxed);
        self.has_observers.store(has_observers, Ordering::Relaxed);
    }

    /// Sets the number of levels of nodes below those of the failure domain that read the store.
    pub(crate) fn set_depth(&self, depth: usize) {
        self.depth.store(depth, Ordering::Relaxed);
    }

    /// Gives up all partitions until the store assigns them again, unless their token is newer than
    /// `token`. Used when a host has seen a newer token, and when the node resigns.
    pub(crate) fn release(&self, token: id::Token) {
        let mut assignment = self.assignment.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(assignment) = assignment.as_mut().filter(|it| it.token <= token) {
            assignment.partitions.clear();
        }
    }

    /// Replaces the assignment by the next one from the store.
    pub(crate) fn set_assignment(&self, events: &Sink, next: Assignment) {
        let mut assignment = self.assignment.lock().unwrap_or_else(PoisonError::into_inner);
        let held = |it: Option<&Assignment>| it.map(|it| it.partitions.clone()).unwrap_or_default();
        if held(assignment.as_ref()) != next.partitions {
            let parts = format!("{:?}", next.partitions);
            events.emit(Kind::PartitionsAssigned { parts, token: next.token });
        }
        *assignment = Some(next);
    }
}
