//! Watches the paths to hosts: drops connections that a lost path has left, wakes the requests on them, and notices
//! when the own paths work again.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpStream, time};

use crate::state::State;

/// Interval of the checks.
const INTERVAL: Duration = Duration::from_millis(50);

/// Number of checks of which one tries the own path of a stranded node.
const TRIAL_CHECKS: u32 = 8;

/// Time allowed for a trial of the own path.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let mut was_stranded = false;
    let mut checks: u32 = 0;
    loop {
        time::sleep(INTERVAL).await;
        checks = checks.wrapping_add(1);
        for address in state.paths.take_detoured() {
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
        if is_stranded && checks.is_multiple_of(TRIAL_CHECKS) {
            tokio::spawn(try_own_path(Arc::clone(&state)));
        }
        if state.paths.has_detours() {
            wake_requests(&state);
        }
    }
}

/// Tries the own path to any host. The paths are regained if it works.
async fn try_own_path(state: Arc<State>) {
    let Some(address) = state.paths.random_address() else { return };
    let connected = time::timeout(TRIAL_TIMEOUT, TcpStream::connect(&address)).await;
    if matches!(connected, Ok(Ok(_))) {
        state.paths.record_direct(&address);
    }
}

/// Makes requests in flight check whether their connection was left by a lost path.
fn wake_requests(state: &State) {
    for upstream in state.routing.load().including_retired() {
        if upstream.stats.in_flight() > 0 {
            upstream.stats.interrupt.notify_waiters();
        }
    }
}
