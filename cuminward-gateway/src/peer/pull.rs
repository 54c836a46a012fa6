//! Anti-entropy: fetches declarations and records of the host list from other nodes that have newer
//! ones.
//!
//! Nodes of earlier builds answer [`AntiEntropy::records_since`] only, which doesn't tell how old what they have
//! is. What they send is applied, but a node that leaves reading the store to others reads it itself beside them.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use cuminward_derive::{record, value};
use cuminward_event::kind::Kind;
use cuminward_serving::{
    id,
    position::Position,
    table::{Batch, Record},
};
use futures::StreamExt;
use serde_with::{DurationMilliSeconds, serde_as};
use tarpc::{
    context,
    serde_transport::Transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, time};

use super::{clients::Clients, feature, gossip::Peers};
use crate::{ingress::listener, state::State, tunnel};

/// Interval at which this node compares its positions with those in the digests of others.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a node that doesn't read the store fetches from a node that does.
const FETCH_INTERVAL: Duration = Duration::from_millis(400);

/// The same in a failure domain with several levels of such nodes, each of which adds to the age.
const DEEP_FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// Number of bytes of the host list that the answer to a call holds, at most. Many hosts may change at once, and an answer
/// that doesn't arrive within the timeout would be for nothing.
const MAX_LISTING_BYTES: usize = 96 << 10;

/// The same for an answer that is compressed.
const MAX_PACKED_LISTING_BYTES: usize = 384 << 10;

/// Largest answer after it is decompressed, in bytes.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// Number of calls that follow each other at once, as long as the answers leave records out.
const MAX_CALLS_IN_A_ROW: usize = 16;

/// Age of a batch that leaves newer records out; it is complete only up to an unknown moment.
const UNKNOWN_AGE: Duration = Duration::from_secs(24 * 3600);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest duration of a connection from another node.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);

/// Number of calls in flight that one connection may have.
const MAX_CALLS: usize = 4;

/// Time for which a node that didn't answer [`AntiEntropy::changes_since`], and hasn't told that it does, counts as one of
/// an earlier build.
const FORMER_BUILD_TIME: Duration = Duration::from_secs(5);

/// Number of records by which this node's host list may lag behind before they are fetched from another
/// node, if this node reads the store.
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

/// What a node has that another one lacks, and how old its copies are.
#[record]
pub(crate) struct Changes {
    /// Declarations.
    pub declarations: Excerpt,
    /// Host list.
    pub listing: Excerpt,
}

/// What a node has of a topic that another one lacks.
#[serde_as]
#[record]
#[derive(Default)]
pub(crate) struct Excerpt {
    /// The records.
    pub batch: Batch,
    /// Time since the moment up to which the node's copy is complete; `None` if it isn't complete at the moment.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
}

/// Life cycle
impl Excerpt {
    /// Creates the excerpt that consists of a batch, or of nothing. Its age is rounded up.
    fn new(batch: Option<Batch>, age: Option<Duration>) -> Excerpt {
        let round_up = |it: Duration| it + Duration::from_millis(1);
        let age = age.map(round_up).filter(|_| batch.is_some());
        Excerpt { batch: batch.unwrap_or_default(), age }
    }
}

/// Conversion of what a node of an earlier build sends
impl From<Delta> for Changes {
    fn from(delta: Delta) -> Changes {
        let copy = |records| Excerpt { batch: Batch { records, whole_before: None }, age: None };
        Changes { declarations: copy(delta.declarations), listing: copy(delta.listing) }
    }
}

pub(super) mod service {
    use cuminward_serving::id;

    use super::{Changes, Delta, Known};

    #[tarpc::service]
    pub trait AntiEntropy {
        /// Returns the records since those that the other node has. Answered for nodes of earlier builds.
        async fn records_since(known: Known) -> Delta;
        /// Returns what the other node lacks, and how old it is.
        async fn changes_since(known: Known) -> Changes;
        /// Counts a retry of a request for a service, if one is allowed, which the other node makes in place of this
        /// one. Returns whether it is.
        async fn lend_retry(service: id::Service) -> bool;
        /// Returns what [`AntiEntropy::changes_since`] does, encoded and compressed: the entries of hosts resemble each
        /// other.
        async fn packed_changes_since(known: Known) -> Vec<u8>;
    }
}

