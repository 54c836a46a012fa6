//! Discovery of the other nodes through the list of nodes in the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter::{store, topic};
use tokio::time;

use super::gossip::Peers;
use crate::state::State;

/// Pauses between the first reads of the list of nodes.
const FIRST_PAUSES: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(700), Duration::from_secs(2)];

/// Pause between later reads.
const PAUSE: Duration = Duration::from_secs(10);

/// Registers this node in the list and reads the list for other nodes until the task is dropped.
pub(crate) async fn run(state: Arc<State>, peers: Arc<Peers>) {
    let mut is_registered = false;
    let mut pauses = FIRST_PAUSES.into_iter();
    loop {
        if !is_registered {
            is_registered = register(&state).await;
        }
        if let Err(error) = read_nodes(&state, &peers).await {
            log::debug!("can't read the list of nodes: {error}");
        }
        let pause = if is_registered { pauses.next().unwrap_or(PAUSE) } else { FIRST_PAUSES[0] };
        time::sleep(pause).await;
    }
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
    state.add_nodes(page.records.iter().map(|it| it.key.as_str()), true);
    Ok(())
}
