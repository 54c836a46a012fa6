//! Attempts of a request so far, and the hosts to which the next one may be sent.
//!
//! A host that is left while it is silent may be sound and go on. So the request may return to it if a later attempt
//! fails: at once if no other host may get the request, otherwise if none has capacity. It runs at no further host then.

use std::sync::Arc;

use cuminward_serving::{
    attempt::{self, Bounds, Counts, Failure, Next},
    id,
    queue::Progress,
};

use super::{
    context::Context,
    slot::{self, Slot, Unavailable},
};
use crate::state::{State, admission::Hosts, routing::Upstream};

/// Attempts of a request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Failed attempts.
    counts: Counts,
    /// The host of each attempt.
    tried: Vec<id::Host>,
    /// Hosts that were left while they were silent, and to which the request hasn't returned.
    left: Vec<id::Host>,
    /// Whether the next attempt may only be sent to a host that was left.
    is_returning: bool,
}

/// Access
impl Attempts {
    /// Returns the number of attempts, including the current one.
    pub(super) fn number(&self) -> u32 {
        self.tried.len() as u32
    }

    /// Returns the numbers of failed attempts.
    pub(super) fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the hosts that haven't had the request.
    pub(super) fn untried(&self) -> Hosts {
        Hosts::Except(self.tried.clone())
    }

    /// Returns the hosts to which the next attempt may be sent.
    fn next_hosts(&self) -> Hosts {
        if self.is_returning {
            return Hosts::Only(self.left.clone());
        }
        let failed = self.tried.iter().filter(|it| !self.left.contains(it));
        Hosts::Except(failed.cloned().collect())
    }
}

/// Mutation
impl Attempts {
    /// Reserves an upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// Fails if no upstream has capacity within the time that the request may wait.
    pub(super) async fn reserve(
        &mut self,
        state: &Arc<State>,
        context: &Context,
        progress: Progress,
    ) -> Result<Slot, Unavailable> {
        let acquired = slot::acquire(state, context, self.next_hosts(), progress).await;
        let may_return = !self.is_returning && !self.left.is_empty();
        match acquired {
            Err(Unavailable::Absent | Unavailable::Full { .. }) if may_return => {
                self.is_returning = true;
                slot::acquire(state, context, self.next_hosts(), progress).await
            }
            it => it,
        }
    }

    /// Begins an attempt at an upstream.
    pub(super) fn begin(&mut self, upstream: &Upstream) {
        self.tried.push(upstream.host.clone());
        self.left.retain(|it| *it != upstream.host);
        self.is_returning = false;
        self.count_left();
    }

    /// Records that the current attempt has failed, and decides how to proceed.
    pub(super) fn record_failure(&mut self, failure: Failure, bounds: &Bounds) -> Next {
        self.counts.record_failure(failure);
        let next = attempt::decide(self.counts, failure, bounds);
        self.is_returning = next == Next::Return;
        next
    }

    /// Records that the current attempt ends as its host is silent, and that another host is reserved.
    pub(super) fn leave(&mut self) {
        self.counts.record_failure(Failure::Unknown);
        self.left.extend(self.tried.last().cloned());
        self.count_left();
    }

    fn count_left(&mut self) {
        self.counts.left = self.left.len() as u32;
    }
}
