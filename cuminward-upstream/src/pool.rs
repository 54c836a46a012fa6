//! Pool of connections to upstreams, keyed by address.
//!
//! The pool is split into shards by address, so that no lock is shared by all requests. A
//! connection returns to the pool only after a response that was read to its end and refuses
//! nothing; otherwise it is discarded, and the next request opens a new one. So whoever doesn't
//! trust a response drops it unread. A refusal may come twice, with the id of its request. Its copy
//! would be taken for the response to the next request on the connection, or to the same request
//! if that is sent again.
//!
//! An upstream may drop an idle connection without notice, which shows only when the next request on it
//! fails. Such a stale connection tells that others which were idle for as long are stale too, so these are
//! closed, and for a while connections to the address are used only if they were idle for a shorter time.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use derive_builder::Builder;
use http::{Request, Response, StatusCode};
use tokio::time;

use crate::{
    body::{Body, Framing},
    connection::{Cause, Connection, Payload, Protocol},
    connector::{Connector, Direct},
    count::Counter,
    discard,
    error::Error,
    idle,
};

/// Number of shards, each with its own lock.
const SHARDS: usize = 64;

/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 32;

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// HTTP version.
    pub protocol: Protocol,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from a request to its response head, unless the call sets another.
    pub header_timeout: Duration,
    /// Maximum time between bytes of a response body.
    pub read_timeout: Duration,
    /// Idle time after which a pooled connection is no longer used.
    pub idle_timeout: Duration,
    /// Same as `idle_timeout`, for requests that must not be repeated.
    pub idle_timeout_unsafe: Duration,
    /// Interval between pings on HTTP/2 connections.
    pub ping_interval: Duration,
    /// Maximum time to wait for the response to a ping.
    pub ping_timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            protocol: Protocol::Http1,
            connect_timeout: Duration::from_secs(1),
            header_timeout: Duration::from_secs(10),
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            idle_timeout_unsafe: Duration::from_secs(1),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
        }
    }
}

/// Pool of connections to upstreams; clones share its connections.
pub struct Pool<B, C = Direct> {
    inner: Arc<Inner<B>>,
    connector: C,
}

impl<B, C: Clone> Clone for Pool<B, C> {
    fn clone(&self) -> Pool<B, C> {
        Pool { inner: Arc::clone(&self.inner), connector: self.connector.clone() }
    }
}

struct Inner<B> {
    options: Options,
    hasher: RandomState,
    shards: Vec<Mutex<Shard<B>>>,
    opened: AtomicU64,
    discards: discard::Counter,
    counter: Arc<Counter>,
}

type Shard<B> = HashMap<String, Peer<B>>;

/// What the pool holds for one address.
struct Peer<B> {
    /// Idle connections, the most recently used one last.
    connections: Vec<Connection<B>>,
    idle_limit: idle::Limit,
}

impl<B> Default for Peer<B> {
    fn default() -> Peer<B> {
        Peer { connections: Vec::new(), idle_limit: idle::Limit::default() }
    }
}

/// Whether a request is sent now that a connection is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ready {
    /// It is sent.
    Send,
    /// Its time, or that of the choice of its upstream, has passed; it isn't sent.
    Expired,
}

/// A failed call, with its request if no byte of it was written.
#[derive(Debug)]
pub struct Failure<B> {
    /// Why the call failed.
    pub error: Error,
    /// The request, which can be sent to another upstream.
    pub request: Option<Request<B>>,
    /// For how long the connection had been idle, if it was stale: kept from an earlier request, and closed before
    /// any byte of the response arrived. Most probably the upstream had dropped it before the request reached it, but
    /// the request may have run.
    pub stale_after: Option<Duration>,
}

/// A connection in use for one request; returns to the pool when it is released.
pub(crate) struct Lease<B> {
    pool: Arc<Inner<B>>,
    address: String,
    connection: Option<Connection<B>>,
    /// Whether the response is a refusal.
    is_refused: bool,
}

/// Life cycle
impl<B: Payload> Pool<B> {
    /// Creates an empty pool that connects over TCP.
    pub fn new(options: Options) -> Pool<B> {
        Pool::with_connector(options, Direct)
    }
}

