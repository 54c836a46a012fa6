//! Takes part in the election of stewards: joins a group of the store, which assigns partitions to its
//! members.

use std::time::Duration;

use cuminward_adapter::{store, topic};
use cuminward_serving::{fencing, id};
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
    let eras = state.store.era();
    let mut generation = Generation::default();
    // Era in which the topic of the election was created.
    let mut topic_era = None;
    let mut is_member = false;
    loop {
        if topic_era != Some(*eras.borrow()) && create_topic(state).await {
            topic_era = Some(*eras.borrow());
        }
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

/// Generation of the group of candidates that this node received last.
#[derive(Debug, Clone, Copy, Default)]
struct Generation {
    era: id::Era,
    number: u64,
}

/// Creates the topic of the election, which the store may have lost. Returns whether it exists now.
async fn create_topic(state: &State) -> bool {
    let created = state.store.create_topic(topic::DUTIES).await;
    if let Err(error) = &created {
        log::warn!("can't create the topic of the election of stewards: {error}");
    }
    created.is_ok()
}

/// Renews this node's membership and takes the assigned partitions. Returns the generation of the
/// assignment, or the former one if the store can't be reached.
async fn renew(state: &State, member: &store::Member, generation: Generation) -> Generation {
    let requested_at = state.now();
    let is_current = generation.era == *state.store.era().borrow();
    let known = if is_current { generation.number } else { 0 };
    match state.store.join(member, known).await {
        Ok(membership) => {
            let store::Assignment { era, generation: number, partitions } = membership;
            let (token, until) = (fencing::token(era, number), requested_at + member.lease);
            let assignment = Assignment { token, partitions, until };
            state.election.set_assignment(&state.events, assignment);
            Generation { era, number }
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
