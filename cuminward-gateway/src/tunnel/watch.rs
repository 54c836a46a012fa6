//! Watches the paths to hosts: drops connections that a lost path has left, wakes the requests on them, and notices
//! when the own paths work again.

use std::{sync::Arc, time::Duration};

use futures::future;
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::state::State;

/// Interval of the checks.
const INTERVAL: Duration = Duration::from_millis(50);

/// Number of checks of which one tries the own paths of a stranded node.
const TRIAL_CHECKS: u32 = 8;

/// Time allowed for a trial of an own path.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of hosts that a node tries which may be stranded.
const TRIALS: usize = 3;

/// Watches until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let mut was_stranded = false;
    let mut checks: u32 = 0;
    let mut trial: Option<JoinHandle<()>> = None;
    loop {
        time::sleep(INTERVAL).await;
        checks = checks.wrapping_add(1);
        for address in state.paths.take_newly_lost() {
            state.upstreams.discard_idle(&address);
        }
        let is_stranded = state.paths.is_stranded();
        if is_stranded && !was_stranded {
            state.upstreams.discard_all_idle();
            // What was found over the lost paths proves nothing.
            state.cluster().clear_losses();
            state.publish();
        }
        was_stranded = is_stranded;
        let is_trial_due = is_stranded && checks.is_multiple_of(TRIAL_CHECKS);
        let is_trying = trial.as_ref().is_some_and(|it| !it.is_finished());
        if !is_trying && (is_trial_due || state.paths.is_suspect()) {
            trial = Some(tokio::spawn(try_own_paths(Arc::clone(&state))));
        }
        if state.paths.has_lost_paths() {
            wake_requests(&state);
        }
    }
}

/// Tries the own paths to some hosts. If none works, the node is stranded.
async fn try_own_paths(state: Arc<State>) {
    let mut addresses = state.paths.other_addresses(TRIALS);
    if addresses.is_empty() || state.paths.is_stranded() {
        addresses.extend(state.paths.any_address());
    }
    let trials = addresses.iter().map(|it| try_own_path(&state, it));
    let is_reached = future::join_all(trials).await.into_iter().any(|it| it);
    if !is_reached && state.paths.is_suspect() {
        state.paths.record_stranded();
    }
}

/// Tries the own path to a host. Returns whether it works.
async fn try_own_path(state: &State, address: &str) -> bool {
    let connected = time::timeout(TRIAL_TIMEOUT, TcpStream::connect(address)).await;
    let is_connected = matches!(connected, Ok(Ok(_)));
    if is_connected {
        state.paths.record_direct(address);
    }
    is_connected
}

/// Makes requests in flight check whether their connection was left by a lost path.
fn wake_requests(state: &State) {
    for upstream in state.routing.load().including_retired() {
        if upstream.stats.in_flight() > 0 {
            upstream.stats.interrupt.notify_waiters();
        }
    }
}
