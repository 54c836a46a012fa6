//! Follows the eras of the store: a new one begins when the store comes back from an older copy.

use std::{sync::Arc, time::Duration};

use cuminward_event::kind::Kind;
use cuminward_serving::{fencing, id, restore};
use tokio::time;

use crate::state::State;

/// Interval at which a node checks, after the store came back, whether what it lost was written again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the store came back during which a node checks.
const CHECK_TIME: Duration = restore::DECLARATION_GRACE.saturating_add(Duration::from_secs(1));

/// Follows the eras until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let mut eras = state.store.era();
    let mut era = *eras.borrow_and_update();
    let mut check_until = Duration::ZERO;
    loop {
        let is_checking = state.now() < check_until;
        let timeout = if is_checking { CHECK_INTERVAL } else { Duration::MAX };
        match time::timeout(timeout, eras.changed()).await {
            Ok(Ok(())) => {
                let previous = std::mem::replace(&mut era, *eras.borrow_and_update());
                emit_began(&state, era, previous);
                // The store may have assigned the partitions to another node by now.
                state.election.release(fencing::token(era, 0));
                if previous > 0 {
                    check_until = state.now() + CHECK_TIME;
                }
            }
            Ok(Err(_)) => return,
            Err(_) => {
                if state.cluster().drop_former_eras(state.now()) {
                    state.publish();
                }
            }
        }
    }
}

fn emit_began(state: &State, era: id::Era, previous: id::Era) {
    let cluster = state.cluster();
    let declarations = cluster.declarations.end().offset;
    let hosts = cluster.host_list.end().offset;
    drop(cluster);
    state.events.emit(Kind::StoreEraBegan { era, previous, declarations, hosts });
}
