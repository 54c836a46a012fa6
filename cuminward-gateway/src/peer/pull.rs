//! Anti-entropy: fetches declarations and records of the host list from other nodes that have newer
//! ones.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use cuminward_derive::{record, value};
use cuminward_event::kind::Kind;
use cuminward_serving::{id, position::Position, table::Record};
use futures::StreamExt;
use tarpc::{
    client, context,
    serde_transport::Transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, time};

use super::gossip::Peers;
use crate::{ingress::listener, state::State, tunnel};

/// Interval at which this node compares its positions with those in the digests of others.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a node that doesn't read the store fetches from a node that does.
const FETCH_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest duration of a connection from another node.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);

/// Number of calls in flight that one connection may have.
const MAX_CALLS: usize = 4;

/// Number of records by which this node's host list may lag behind before they are fetched from another
/// node.
const MAX_HOST_LIST_LAG: id::Offset = 100;

/// What a node has, so that others send it only what is newer.
#[value]
pub(crate) struct Known {
    /// Version of the catalog in force; 0 if there is none.
    pub version: id::Version,
    /// Position that follows the newest declaration.
    pub declarations: Position,
    /// Position that follows the newest record of the host list.
    pub listing: Position,
}

/// Access
impl Known {
    /// Returns the newest era of the store that the node has read.
    pub(crate) fn era(&self) -> id::Era {
        self.declarations.era.max(self.listing.era)
    }
}

/// Records that a node has and another one lacks.
#[record]
pub(crate) struct Delta {
    /// Declarations.
    pub declarations: Vec<Record>,
    /// Records of the host list.
    pub listing: Vec<Record>,
}

mod service {
    use super::{Delta, Known};

    #[tarpc::service]
    pub trait AntiEntropy {
        async fn records_since(known: Known) -> Delta;
    }
}

use service::{AntiEntropy, AntiEntropyClient};

#[derive(Clone)]
struct Server {
    state: Arc<State>,
}

impl AntiEntropy for Server {
    async fn records_since(self, _: context::Context, known: Known) -> Delta {
        let cluster = self.state.cluster();
        Delta {
            declarations: cluster.declarations.records_since(known.declarations, known.version),
            listing: cluster.host_list.records_since(known.listing),
        }
    }
}

/// Serves the connections of other nodes until the task is dropped.
///
/// # Errors
///
/// Fails if the listener can't be opened.
pub(crate) async fn serve(state: Arc<State>) -> io::Result<impl Future<Output = ()>> {
    let listener = listener::open(state.settings.listen.peers).await?;
    Ok(listener::accept(listener, move |stream| serve_connection(Arc::clone(&state), stream)))
}

/// Serves a connection of another node: a tunnel to a host, or calls.
async fn serve_connection(state: Arc<State>, stream: TcpStream) {
    let mut first = [0];
    let peeked = time::timeout(MAX_CONNECTION_AGE, stream.peek(&mut first)).await;
    match peeked {
        Ok(Ok(1)) if first[0] == tunnel::PROTOCOL => tunnel::server::serve(state, stream).await,
        Ok(Ok(1)) => {
            // The connection ends with the timeout or with the other node.
            let _ = time::timeout(MAX_CONNECTION_AGE, serve_calls(state, stream)).await;
        }
        _ => {}
    }
}

/// Answers the calls on a connection.
async fn serve_calls(state: Arc<State>, stream: TcpStream) {
    let transport = Transport::from((stream, Bincode::default()));
    let channel = BaseChannel::with_defaults(transport);
    let calls = channel.max_concurrent_requests(MAX_CALLS).execute(Server { state }.serve());
    let answering = calls.for_each(|answer| async move {
        tokio::spawn(answer);
    });
    answering.await;
}