/// Life cycle
impl<B: Payload, C: Connector> Pool<B, C> {
    /// Creates an empty pool.
    pub fn with_connector(options: Options, connector: C) -> Pool<B, C> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let inner = Inner {
            options,
            hasher: RandomState::new(),
            shards,
            opened: AtomicU64::new(0),
            discards: discard::Counter::default(),
            counter: Arc::default(),
        };
        Pool { inner: Arc::new(inner), connector }
    }
}

/// Access
impl<B: Payload, C: Connector> Pool<B, C> {
    /// Returns the connector.
    pub fn connector(&self) -> &C {
        &self.connector
    }

    /// Closes the idle connections to an address.
    pub fn discard_idle(&self, address: &str) {
        if let Some(peer) = self.inner.shard(address).get_mut(address) {
            abort_idle(&mut peer.connections);
        }
    }

    /// Closes the idle connections to all addresses.
    pub fn discard_all_idle(&self) {
        for shard in &self.inner.shards {
            lock(shard).values_mut().for_each(|it| abort_idle(&mut it.connections));
        }
    }

    /// Returns the settings of the pool.
    pub fn options(&self) -> &Options {
        &self.inner.options
    }

    /// Returns the number of attempts to open a connection, failed ones included.
    pub fn opened(&self) -> u64 {
        self.inner.opened.load(Ordering::Relaxed)
    }

    /// Returns whether the pool holds an open connection to an address that was idle for at most
    /// `idle_timeout`, and not for as long as one that turned out stale lately.
    pub fn has_idle(&self, address: &str, idle_timeout: Duration) -> bool {
        let now = Instant::now();
        let shard = self.inner.shard(address);
        let Some(peer) = shard.get(address) else { return false };
        let newest = peer.connections.last();
        newest.is_some_and(|it| !it.is_closed() && peer.is_fresh(it, idle_timeout, now))
    }

    /// Returns the counter of bytes sent and received on all connections.
    pub fn counter(&self) -> &Counter {
        &self.inner.counter
    }

    /// Returns the number of connections discarded because the upstream sent nothing in time.
    pub fn timeouts(&self) -> u64 {
        self.inner.discards.count(discard::Cause::Timeout)
    }

    /// Returns the counter of connections that weren't kept for further requests.
    pub fn discards(&self) -> &discard::Counter {
        &self.inner.discards
    }

    /// Sends a request and waits for the response head.
    ///
    /// Connections that were idle for longer than `idle_timeout`, or for as long as one to the same address that
    /// turned out stale lately, are not reused. `header_timeout` is the maximum time to the response head. If a reused
    /// connection turns out to be closed before any byte of the request was written, the request is sent on another
    /// one.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`], [`Error::Disconnected`] and [`Error::Timeout`].
    pub async fn send(
        &self,
        address: &str,
        request: Request<B>,
        idle_timeout: Duration,
        header_timeout: Duration,
    ) -> Result<Response<Body<B>>, Failure<B>> {
        self.send_with(address, request, idle_timeout, header_timeout, |_| Ready::Send).await
    }

    /// Sends a request as [`Pool::send`] does, after `prepare` has completed it. Opening a connection may take
    /// long; what depends on the time, such as the time that is left, is to be set in `prepare`.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`]; [`Error::Timeout`] with the request if `prepare` finds it expired.
    pub async fn send_with(
        &self,
        address: &str,
        request: Request<B>,
        idle_timeout: Duration,
        header_timeout: Duration,
        prepare: impl Fn(&mut Request<B>) -> Ready + Send,
    ) -> Result<Response<Body<B>>, Failure<B>> {
        let mut request = request;
        loop {
            let mut lease = match self.checkout(address, idle_timeout).await {
                Ok(it) => it,
                Err(error) => return Err(Failure::unsent(error, request)),
            };
            if prepare(&mut request) == Ready::Expired {
                lease.release();
                let error = Error::Timeout { tokens: 0, limit: header_timeout };
                return Err(Failure::unsent(error, request));
            }
            let reused = lease.connection().reused;
            let idle = lease.connection().last_used.elapsed();
            let sending = lease.connection().send(address, request);
            let Ok(sent) = time::timeout(header_timeout, sending).await else {
                lease.discard_timed_out();
                return Err(Failure::timed_out(header_timeout));
            };
            let mut error = match sent {
                // The lease is dropped, so that the connection carries nothing further.
                Ok(response) if !is_final(response.status()) => {
                    return Err(Failure::false_status(response.status()));
                }
                Ok(response) => {
                    if is_refusal(response.status()) {
                        lease.record_refusal();
                    }
                    let read_timeout = self.inner.options.read_timeout;
                    let framing = Framing::from_head(&response);
                    return Ok(response.map(|it| Body::new(it, framing, lease, read_timeout)));
                }
                Err(it) => it,
            };
            let Some(unsent) = error.take_message() else {
                let stale_after = lease.is_stale().then_some(idle);
                if stale_after.is_some() {
                    lease.discard_stale(idle);
                }
                return Err(Failure::disconnected(&error.into_error(), stale_after));
            };
            if !reused {
                let cause = Cause::from(error.into_error());
                return Err(Failure::unsent(cause.into_error(address), unsent));
            }
            request = unsent;
        }
    }

