//! Connections to upstreams, kept for each address.
//!
//! The pool is split into shards by address, so that no lock is shared by all requests. A connection
//! goes back only after a complete reply; one that failed or went silent is given up, and the next
//! request makes a new one.

use std::{
    collections::{HashMap, hash_map},
    hash::{BuildHasher, RandomState},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use derive_builder::Builder;
use http::{Request, Response};
use tokio::time;

use crate::{
    body::Body,
    connection::{Connection, Payload, Protocol},
    count::Counter,
    error::Error,
};

/// Parts of the pool with a lock of their own.
const SHARDS: usize = 64;

/// Idle connections kept for one address.
const MAX_IDLE: usize = 32;

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// HTTP version.
    pub protocol: Protocol,
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time from a request to the head of its answer, where the call names no other.
    pub header_timeout: Duration,
    /// Longest time between bytes of a reply.
    pub read_timeout: Duration,
    /// Longest time that a kept connection may have been idle.
    pub idle_timeout: Duration,
    /// The same for requests that may not be repeated.
    pub idle_timeout_unsafe: Duration,
    /// Time between pings on HTTP/2 connections.
    pub ping_interval: Duration,
    /// Longest time for the answer to a ping.
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

/// Connections of one kind of client.
pub struct Pool<B> {
    inner: Arc<Inner<B>>,
}

impl<B> Clone for Pool<B> {
    fn clone(&self) -> Pool<B> {
        Pool { inner: Arc::clone(&self.inner) }
    }
}

struct Inner<B> {
    options: Options,
    hasher: RandomState,
    shards: Vec<Mutex<Shard<B>>>,
    opened: AtomicU64,
    timeouts: AtomicU64,
    counter: Arc<Counter>,
}

type Shard<B> = HashMap<String, Vec<Connection<B>>>;

/// A failed request, with the request itself if no byte of it was written.
#[derive(Debug)]
pub struct Failure<B> {
    /// What failed.
    pub error: Error,
    /// The request, which can be sent to another upstream.
    pub request: Option<Request<B>>,
}

/// A connection in use for one request.
pub(crate) struct Lease<B> {
    pool: Arc<Inner<B>>,
    address: String,
    connection: Option<Connection<B>>,
}

/// Life cycle
impl<B: Payload> Pool<B> {
    /// Makes an empty pool.
    pub fn new(options: Options) -> Pool<B> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let inner = Inner {
            options,
            hasher: RandomState::new(),
            shards,
            opened: AtomicU64::new(0),
            timeouts: AtomicU64::new(0),
            counter: Arc::default(),
        };
        Pool { inner: Arc::new(inner) }
    }
}

/// Access
impl<B: Payload> Pool<B> {
    /// Settings of the pool.
    pub fn options(&self) -> &Options {
        &self.inner.options
    }

    /// Number of connections that were opened.
    pub fn opened(&self) -> u64 {
        self.inner.opened.load(Ordering::Relaxed)
    }

    /// Counts of octets.
    pub fn counter(&self) -> &Counter {
        &self.inner.counter
    }

