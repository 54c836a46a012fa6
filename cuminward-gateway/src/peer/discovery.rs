//! Discovery of the other nodes through the list of nodes in the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter::{store, topic};
use cuminward_serving::scaling;
use tokio::time;

use super::gossip::Peers;
use crate::state::State;

/// Pauses between the first reads of the list of nodes.
const FIRST_PAUSES: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(700), Duration::from_secs(2)];

/// Pause between later reads in a small and in a large system: nodes that start announce themselves to all others.
const PAUSE: Duration = Duration::from_secs(10);
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time per known node over which the nodes spread their registrations after the store came back from an older
/// copy, so that it isn't overloaded.
const SPREAD_PER_NODE: Duration = Duration::from_millis(5);

/// Registers this node in the list and reads the list for other nodes until the task is dropped. Begins again
/// when the store comes back from an older copy, which may lack nodes.
pub(crate) async fn run(state: Arc<State>, peers: Arc<Peers>) {
    let mut eras = state.store.era();
    // Era in which this node is registered.
    let mut registered_era = None;
    let mut pauses = FIRST_PAUSES.into_iter();
    loop {
        let era = *eras.borrow_and_update();
        if registered_era.is_some_and(|it| it != era) {
            registered_era = None;
            pauses = FIRST_PAUSES.into_iter();
            time::sleep(random_delay(state.node_count())).await;
        }
        if registered_era.is_none() && register(&state).await {
            registered_era = Some(*eras.borrow_and_update());
        }
        if let Err(error) = read_nodes(&state, &peers).await {
            log::debug!("can't read the list of nodes: {error}");
        }
        let is_registered = registered_era.is_some();
        let later = scaling::stretch_interval(PAUSE, MAX_PAUSE, state.node_count());
        let pause = if is_registered { pauses.next().unwrap_or(later) } else { FIRST_PAUSES[0] };
        // Whether the pause or the era ended, the list is read again.
        let _ = time::timeout(pause, eras.changed()).await;
    }
}

/// Returns the delay of this node's registration after the store came back.
fn random_delay(node_count: usize) -> Duration {
    (SPREAD_PER_NODE * node_count as u32).mul_f64(rand::random())
}

async fn register(state: &State) -> bool {
    let address = state.settings.listen.peers.to_string();
    let node = &state.settings.node.name;
    match state.store.put(topic::NODES, node, address.as_bytes()).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("can't register node {node} at {address} in the list of nodes: {error}");
            false
        }
    }
}

async fn read_nodes(state: &State, peers: &Peers) -> Result<(), store::Error> {
    let page = state.store.read_newest(topic::NODES).await?;
    for record in page.records.iter().filter(|it| it.key != state.settings.node.name) {
        let address = record.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
        let Some(address) = address.and_then(|it| it.parse::<SocketAddr>().ok()) else { continue };
        peers.add(state.now(), &record.key, address);
    }
    let known = state.node_count();
    state.add_nodes(page.records.iter().map(|it| it.key.as_str()), true);
    if state.node_count() > known {
        // In a large system it would take many rounds until all have this node's digest, and until then each would read
        // the store as if it were one of the few that do.
        state.request_broadcast();
    }
    Ok(())
}