    /// Takes a connection from the pool or opens a new one.
    async fn checkout(&self, address: &str, idle_timeout: Duration) -> Result<Lease<B>, Error> {
        while let Some(mut pooled) = self.inner.take(address, idle_timeout) {
            if pooled.ready().await {
                return Ok(self.inner.lease(address, pooled));
            }
            pooled.abort();
        }
        let number = self.inner.opened.fetch_add(1, Ordering::Relaxed);
        let connection = Connection::open(
            &self.connector,
            address,
            &self.inner.options,
            number,
            &self.inner.counter,
        )
        .await
        .map_err(|cause| cause.into_error(address))?;
        if let Some(shared) = connection.share() {
            self.inner.put(address, shared);
        }
        Ok(self.inner.lease(address, connection))
    }
}

impl<B: Payload> Inner<B> {
    fn lease(self: &Arc<Self>, address: &str, connection: Connection<B>) -> Lease<B> {
        Lease {
            pool: Arc::clone(self),
            address: address.to_owned(),
            connection: Some(connection),
            is_refused: false,
        }
    }

    /// Takes the most recently used connection, unless it was idle for longer than `idle_timeout`, or for as long as
    /// one that turned out stale. A connection that can be shared stays in the pool.
    fn take(&self, address: &str, idle_timeout: Duration) -> Option<Connection<B>> {
        let now = Instant::now();
        let mut shard = self.shard(address);
        let peer = shard.get_mut(address)?;
        peer.connections.retain(|it| !it.is_closed());
        if let Some(shared) = peer.connections.last()?.share() {
            return Some(shared);
        }
        if !peer.is_fresh(peer.connections.last()?, idle_timeout, now) {
            peer.remove_idle(self.options.idle_timeout, now);
            return None;
        }
        peer.connections.pop()
    }
}

/// Access
impl<B> Peer<B> {
    /// Returns whether a connection was idle for at most `idle_timeout`, and for a shorter time than those that turned
    /// out stale.
    fn is_fresh(&self, connection: &Connection<B>, idle_timeout: Duration, now: Instant) -> bool {
        let idle = now.saturating_duration_since(connection.last_used);
        idle <= idle_timeout && self.idle_limit.allows(idle, now)
    }
}

/// Mutation
impl<B> Peer<B> {
    /// Removes the connections that were idle for longer than `idle_timeout`, or for as long as those that turned out
    /// stale.
    fn remove_idle(&mut self, idle_timeout: Duration, now: Instant) {
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain(|it| self.is_fresh(it, idle_timeout, now));
        self.connections = connections;
    }
}

impl<B> Inner<B> {
    fn put(&self, address: &str, connection: Connection<B>) {
        let mut shard = self.shard(address);
        let connections = &mut shard.entry(address.to_owned()).or_default().connections;
        connections.push(connection);
        if connections.len() > MAX_IDLE {
            connections.remove(0);
        }
    }

    fn remove(&self, address: &str, number: u64) {
        if let Some(peer) = self.shard(address).get_mut(address) {
            peer.connections.retain(|it| it.number != number);
        }
    }

    /// Records that a connection to an address was stale after it had been idle for a time, and removes the others that
    /// were idle for as long.
    fn record_stale(&self, address: &str, idle: Duration) {
        self.discards.record(discard::Cause::Stale);
        let now = Instant::now();
        if let Some(peer) = self.shard(address).get_mut(address) {
            peer.idle_limit.record_stale(idle, now);
            peer.remove_idle(self.options.idle_timeout, now);
        }
    }

