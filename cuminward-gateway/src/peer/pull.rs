//! Fetches declarations and entries of the list of hosts from other nodes that know newer ones.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

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

use super::gossip::Peers;
use crate::state::State;

/// Interval at which this node compares what it knows with others.
const INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a node that doesn't read the store fetches from one that does.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time for a call.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a connection of another node may last.
const MAX_CONNECTION: Duration = Duration::from_secs(60);

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
            declarations: knowledge.declarations.records_since(declarations),
            listing: knowledge.listing.records_since(listing),
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

/// Fetches what other nodes know better until the task is dropped. A node that leaves the reading of the
/// store to others of its failure domain follows those.
pub(crate) async fn run(state: Arc<State>, peers: Arc<Peers>) {
    let mut fetcher = Fetcher { state, peers, clients: HashMap::new() };
    let mut lagging = false;
    loop {
        if fetcher.state.duty.is_bystander() {
            time::sleep(FOLLOW_INTERVAL).await;
            fetcher.follow().await;
            continue;
        }
        time::sleep(INTERVAL).await;
        let source = newer(&fetcher.state, &fetcher.peers);
        // A node that follows the store by itself is behind for a moment only.
        let is_due = lagging && source.is_some();
        lagging = source.is_some();
        let Some(address) = source.filter(|_| is_due) else { continue };
        if let Some(delta) = fetcher.fetch(address).await {
            report(&fetcher.state, address, &delta);
            take_in(&fetcher.state, delta);
        }
    }
}

/// Fetches from other nodes.
struct Fetcher {
    state: Arc<State>,
    peers: Arc<Peers>,
    /// Kept connections.
    clients: HashMap<SocketAddr, KnowledgeClient>,
}

/// Mutation
impl Fetcher {
    /// Fetches from one of the nodes of the failure domain that read the store.
    async fn follow(&mut self) {
        let readers = self.peers.readers(&self.state);
        if readers.is_empty() {
            return;
        }
        let reader = readers[rand::random_range(0..readers.len())];
        if let Some(delta) = self.fetch(reader).await {
            self.state.duty.note_fetched(self.state.now());
            take_in(&self.state, delta);
        }
    }

    async fn fetch(&mut self, address: SocketAddr) -> Option<Delta> {
        let fetched = time::timeout(TIMEOUT, self.ask(address)).await;
        let cause = match fetched {
            Ok(Ok(delta)) => return Some(delta),
            Ok(Err(error)) => error.to_string(),
            Err(_) => String::from("no answer in time"),
        };
        log::debug!("nothing fetched from {address}: {cause}");
        self.clients.remove(&address);
        None
    }

    async fn ask(&mut self, address: SocketAddr) -> io::Result<Delta> {
        let client = match self.clients.get(&address) {
            Some(it) => it.clone(),
            None => {
                let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
                let config = client::Config::default();
                let client = KnowledgeClient::new(config, transport.await?).spawn();
                self.clients.insert(address, client.clone());
                client
            }
        };
        let (declarations, listing) = ends(&self.state);
        let delta = client.since(context::current(), declarations, listing).await;
        delta.map_err(io::Error::other)
    }
}

/// Address of a node that knows newer declarations, or a much newer list of hosts.
fn newer(state: &State, peers: &Peers) -> Option<SocketAddr> {
    let (declarations, listing) = ends(state);
    let fresh = peers.fresh(state.now()).into_iter();
    let newer = fresh.filter(|it| {
        it.digest
            .as_ref()
            .is_some_and(|it| it.declarations > declarations || it.listing > listing + LISTING_LAG)
    });
    let newest = newer.max_by_key(|it| it.digest.as_ref().map(|it| (it.declarations, it.listing)));
    newest.map(|it| it.address)
}

/// Offsets that follow the newest declaration and the newest entry that this node knows.
fn ends(state: &State) -> (id::Offset, id::Offset) {
    let knowledge = state.knowledge();
    (knowledge.declarations.end(), knowledge.listing.end())
}

fn report(state: &State, address: SocketAddr, delta: &Delta) {
    state.events.emit(Kind::KnowledgeFetched {
        address: address.to_string(),
        declarations: delta.declarations.len() as u64,
        hosts: delta.listing.len() as u64,
    });
}

fn take_in(state: &State, delta: Delta) {
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
