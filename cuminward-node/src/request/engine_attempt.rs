//! An attempt to run a generation on an engine, tracked until the engine has certainly ended it.
//!
//! An attempt that was cancelled, or whose stream broke, may still run on the engine. Its slot
//! stays in use until the engine has answered a cancel request, or the head host of the replica
//! reports another formation, because a new formation has slots of its own.

use std::{sync::Arc, time::Duration};

use cuminward_core::{id, replica};
use cuminward_upstream::error;
use tokio::runtime;

use crate::{
    request::{lease, suspect},
    state,
};

/// Time between two cancel requests for an attempt.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an attempt that could not be cancelled is assumed to have ended.
const MAX_RUN_TIME: Duration = Duration::from_secs(600);

/// An attempt on an engine. Dropping it cancels the attempt in the background.
pub struct Attempt {
    running: Option<Running>,
}

/// Identity and guards of an attempt that hasn't ended.
struct Running {
    state: Arc<state::State>,
    replica: replica::Replica,
    request: id::Request,
    lease: lease::Lease,
    entry: suspect::Entry,
}

/// Life cycle
impl Attempt {
    /// Makes an attempt on a replica. `request` is the id of the attempt, which no other attempt
    /// may have.
    pub fn new(
        state: &Arc<state::State>,
        replica: replica::Replica,
        request: id::Request,
        (lease, entry): (lease::Lease, suspect::Entry),
    ) -> Attempt {
        let state = Arc::clone(state);
        Attempt { running: Some(Running { state, replica, request, lease, entry }) }
    }

    /// Records how many tokens have arrived.
    pub fn record_progress(&mut self, tokens: u64) {
        if let Some(running) = &mut self.running {
            running.entry.record_progress(&running.state, tokens);
        }
    }

    /// Ends an attempt whose whole answer has arrived.
    pub fn complete(mut self) {
        if let Some(running) = self.running.take() {
            running.entry.complete(&running.state);
        }
    }

    /// Ends an attempt that never reached the engine, or that the engine refused.
    pub fn end_not_run(mut self) {
        self.running = None;
    }

    /// Ends an attempt for which no connection could be opened. It didn't run, so it can't have
    /// crashed the replica.
    pub fn end_unreachable(mut self) {
        if let Some(running) = self.running.take() {
            running.lease.record_disconnect();
        }
    }

    /// Ends an attempt whose connection was lost: checks whether the replica crashed, then cancels
    /// the attempt in the background. Returns after the check.
    pub async fn end_disconnected(mut self) {
        let Some(running) = self.running.take() else { return };
        running.lease.record_disconnect();
        suspect::check_for_crash(&running.state, &running.replica).await;
        tokio::spawn(running.cancel());
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(running) = self.running.take() else { return };
        if let Ok(runtime) = runtime::Handle::try_current() {
            runtime.spawn(running.cancel());
        }
    }
}

impl Running {
    /// Sends cancel requests until the attempt has ended, and holds its slot until then.
    async fn cancel(self) {
        let started = self.state.now();
        loop {
            let cancelled = self.state.engines.cancel(&self.replica.address, &self.request).await;
            match cancelled {
                Ok(_) | Err(error::Error::Answer(_) | error::Error::Refused(_)) => return,
                Err(error) if is_disconnect(&error) => {
                    suspect::check_for_crash(&self.state, &self.replica).await;
                }
                Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(CANCEL_RETRY_INTERVAL) => {}
                () = self.state.stop.cancelled() => return,
            }
            if !self.is_formation_current() || started + MAX_RUN_TIME < self.state.now() {
                return;
            }
        }
    }

    /// Returns whether the head host's last report is of the formation that the attempt was sent
    /// to.
    fn is_formation_current(&self) -> bool {
        let observations = self.state.observations();
        let head = self.replica.members.first();
        let observation = head.and_then(|it| observations.observations().get(it));
        let report = observation.map(|it| &it.report);
        report.is_some_and(|it| suspect::is_serving(it, &self.replica))
    }
}

/// Returns whether an error means that the connection to the engine failed or was lost.
pub fn is_disconnect(error: &error::Error) -> bool {
    use error::Error;
    matches!(error, Error::Connect { .. } | Error::Disconnected { .. } | Error::Truncated { .. })
}