    fn shard(&self, address: &str) -> MutexGuard<'_, Shard<B>> {
        let index = self.hasher.hash_one(address) as usize % self.shards.len();
        lock(&self.shards[index])
    }
}

/// Returns whether a status is one with which HTTP ends a request: not informational, as 101 for an upgrade that nobody
/// asked for, and none beyond its classes.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response with this status refuses its request, so that a copy of it may follow.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Closes connections except those that several requests share.
fn abort_idle<B>(connections: &mut Vec<Connection<B>>) {
    connections.retain(|it| {
        if !it.is_shared() {
            it.abort();
        }
        it.is_shared()
    });
}

fn lock<B>(shard: &Mutex<Shard<B>>) -> MutexGuard<'_, Shard<B>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<B> Lease<B> {
    /// Returns the connection to the pool after a complete response, unless that is a refusal.
    pub(crate) fn release(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if connection.is_shared() {
            return;
        }
        if self.is_refused {
            self.pool.discards.record(discard::Cause::Refusal);
        }
        if self.is_refused || !connection.is_reusable {
            connection.abort();
            return;
        }
        connection.last_used = Instant::now();
        connection.reused = true;
        self.pool.put(&self.address, connection);
    }

    /// Returns whether the connection may carry further requests.
    pub(crate) fn is_reusable(&self) -> bool {
        self.connection.as_ref().is_some_and(|it| it.is_reusable)
    }

    /// Returns whether the connection has carried an earlier request.
    pub(crate) fn is_kept(&self) -> bool {
        self.connection.as_ref().is_some_and(|it| it.reused)
    }

    /// Returns whether the connection was kept from an earlier request and has received no byte of the response to this
    /// one. On a shared connection, that isn't known.
    fn is_stale(&self) -> bool {
        let is_unanswered = |it: &Connection<B>| it.reused && !it.is_shared() && !it.has_received();
        self.connection.as_ref().is_some_and(is_unanswered)
    }

    /// Records that a part of the response arrived.
    pub(crate) fn record_part(&self) {
        if let Some(connection) = &self.connection {
            connection.record_part();
        }
    }

    /// Records that the response is a refusal, after which the connection carries no further request. The streams
    /// of a shared connection have ids of their own, so that a copy can't be taken for another response there.
    pub(crate) fn record_refusal(&mut self) {
        self.is_refused = true;
    }

    /// Discards the connection because the upstream sent nothing in time. Other requests on a
    /// shared connection continue, but new requests open another one.
    pub(crate) fn discard_timed_out(&mut self) {
        self.pool.discards.record(discard::Cause::Timeout);
        let Some(connection) = self.connection.take() else { return };
        self.pool.remove(&self.address, connection.number);
        if !connection.is_shared() {
            connection.abort();
        }
    }

    /// Discards the connection, which was stale after it had been idle for a time.
    fn discard_stale(&mut self, idle: Duration) {
        let Some(connection) = self.connection.take() else { return };
        connection.abort();
        self.pool.record_stale(&self.address, idle);
    }
}

impl<B: Payload> Lease<B> {
    fn connection(&mut self) -> &mut Connection<B> {
        self.connection
            .as_mut()
            .expect("a lease holds its connection until it is released or discarded")
    }
}

impl<B> Drop for Lease<B> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take()
            && !connection.is_shared()
        {
            let cause =
                if self.is_refused { discard::Cause::Refusal } else { discard::Cause::Unread };
            self.pool.discards.record(cause);
            connection.abort();
        }
    }
}

/// Life cycle
impl<B> Failure<B> {
    fn unsent(error: Error, request: Request<B>) -> Failure<B> {
        Failure { error, request: Some(request), stale_after: None }
    }

    fn timed_out(limit: Duration) -> Failure<B> {
        let error = Error::Timeout { tokens: 0, limit };
        Failure { error, request: None, stale_after: None }
    }

    fn false_status(status: StatusCode) -> Failure<B> {
        let message = format!("{} isn't the status of a response", status.as_str());
        let error = Error::Malformed { tokens: 0, message };
        Failure { error, request: None, stale_after: None }
    }

    fn disconnected(error: &hyper::Error, stale_after: Option<Duration>) -> Failure<B> {
        let error = Error::Disconnected { message: error.to_string() };
        Failure { error, request: None, stale_after }
    }
}