    /// Number of connections that were given up because they were silent.
    pub fn timeouts(&self) -> u64 {
        self.inner.timeouts.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// `idle` bounds how long a kept connection may have been idle, `head` the time to the answer's
    /// head. A request whose kept connection turns out to be closed before any byte was written is
    /// sent on another one.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`], [`Error::Disconnected`] and [`Error::Timeout`].
    pub async fn send(
        &self,
        address: &str,
        request: Request<B>,
        idle: Duration,
        head: Duration,
    ) -> Result<Response<Body<B>>, Failure<B>> {
        let mut request = request;
        loop {
            let mut lease = match self.lease(address, idle).await {
                Ok(it) => it,
                Err(error) => return Err(Failure { error, request: Some(request) }),
            };
            let reused = lease.connection().reused;
            let sending = lease.connection().send(address, request);
            let Ok(sent) = time::timeout(head, sending).await else {
                lease.discard_timed_out();
                return Err(Failure::timed_out(head));
            };
            let mut error = match sent {
                Ok(response) => {
                    let read_timeout = self.inner.options.read_timeout;
                    return Ok(response.map(|it| Body::new(it, lease, read_timeout)));
                }
                Err(it) => it,
            };
            let Some(unsent) = error.take_message() else {
                return Err(Failure::disconnected(&error.into_error()));
            };
            if !reused {
                let message = error.into_error().to_string();
                let error = Error::Connect { address: address.to_owned(), message };
                return Err(Failure { error, request: Some(unsent) });
            }
            request = unsent;
        }
    }

    /// Takes a kept connection or makes a new one.
    async fn lease(&self, address: &str, idle: Duration) -> Result<Lease<B>, Error> {
        while let Some(mut kept) = self.inner.take(address, idle) {
            if kept.ready().await {
                return Ok(self.inner.lease(address, kept));
            }
            kept.abort();
        }
        let number = self.inner.opened.fetch_add(1, Ordering::Relaxed);
        let connection =
            Connection::open(address, &self.inner.options, number, &self.inner.counter)
                .await
                .map_err(|message| Error::Connect { address: address.to_owned(), message })?;
        if let Some(shared) = connection.share() {
            self.inner.put(address, shared);
        }
        Ok(self.inner.lease(address, connection))
    }
}

impl<B: Payload> Inner<B> {
    fn lease(self: &Arc<Self>, address: &str, connection: Connection<B>) -> Lease<B> {
        Lease { pool: Arc::clone(self), address: address.to_owned(), connection: Some(connection) }
    }

    /// Takes the connection that was used last, unless it was idle for too long.
    fn take(&self, address: &str, idle: Duration) -> Option<Connection<B>> {
        let mut shard = self.shard(address);
        let kept = shard.get_mut(address)?;
        kept.retain(|it| !it.is_closed());
        let last = kept.last_mut()?;
        if let Some(shared) = last.share() {
            return Some(shared);
        }
        if last.used.elapsed() > idle {
            kept.retain(|it| it.used.elapsed() <= self.options.idle_timeout);
            return None;
        }
        kept.pop()
    }
}

impl<B> Inner<B> {
    fn put(&self, address: &str, connection: Connection<B>) {
        let mut shard = self.shard(address);
        let kept = match shard.entry(address.to_owned()) {
            hash_map::Entry::Occupied(it) => it.into_mut(),
            hash_map::Entry::Vacant(it) => it.insert(Vec::new()),
        };
        kept.push(connection);
        if kept.len() > MAX_IDLE {
            kept.remove(0);
        }
    }

    fn remove(&self, address: &str, number: u64) {
        if let Some(kept) = self.shard(address).get_mut(address) {
            kept.retain(|it| it.number != number);
        }
    }

    fn shard(&self, address: &str) -> std::sync::MutexGuard<'_, Shard<B>> {
        let index = self.hasher.hash_one(address) as usize % self.shards.len();
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<B> Lease<B> {
    /// Gives the connection back after a complete reply.
    pub(crate) fn release(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if connection.is_shared() {
            return;
        }
        connection.used = Instant::now();
        connection.reused = true;
        self.pool.put(&self.address, connection);
    }

    /// Gives up the connection because no byte arrived in time. Other requests on a shared
    /// connection go on; new ones get a new connection.
    pub(crate) fn discard_timed_out(&mut self) {
        self.pool.timeouts.fetch_add(1, Ordering::Relaxed);
        let Some(connection) = self.connection.take() else { return };
        self.pool.remove(&self.address, connection.number);
        if !connection.is_shared() {
            connection.abort();
        }
    }
}

impl<B: Payload> Lease<B> {
    fn connection(&mut self) -> &mut Connection<B> {
        self.connection.as_mut().expect("a lease holds its connection until it is given back")
    }
}

impl<B> Drop for Lease<B> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take()
            && !connection.is_shared()
        {
            connection.abort();
        }
    }
}

/// Life cycle
impl<B> Failure<B> {
    fn timed_out(bound: Duration) -> Failure<B> {
        Failure { error: Error::Timeout { tokens: 0, limit: bound }, request: None }
    }

    fn disconnected(error: &hyper::Error) -> Failure<B> {
        Failure { error: Error::Disconnected { message: error.to_string() }, request: None }
    }
}