use service::AntiEntropy;

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

    async fn changes_since(self, _: context::Context, known: Known) -> Changes {
        self.changes(known, MAX_LISTING_BYTES)
    }

    async fn lend_retry(self, _: context::Context, service: id::Service) -> bool {
        self.state.lend_retry(&service)
    }

    async fn packed_changes_since(self, _: context::Context, known: Known) -> Vec<u8> {
        pack(&self.changes(known, MAX_PACKED_LISTING_BYTES))
    }
}

/// Access
impl Server {
    /// Returns what another node lacks, with up to `max_bytes` of the host list.
    fn changes(&self, known: Known, max_bytes: usize) -> Changes {
        let cluster = self.state.cluster();
        let now = self.state.now();
        let declarations = cluster.declarations.batch_since(known.declarations, known.version);
        let mut listing = cluster.host_list.batch_since(known.listing);
        let mut listing_age = cluster.freshness.listing.age(now);
        if listing.as_mut().is_some_and(|it| it.truncate(max_bytes)) {
            listing_age = listing_age.map(|it| it.max(UNKNOWN_AGE));
        }
        Changes {
            declarations: Excerpt::new(declarations, cluster.freshness.declarations.age(now)),
            listing: Excerpt::new(listing, listing_age),
        }
    }
}

/// Encodes and compresses an answer.
fn pack(changes: &Changes) -> Vec<u8> {
    let bytes = bincode::serialize(changes).expect("records and numbers have an encoding");
    lz4_flex::compress_prepend_size(&bytes)
}

/// Decompresses and decodes an answer.
///
/// # Errors
///
/// Fails if the bytes aren't those of an answer, or of one that is too large.
fn unpack(bytes: &[u8]) -> io::Result<Changes> {
    let (size, packed) = lz4_flex::block::uncompressed_size(bytes).map_err(io::Error::other)?;
    if size > MAX_UNPACKED_BYTES {
        return Err(io::Error::other("the answer is too large"));
    }
    let bytes = lz4_flex::decompress(packed, size).map_err(io::Error::other)?;
    bincode::deserialize(&bytes).map_err(io::Error::other)
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
    let mut fetcher =
        Fetcher { state, peers, clients: Clients::default(), former_builds: HashMap::new() };
    let mut is_lagging = false;
    loop {
        if fetcher.state.election.is_observer() {
            let is_deep = fetcher.state.election.depth() > 1;
            time::sleep(if is_deep { DEEP_FETCH_INTERVAL } else { FETCH_INTERVAL }).await;
            fetcher.fetch_from_source().await;
            continue;
        }
        time::sleep(COMPARE_INTERVAL).await;
        let source = find_newer_peer(&fetcher.state, &fetcher.peers);
        // A node that reads the store itself catches up soon, so it fetches only if it lags behind
        // twice in a row.
        let is_due = is_lagging && source.is_some();
        is_lagging = source.is_some();
        let Some(address) = source.filter(|_| is_due) else { continue };
        let call = Call::new(&fetcher.state);
        if let Some(changes) = fetcher.fetch(address, call).await {
            emit_fetched(&fetcher.state, address, &changes);
            apply(&fetcher.state, call, changes);
        }
    }
}

/// A call to another node.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// When it is sent, since this node's start.
    sent_at: Duration,
    /// What this node has then.
    known: Known,
}

/// Life cycle
impl Call {
    fn new(state: &State) -> Call {
        Call { sent_at: state.now(), known: own_knowledge(state) }
    }
}

/// Client of the other nodes.
struct Fetcher {
    state: Arc<State>,
    peers: Arc<Peers>,
    clients: Clients,
    /// Nodes that count as ones of an earlier build, with the time until which they do.
    former_builds: HashMap<SocketAddr, Duration>,
}

/// Mutation
impl Fetcher {
    /// Fetches from a random one of the nodes of the failure domain that this one fetches from.
    async fn fetch_from_source(&mut self) {
        let sources = self.peers.sources(&self.state);
        if sources.is_empty() {
            return;
        }
        let source = sources[rand::random_range(0..sources.len())];
        for _ in 0..MAX_CALLS_IN_A_ROW {
            let call = Call::new(&self.state);
            let Some(changes) = self.fetch(source, call).await else { return };
            let is_cut = changes.listing.age.is_some_and(|it| it >= UNKNOWN_AGE);
            apply(&self.state, call, changes);
            if !is_cut {
                return;
            }
        }
    }

