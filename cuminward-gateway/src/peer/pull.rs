//! Fetches declarations and entries of the list of hosts from other nodes that know newer ones.

use std::{io, sync::Arc, time::Duration};

use cuminward_derive::record;
use cuminward_event::kind::Kind;
use cuminward_serving::{id, table::Record};
use futures::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::time;

use super::gossip::{Peer, Peers};
use crate::state::State;

/// Interval at which this node compares what it knows with others.
const INTERVAL: Duration = Duration::from_millis(150);

/// Longest time for a call.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a connection of another node may last.
const MAX_CONNECTION: Duration = Duration::from_secs(5);

/// Calls that one connection may have under way.
const MAX_CALLS: usize = 4;

/// Entries by which the own list of hosts may lag behind before it is fetched from another node.
const LISTING_LAG: id::Offset = 100;

/// What a node knows since two offsets.
#[record]
pub(crate) struct Delta {
    /// Declarations.
    pub declarations: Vec<Record>,
    /// Entries of the list of hosts.
    pub listing: Vec<Record>,
}

mod service {
    use cuminward_serving::id;

    use super::Delta;

    #[tarpc::service]
    pub trait Knowledge {
        async fn since(declarations: id::Offset, listing: id::Offset) -> Delta;
    }
}

use service::{Knowledge, KnowledgeClient};

#[derive(Clone)]
struct Server {
    state: Arc<State>,
}

impl Knowledge for Server {
    async fn since(
        self,
        _: context::Context,
        declarations: id::Offset,
        listing: id::Offset,
    ) -> Delta {
        let knowledge = self.state.knowledge();
        Delta {
            declarations: knowledge.declarations.since(declarations),
            listing: knowledge.listing.since(listing),
        }
    }
}

/// Answers the calls of other nodes until the task is dropped.
///
/// # Errors
///
/// The listener can't be opened.
pub(crate) async fn serve(state: Arc<State>) -> io::Result<impl Future<Output = ()>> {
    let address = state.settings.listen.peers;
    let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    Ok(async move {
        while let Some(accepted) = listener.next().await {
            let Ok(transport) = accepted else { continue };
            let server = Server { state: Arc::clone(&state) };
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.max_concurrent_requests(MAX_CALLS).execute(server.serve());
            let answering = requests.for_each(|answer| async move {
                tokio::spawn(answer);
            });
            tokio::spawn(time::timeout(MAX_CONNECTION, answering));
        }
    })
}

/// Fetches what other nodes know better until the task is dropped.
pub(crate) async fn run(state: Arc<State>, peers: Arc<Peers>) {
    let mut lagging = false;
    loop {
        time::sleep(INTERVAL).await;
        let source = newer(&state, &peers);
        // A node that follows the store by itself is behind for a moment only.
        let is_due = lagging && source.is_some();
        lagging = source.is_some();
        let Some(peer) = source.filter(|_| is_due) else { continue };
        match time::timeout(TIMEOUT, fetch(&state, &peer)).await {
            Ok(Ok(delta)) => take_in(&state, &peer, delta),
            Ok(Err(error)) => log::debug!("nothing fetched from {}: {error}", peer.address),
            Err(_) => log::debug!("nothing fetched from {} in time", peer.address),
        }
    }
}

/// A node that knows newer declarations, or a much newer list of hosts.
fn newer(state: &State, peers: &Peers) -> Option<Peer> {
    let (declarations, listing) = ends(state);
    let fresh = peers.fresh(state.now()).into_iter();
    let newer = fresh.filter(|it| {
        it.digest
            .as_ref()
            .is_some_and(|it| it.declarations > declarations || it.listing > listing + LISTING_LAG)
    });
    newer.max_by_key(|it| it.digest.as_ref().map(|it| (it.declarations, it.listing)))
}

/// Offsets that follow the newest declaration and the newest entry that this node knows.
fn ends(state: &State) -> (id::Offset, id::Offset) {
    let knowledge = state.knowledge();
    (knowledge.declarations.end(), knowledge.listing.end())
}

async fn fetch(state: &State, peer: &Peer) -> io::Result<Delta> {
    let transport = tarpc::serde_transport::tcp::connect(peer.address, Bincode::default).await?;
    let client = KnowledgeClient::new(client::Config::default(), transport).spawn();
    let (declarations, listing) = ends(state);
    let delta = client.since(context::current(), declarations, listing).await;
    delta.map_err(io::Error::other)
}

fn take_in(state: &State, peer: &Peer, delta: Delta) {
    state.events.emit(Kind::KnowledgeFetched {
        address: peer.address.to_string(),
        declarations: delta.declarations.len() as u64,
        hosts: delta.listing.len() as u64,
    });
    let now = state.now();
    let mut knowledge = state.knowledge();
    let mut is_changed = false;
    for record in delta.declarations {
        is_changed |= knowledge.declare(&record);
    }
    for record in delta.listing {
        is_changed |= knowledge.list(now, &record);
    }
    drop(knowledge);
    if is_changed {
        state.publish();
    }
}
