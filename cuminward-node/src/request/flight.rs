//! One attempt at an engine, until the engine has certainly ended it.
//!
//! An attempt that was given up, or whose stream broke, may still run. Its slot stays in use until the
//! engine has answered a cancel, or its head reports another formation: a new formation has slots of
//! its own.

use std::{sync::Arc, time::Duration};

use cuminward_core::{id, replica};
use cuminward_upstream::error;
use tokio::runtime;

use crate::{
    request::{lease, suspect},
    state,
};

/// Time between two tries to cancel an attempt.
const RETRY: Duration = Duration::from_millis(500);

/// Longest time that an attempt is taken to run on.
const LONGEST: Duration = Duration::from_secs(600);

/// An attempt at an engine; dropping it cancels the attempt.
pub struct Flight {
    held: Option<Held>,
}

/// What an attempt holds.
struct Held {
    state: Arc<state::State>,
    replica: replica::Replica,
    request: id::Request,
    lease: lease::Lease,
    entry: suspect::Entry,
}

/// Life cycle
impl Flight {
    /// Begins an attempt at a replica under an id that no other attempt has.
    pub fn new(
        state: &Arc<state::State>,
        replica: replica::Replica,
        request: id::Request,
        (lease, entry): (lease::Lease, suspect::Entry),
    ) -> Flight {
        let state = Arc::clone(state);
        Flight { held: Some(Held { state, replica, request, lease, entry }) }
    }

    /// Notes how many tokens have arrived.
    pub fn progress(&mut self, tokens: u64) {
        if let Some(held) = &mut self.held {
            held.entry.progress(&held.state, tokens);
        }
    }

    /// Ends an attempt that the engine has answered to its end.
    pub fn complete(mut self) {
        if let Some(held) = self.held.take() {
            held.entry.complete(&held.state);
        }
    }

    /// Ends an attempt that never reached the engine, or that the engine refused.
    pub fn not_run(mut self) {
        self.held = None;
    }

    /// Ends an attempt for which there was no connection: it didn't run, so it crashed nothing.
    pub fn unreachable(mut self) {
        if let Some(held) = self.held.take() {
            held.lease.disconnected();
        }
    }

    /// Ends an attempt whose connection was lost; returns once it is known whether the engine
    /// crashed.
    pub async fn disconnected(mut self) {
        let Some(held) = self.held.take() else { return };
        held.lease.disconnected();
        suspect::investigate(&held.state, &held.replica).await;
        tokio::spawn(held.end());
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        if let Ok(runtime) = runtime::Handle::try_current() {
            runtime.spawn(held.end());
        }
    }
}

impl Held {
    /// Cancels the attempt and holds its slot until it has ended.
    async fn end(self) {
        let begun = self.state.now();
        loop {
            let cancelled = self.state.engines.cancel(&self.replica.address, &self.request).await;
            match cancelled {
                Ok(_) | Err(error::Error::Answer(_) | error::Error::Refused(_)) => return,
                Err(error) if is_disconnect(&error) => {
                    suspect::investigate(&self.state, &self.replica).await;
                }
                Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(RETRY) => {}
                () = self.state.stop.cancelled() => return,
            }
            if !self.is_formed() || begun + LONGEST < self.state.now() {
                return;
            }
        }
    }

    /// Tells whether the head last reported the formation that the attempt was sent to.
    fn is_formed(&self) -> bool {
        let observations = self.state.observations();
        let head = self.replica.members.first();
        let seen = head.and_then(|it| observations.observations().get(it));
        let report = seen.map(|it| &it.report);
        report.is_some_and(|it| suspect::is_serving(it, &self.replica))
    }
}

/// Tells whether an error means that the connection to the engine was lost.
pub fn is_disconnect(error: &error::Error) -> bool {
    use error::Error;
    matches!(error, Error::Connect { .. } | Error::Failed { .. } | Error::Broken { .. })
}