    async fn fetch(&mut self, address: SocketAddr, call: Call) -> Option<Changes> {
        let now = call.sent_at;
        self.former_builds.retain(|_, until| *until > now);
        let is_former = self.former_builds.contains_key(&address);
        if self.peers.has_feature(address, feature::PACKED_CHANGES) {
            return self.fetch_packed(address, call).await;
        }
        let fetched = self.clients.call(address, CALL_TIMEOUT, |client| async move {
            if is_former {
                return client
                    .records_since(context::current(), call.known)
                    .await
                    .map(Changes::from);
            }
            client.changes_since(context::current(), call.known).await
        });
        match fetched.await {
            Ok(changes) => Some(changes),
            Err(error) => {
                log::debug!("can't fetch records from node {address}: {error}");
                if !self.peers.has_feature(address, feature::CHANGES_SINCE) {
                    self.former_builds.entry(address).or_insert(now + FORMER_BUILD_TIME);
                }
                None
            }
        }
    }
}

/// Access
impl Fetcher {
    async fn fetch_packed(&self, address: SocketAddr, call: Call) -> Option<Changes> {
        let fetched = self.clients.call(address, CALL_TIMEOUT, |client| async move {
            client.packed_changes_since(context::current(), call.known).await
        });
        let changes = fetched.await.and_then(|bytes| unpack(&bytes));
        if let Err(error) = &changes {
            log::debug!("can't fetch records from node {address}: {error}");
        }
        changes.ok()
    }
}

/// Returns the address of the node with the newest records, if its declarations are newer than those of
/// this node or its host list is ahead: by more than [`MAX_HOST_LIST_LAG`], or at all if this node can't read it.
fn find_newer_peer(state: &State, peers: &Peers) -> Option<SocketAddr> {
    let own = own_knowledge(state);
    let max_lag = if is_cut_off(state) { 0 } else { MAX_HOST_LIST_LAG };
    let fresh = peers.recently_seen(state.now()).into_iter();
    let others = fresh.filter_map(|it| Some((it.digest?.known, it.address)));
    let newer = others.filter(|(other, _)| {
        other.version > own.version
            || other.declarations > own.declarations
            || is_behind(own.listing, other.listing, max_lag)
    });
    newer.max_by_key(|(other, _)| *other).map(|(_, address)| address)
}

/// Returns whether this node hasn't read the host list for long. One that has read it and defers deletions, since
/// the store was away, doesn't take them from others instead.
fn is_cut_off(state: &State) -> bool {
    let cluster = state.cluster();
    cluster.freshness.listing.is_stale(state.now()) && !cluster.host_list.is_withholding()
}

/// Returns whether a host list that ends at `own` lags behind one that ends at `other` by more than `max_lag`
/// records.
fn is_behind(own: Position, other: Position, max_lag: id::Offset) -> bool {
    other.era > own.era || other.era == own.era && other.offset > own.offset + max_lag
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

fn emit_fetched(state: &State, address: SocketAddr, changes: &Changes) {
    state.events.emit(Kind::StateFetched {
        address: address.to_string(),
        declarations: changes.declarations.batch.records.len() as u64,
        hosts: changes.listing.batch.records.len() as u64,
    });
}

/// Applies what another node answered to a call.
fn apply(state: &State, call: Call, changes: Changes) {
    let now = state.now();
    let Changes { declarations, listing } = changes;
    let mut cluster = state.cluster();
    if declarations.age.is_some() {
        cluster.declarations.release_since(call.known.declarations);
    }
    if listing.age.is_some() {
        cluster.host_list.release_since(call.known.listing);
    }
    let is_changed = if declarations.age.is_none() && listing.age.is_none() {
        cluster.apply_incomplete(now, declarations.batch, listing.batch)
    } else {
        let is_changed = cluster.apply_declarations(now, declarations.batch);
        cluster.apply_listing(now, listing.batch) | is_changed
    };
    let complete_at = |age: Option<Duration>| age.and_then(|it| call.sent_at.checked_sub(it));
    if let Some(at) = complete_at(declarations.age) {
        cluster.confirm_declarations(at);
    }
    if let Some(at) = complete_at(listing.age) {
        cluster.confirm_listing(at);
    }
    drop(cluster);
    if is_changed {
        state.publish();
    }
}
