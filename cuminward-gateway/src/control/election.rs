//! Takes part in the election of stewards: joins a group of the store, which assigns partitions to its
//! members.

use std::time::Duration;

use cuminward_adapter::{store, topic};
use cuminward_serving::id;
use tokio::time;

use crate::state::{State, election::Assignment};

/// Group of the nodes that are candidates.
const GROUP: &str = "stewards";

/// Lease of an assignment.
const LEASE: Duration = Duration::from_millis(1200);

/// Number of renewals within a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Takes part in the election until the task is dropped.
pub(crate) async fn run(state: &State) {
    let member = &new_member(state);
    let interval = member.lease / RENEWALS_PER_LEASE;
    let mut generation = 0;
    if let Err(error) = state.store.create_topic(topic::DUTIES).await {
        log::warn!("can't create the topic of the election of stewards: {error}");
    }
    let mut is_member = false;
    loop {
        let is_candidate = !state.election.is_observer() && !state.is_stopping();
        if is_candidate {
            generation = renew(state, member, generation).await;
        } else if is_member {
            resign(state, member).await;
        }
        is_member = is_candidate;
        // Whether the interval passed or the node began to stop, its candidacy is checked again.
        let _ = time::timeout(interval, state.stop_requested.notified()).await;
    }
}

/// Renews this node's membership and takes the assigned partitions. Returns the generation of the
/// assignment, which serves as fencing token, or the former one if the store can't be reached.
async fn renew(state: &State, member: &store::Member, generation: u64) -> u64 {
    let requested_at = state.now();
    match state.store.join(member, generation).await {
        Ok(membership) => {
            let (token, until) = (membership.generation, requested_at + member.lease);
            state.election.set_assignment(
                &state.events,
                Assignment { token, partitions: membership.partitions, until },
            );
            token
        }
        Err(error) => {
            log::debug!("can't renew the membership in group {GROUP}: {error}");
            generation
        }
    }
}

/// Leaves the group, so that the store assigns the partitions to other members at once.
async fn resign(state: &State, member: &store::Member) {
    state.election.release(id::Token::MAX);
    if let Err(error) = state.store.leave(member).await {
        log::warn!(
            "can't leave group {GROUP}, other nodes get the partitions when the lease ends: {error}"
        );
    }
}

/// Creates the member that stands for this node. Its name differs between two starts, so that a
/// restarted node doesn't inherit the partitions of its former run.
fn new_member(state: &State) -> store::Member {
    let start = rand::random::<u32>();
    store::Member {
        group: GROUP.to_owned(),
        name: format!("{}-{start:08x}", state.settings.node.name),
        topic: topic::DUTIES.to_owned(),
        lease: LEASE.max(state.settings.store.min_lease),
    }
}
