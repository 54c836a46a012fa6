//! Client for calls to other nodes.
//!
//! The pool keeps one connection to each node and opens it on the first call. After a failed attempt
//! to connect, calls fail immediately during an exponential backoff. A call that times out, or whose
//! connection fails, drops the connection, so that the next call opens a new one.

use std::{
    collections::BTreeMap,
    fmt,
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cuminward_core::id;
use cuminward_once::{claim, key, reply};
use derive_builder::Builder;
use tarpc::{
    ClientMessage, Response,
    client::{self, RpcError},
    context::{self, Context},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{sync, time};

use crate::{
    count::{self, Counter},
    handshake::{self, Secret},
    message, server,
    service::{PeerClient, PeerRequest, PeerResponse},
    stream::Connect,
};

/// Settings of the client.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Timeout of a connection attempt, including the handshake.
    pub connect_timeout: Duration,
    /// Timeout of a call, unless the call has its own.
    pub call_timeout: Duration,
    /// Backoff after the first failed attempt to connect; doubles with each further failure.
    pub backoff: Duration,
    /// Longest backoff after failed attempts to connect.
    pub max_backoff: Duration,
    /// Largest frame, in bytes.
    pub max_frame: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            max_frame: server::MAX_FRAME,
        }
    }
}

/// Error of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The node isn't in the pool.
    UnknownNode,
    /// The node can't be connected to; the call was not sent.
    Unreachable {
        /// Cause.
        message: String,
    },
    /// No response arrived before the deadline; the call may have taken effect.
    Timeout,
    /// The connection or the server failed during the call; the call may have taken effect.
    Failed {
        /// Cause.
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownNode => f.write_str("the node is not in the pool"),
            Error::Unreachable { message } => write!(f, "can't connect: {message}"),
            Error::Timeout => f.write_str("the call timed out"),
            Error::Failed { message } => write!(f, "the call failed: {message}"),
        }
    }
}

impl std::error::Error for Error {}

/// Pool with one connection to each of the other nodes.
pub struct Pool<C> {
    connect: C,
    secret: Secret,
    options: Options,
    counter: Arc<Counter>,
    links: ArcSwap<BTreeMap<id::Node, Arc<Link>>>,
}

/// The connection to one node.
struct Link {
    address: String,
    client: ArcSwapOption<PeerClient>,
    /// Held while a connection is opened, so that concurrent calls share it.
    connecting: sync::Mutex<()>,
    backoff: Mutex<Backoff>,
}

/// Exponential backoff after failed attempts to connect.
struct Backoff {
    /// Delay after the next failure.
    delay: Duration,
    /// End of the current delay.
    until: Option<Instant>,
    /// Cause of the last failure.
    message: String,
}

/// Life cycle
impl<C: Connect> Pool<C> {
    /// Creates a pool without nodes.
    pub fn new(connect: C, secret: Secret, options: Options, counter: Arc<Counter>) -> Pool<C> {
        Pool { connect, secret, options, counter, links: ArcSwap::default() }
    }
}

/// Access
impl<C: Connect> Pool<C> {
    /// Returns the counters of bytes and calls.
    pub fn counter(&self) -> &Counter {
        &self.counter
    }

    /// Returns the names of the nodes.
    pub fn nodes(&self) -> Vec<id::Node> {
        self.links.load().keys().cloned().collect()
    }
}

/// Mutation
impl<C: Connect> Pool<C> {
    /// Replaces the nodes of the pool. Keeps the connections to nodes whose address doesn't change.
    pub fn set_nodes(&self, nodes: &BTreeMap<id::Node, String>) {
        let before = self.links.load();
        let link = |node: &id::Node, address: &String| match before.get(node) {
            Some(link) if link.address == *address => Arc::clone(link),
            _ => Arc::new(Link::new(address.clone(), &self.options)),
        };
        let links = nodes.iter().map(|(node, address)| (node.clone(), link(node, address)));
        self.links.store(Arc::new(links.collect()));
    }
}