/// Fetches newer records from other nodes until the task is dropped. A node that leaves reading the
/// store to candidates of its failure domain fetches from them at each interval.
pub(crate) async fn run(state: Arc<State>, peers: Arc<Peers>) {
    let mut fetcher = Fetcher { state, peers, clients: HashMap::new() };
    let mut is_lagging = false;
    loop {
        if fetcher.state.election.is_observer() {
            time::sleep(FETCH_INTERVAL).await;
            fetcher.fetch_from_reader().await;
            continue;
        }
        time::sleep(COMPARE_INTERVAL).await;
        let source = find_newer_peer(&fetcher.state, &fetcher.peers);
        // A node that reads the store itself catches up soon, so it fetches only if it lags behind
        // twice in a row.
        let is_due = is_lagging && source.is_some();
        is_lagging = source.is_some();
        let Some(address) = source.filter(|_| is_due) else { continue };
        if let Some(delta) = fetcher.fetch(address).await {
            emit_fetched(&fetcher.state, address, &delta);
            apply(&fetcher.state, delta);
        }
    }
}

/// Client of the other nodes.
struct Fetcher {
    state: Arc<State>,
    peers: Arc<Peers>,
    /// Open connections by address.
    clients: HashMap<SocketAddr, AntiEntropyClient>,
}

/// Mutation
impl Fetcher {
    /// Fetches from a random node of the failure domain that reads the store.
    async fn fetch_from_reader(&mut self) {
        let readers = self.peers.store_readers(&self.state);
        if readers.is_empty() {
            return;
        }
        let reader = readers[rand::random_range(0..readers.len())];
        if let Some(delta) = self.fetch(reader).await {
            self.state.election.record_fetch(self.state.now());
            apply(&self.state, delta);
        }
    }

    async fn fetch(&mut self, address: SocketAddr) -> Option<Delta> {
        let fetched = time::timeout(CALL_TIMEOUT, self.call(address)).await;
        let cause = match fetched {
            Ok(Ok(delta)) => return Some(delta),
            Ok(Err(error)) => error.to_string(),
            Err(_) => String::from("timeout"),
        };
        log::debug!("can't fetch records from node {address}: {cause}");
        self.clients.remove(&address);
        None
    }

    async fn call(&mut self, address: SocketAddr) -> io::Result<Delta> {
        let client = match self.clients.get(&address) {
            Some(it) => it.clone(),
            None => {
                let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
                let config = client::Config::default();
                let client = AntiEntropyClient::new(config, transport.await?).spawn();
                self.clients.insert(address, client.clone());
                client
            }
        };
        let known = own_knowledge(&self.state);
        let delta = client.records_since(context::current(), known).await;
        delta.map_err(io::Error::other)
    }
}

/// Returns the address of the node with the newest records, if its declarations are newer than those of
/// this node or its host list is ahead by more than [`MAX_HOST_LIST_LAG`].
fn find_newer_peer(state: &State, peers: &Peers) -> Option<SocketAddr> {
    let own = own_knowledge(state);
    let fresh = peers.recently_seen(state.now()).into_iter();
    let others = fresh.filter_map(|it| Some((it.digest?.known, it.address)));
    let newer = others.filter(|(other, _)| {
        other.version > own.version
            || other.declarations > own.declarations
            || is_far_behind(own.listing, other.listing)
    });
    newer.max_by_key(|(other, _)| *other).map(|(_, address)| address)
}

/// Returns whether a host list that ends at `own` lags so far behind one that ends at `other` that the missing
/// records are fetched.
fn is_far_behind(own: Position, other: Position) -> bool {
    other.era > own.era || other.era == own.era && other.offset > own.offset + MAX_HOST_LIST_LAG
}

/// Returns what this node has.
pub(crate) fn own_knowledge(state: &State) -> Known {
    let cluster = state.cluster();
    Known {
        version: cluster.declarations.version(),
        declarations: cluster.declarations.end(),
        listing: cluster.host_list.end(),
    }
}

fn emit_fetched(state: &State, address: SocketAddr, delta: &Delta) {
    state.events.emit(Kind::StateFetched {
        address: address.to_string(),
        declarations: delta.declarations.len() as u64,
        hosts: delta.listing.len() as u64,
    });
}

fn apply(state: &State, delta: Delta) {
    let now = state.now();
    let mut cluster = state.cluster();
    let mut is_changed = false;
    for record in delta.declarations {
        is_changed |= cluster.apply_declaration(now, &record);
    }
    for record in delta.listing {
        is_changed |= cluster.apply_host_record(now, &record);
    }
    drop(cluster);
    if is_changed {
        state.publish();
    }
}
