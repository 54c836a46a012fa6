//! Takes part in the division of the stewards' duties by the store.

use std::time::Duration;

use cuminward_adapter::{store, topic};
use cuminward_serving::id;
use tokio::time;

use crate::state::{State, duty::Share};

/// Group in which nodes divide the duties.
const GROUP: &str = "stewards";

/// Lease of a duty.
const LEASE: Duration = Duration::from_millis(1200);

/// Calls a lease.
const CALLS_PER_LEASE: u32 = 3;

/// Takes part in the division of the duties until the task is dropped.
pub(crate) async fn run(state: &State) {
    let member = &member(state);
    let interval = member.lease / CALLS_PER_LEASE;
    let mut generation = 0;
    if let Err(error) = state.store.create_topic(topic::DUTIES).await {
        log::warn!("the topic of the duties can't be created: {error}");
    }
    let mut is_member = false;
    loop {
        let takes_part = !state.duty.is_bystander() && !state.is_stopping();
        if takes_part {
            generation = renew(state, member, generation).await;
        } else if is_member {
            resign(state, member).await;
        }
        is_member = takes_part;
        // Either way the part in the division is looked at again.
        let _ = time::timeout(interval, state.stops.notified()).await;
    }
}

/// Asks for this node's share of the duties. Returns the generation of the division.
async fn renew(state: &State, member: &store::Member, generation: u64) -> u64 {
    let asked = state.now();
    match state.store.join(member, generation).await {
        Ok(share) => {
            let (token, until) = (share.generation, asked + member.lease);
            state.duty.set(&state.events, Share { token, parts: share.partitions, until });
            token
        }
        Err(error) => {
            log::debug!("the duties can't be renewed: {error}");
            generation
        }
    }
}

/// Gives up all duties, so that the store divides them among the others at once.
async fn resign(state: &State, member: &store::Member) {
    state.duty.forfeit(id::Token::MAX);
    if let Err(error) = state.store.leave(member).await {
        log::warn!("the duties weren't given up, their lease has to end: {error}");
    }
}

/// This node as a member of the group that divides the duties. The name differs between two starts, so
/// that a new start doesn't inherit the duties of the former one.
fn member(state: &State) -> store::Member {
    let start = rand::random::<u32>();
    store::Member {
        group: GROUP.to_owned(),
        name: format!("{}-{start:08x}", state.settings.node.name),
        topic: topic::DUTIES.to_owned(),
        lease: LEASE.max(state.settings.store.min_lease),
    }
}