/// Calls
impl<C: Connect> Pool<C> {
    /// See [`Peer::hello`](crate::service::Peer::hello).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn hello(&self, node: &str, hello: message::Hello) -> Result<message::Hello, Error> {
        self.call(node, self.options.call_timeout, |it, context| async move {
            it.hello(context, hello).await
        })
        .await
    }

    /// See [`Peer::farewell`](crate::service::Peer::farewell).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn farewell(&self, to: &str, ended: message::Shutdown) -> Result<(), Error> {
        self.call(to, self.options.call_timeout, |it, context| async move {
            it.farewell(context, ended).await
        })
        .await
    }

    /// See [`Peer::config`](crate::service::Peer::config).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn config(
        &self,
        node: &str,
        from: id::Revision,
        max: u32,
    ) -> Result<message::Config, Error> {
        self.call(node, self.options.call_timeout, |it, context| async move {
            it.config(context, from, max).await
        })
        .await
    }

    /// See [`Peer::observations`](crate::service::Peer::observations).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn observations(
        &self,
        node: &str,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> Result<message::Observations, Error> {
        self.call(node, self.options.call_timeout, |it, context| async move {
            it.observations(context, incarnation, since).await
        })
        .await
    }

    /// See [`Peer::admission`](crate::service::Peer::admission).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn admission(
        &self,
        node: &str,
        admission: message::Admission,
    ) -> Result<message::Admission, Error> {
        self.call(node, self.options.call_timeout, |it, context| async move {
            it.admission(context, admission).await
        })
        .await
    }

    /// See [`Peer::claim_keys`](crate::service::Peer::claim_keys).
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a request without a verdict must not run.
    pub async fn claim_keys(
        &self,
        node: &str,
        claims: Vec<claim::Claim>,
    ) -> Result<Vec<claim::Verdict>, Error> {
        self.call(node, claim::START_TIMEOUT, |it, context| async move {
            it.claim_keys(context, claims).await
        })
        .await
    }

    /// See [`Peer::reply`](crate::service::Peer::reply). `wait` is the timeout of the call, which
    /// bounds the wait for a running request.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn reply(
        &self,
        node: &str,
        hash: key::Hash,
        wait: Duration,
    ) -> Result<reply::Lookup, Error> {
        self.call(node, wait, |it, context| async move { it.reply(context, hash).await }).await
    }

    /// See [`Peer::events`](crate::service::Peer::events).
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn events(
        &self,
        node: &str,
        from: u64,
        max: u32,
        request: Option<id::Request>,
    ) -> Result<message::Events, Error> {
        self.call(node, self.options.call_timeout, |it, context| async move {
            it.events(context, from, max, request).await
        })
        .await
    }

    async fn call<T, F, R>(&self, node: &str, timeout: Duration, call: F) -> Result<T, Error>
    where
        F: FnOnce(Arc<PeerClient>, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let link = self.links.load().get(node).cloned().ok_or(Error::UnknownNode)?;
        self.counter.add_call();
        let result = self.call_link(&link, timeout, call).await;
        if result.is_err() {
            self.counter.add_failure();
        }
        result
    }

    async fn call_link<T, F, R>(&self, link: &Link, timeout: Duration, call: F) -> Result<T, Error>
    where
        F: FnOnce(Arc<PeerClient>, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(link).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let error = match call(Arc::clone(&client), context).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if !matches!(error, RpcError::Server(_)) {
            link.drop_client(&client);
        }
        Err(match error {
            RpcError::DeadlineExceeded => Error::Timeout,
            other => Error::Failed { message: other.to_string() },
        })
    }

    /// Returns the client of a connection; opens the connection if there is none.
    async fn client(&self, link: &Link) -> Result<Arc<PeerClient>, Error> {
        if let Some(client) = link.client.load_full() {
            return Ok(client);
        }
        let _connecting = link.connecting.lock().await;
        if let Some(client) = link.client.load_full() {
            return Ok(client);
        }
        link.check_backoff()?;
        match self.open(&link.address).await {
            Ok(client) => {
                let client = Arc::new(client);
                link.client.store(Some(Arc::clone(&client)));
                link.reset_backoff(self.options.backoff);
                Ok(client)
            }
            Err(message) => {
                link.back_off(&message, self.options.max_backoff);
                Err(Error::Unreachable { message })
            }
        }
    }

    /// Opens a connection and runs the handshake; the error is the cause of the failure.
    async fn open(&self, address: &str) -> Result<PeerClient, String> {
        let opening = async {
            let inner = self.connect.connect(address).await?;
            let mut stream = count::Stream { inner, counter: Arc::clone(&self.counter) };
            handshake::connect(&mut stream, &self.secret).await?;
            Ok::<_, handshake::Error>(stream)
        };
        let stream = time::timeout(self.options.connect_timeout, opening)
            .await
            .map_err(|_| String::from("the connection attempt timed out"))?
            .map_err(|it| it.to_string())?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(self.options.max_frame)
            .new_framed(stream);
        let transport = tarpc::serde_transport::new(
            codec,
            Bincode::<Response<PeerResponse>, ClientMessage<PeerRequest>>::default(),
        );
        Ok(PeerClient::new(client::Config::default(), transport).spawn())
    }
}

/// Life cycle
impl Link {
    fn new(address: String, options: &Options) -> Link {
        let backoff = Backoff { delay: options.backoff, until: None, message: String::new() };
        Link {
            address,
            client: ArcSwapOption::empty(),
            connecting: sync::Mutex::default(),
            backoff: Mutex::new(backoff),
        }
    }
}

/// Mutation
impl Link {
    /// Drops a failed connection, unless a new one has already replaced it.
    fn drop_client(&self, failed: &Arc<PeerClient>) {
        self.client.compare_and_swap(&Some(Arc::clone(failed)), None);
    }

    /// Fails with the cause of the last failed attempt to connect during the backoff after it.
    fn check_backoff(&self) -> Result<(), Error> {
        let backoff = self.backoff.lock().unwrap_or_else(PoisonError::into_inner);
        match backoff.until {
            Some(until) if Instant::now() < until => {
                Err(Error::Unreachable { message: backoff.message.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Starts a backoff after a failed attempt to connect and doubles the next delay.
    fn back_off(&self, message: &str, max: Duration) {
        let mut backoff = self.backoff.lock().unwrap_or_else(PoisonError::into_inner);
        backoff.until = Some(Instant::now() + backoff.delay);
        backoff.delay = (backoff.delay * 2).min(max);
        message.clone_into(&mut backoff.message);
    }

    /// Ends the backoff; the next one starts with `delay`.
    fn reset_backoff(&self, delay: Duration) {
        let mut backoff = self.backoff.lock().unwrap_or_else(PoisonError::into_inner);
        backoff.delay = delay;
        backoff.until = None;
    }
}
