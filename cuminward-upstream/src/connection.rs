//! One connection to an upstream.

use std::{
    error, io,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Request, Response, Uri, header, uri::PathAndQuery};
use http_body::Body;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{task, time};

use crate::{
    connector::{Connected, Connector},
    count,
    error::Error,
    pool,
};

/// Maximum time for a pooled connection to become ready for a request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a connection attempt failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Cause {
    message: String,
    /// Whether nothing accepts connections at the address.
    is_refused: bool,
}

impl From<io::Error> for Cause {
    fn from(it: io::Error) -> Cause {
        let is_refused = it.kind() == io::ErrorKind::ConnectionRefused;
        Cause { message: it.to_string(), is_refused }
    }
}

impl From<hyper::Error> for Cause {
    fn from(it: hyper::Error) -> Cause {
        Cause { message: it.to_string(), is_refused: false }
    }
}

/// Life cycle
impl Cause {
    fn timed_out(limit: Duration) -> Cause {
        let message = format!("no connection within {} ms", limit.as_millis());
        Cause { message, is_refused: false }
    }

    /// Returns the error of a call to an address.
    pub(crate) fn into_error(self, address: &str) -> Error {
        let Cause { message, is_refused } = self;
        Error::Connect { address: address.to_owned(), message, is_refused }
    }
}

/// Body of requests that a connection can send.
pub trait Payload:
    Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + Unpin + 'static
{
}

impl<T> Payload for T where
    T: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + Unpin + 'static
{
}

/// HTTP version used for an upstream.
#[cuminward_derive::value]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on a connection.
    Http1,
    /// HTTP/2 with prior knowledge: concurrent requests share a connection, which is checked with
    /// pings.
    Http2,
}

/// An open connection.
pub(crate) struct Connection<B> {
    sender: Sender<B>,
    /// Handle of the task that performs the connection's I/O.
    task: task::AbortHandle,
    /// Bytes received since the last part of a response; unused if requests share the connection.
    unused: Arc<count::Unused>,
    /// Number of the connection within its pool.
    pub(crate) number: u64,
    /// When the connection was opened or last returned to the pool.
    pub(crate) last_used: Instant,
    /// Whether the connection may carry further requests.
    pub(crate) is_reusable: bool,
    /// Whether the connection has carried an earlier request.
    pub(crate) reused: bool,
}

enum Sender<B> {
    Http1(http1::SendRequest<B>),
    Http2(http2::SendRequest<B>),
}

/// Life cycle
impl<B: Payload> Connection<B> {
    /// Opens a connection to an address within the connect timeout.
    pub(crate) async fn open<C: Connector>(
        connector: &C,
        address: &str,
        options: &pool::Options,
        number: u64,
        counter: &Arc<count::Counter>,
    ) -> Result<Connection<B>, Cause> {
        let unused = Arc::default();
        let handshake = Connection::handshake(connector, address, options, counter, &unused);
        let limit = options.connect_timeout;
        let opened = time::timeout(limit, handshake).await;
        let (sender, task, is_reusable) = opened.map_err(|_| Cause::timed_out(limit))??;
        let last_used = Instant::now();
        Ok(Connection { sender, task, unused, number, last_used, is_reusable, reused: false })
    }

    async fn handshake<C: Connector>(
        connector: &C,
        address: &str,
        options: &pool::Options,
        counter: &Arc<count::Counter>,
        unused: &Arc<count::Unused>,
    ) -> Result<(Sender<B>, task::AbortHandle, bool), Cause> {
        let Connected { stream, is_reusable } = connector.connect(address).await?;
        let counter = Arc::clone(counter);
        let unused = (options.protocol == Protocol::Http1).then(|| Arc::clone(unused));
        let io = TokioIo::new(count::Stream { inner: stream, counter, unused });
        match options.protocol {
            Protocol::Http1 => {
                let (sender, connection) = http1::handshake(io).await?;
                let task = tokio::spawn(connection).abort_handle();
                Ok((Sender::Http1(sender), task, is_reusable))
            }
            Protocol::Http2 => {
                let (sender, connection) = http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .keep_alive_interval(options.ping_interval)
                    .keep_alive_timeout(options.ping_timeout)
                    .keep_alive_while_idle(true)
                    .handshake(io)
                    .await?;
                let task = tokio::spawn(connection).abort_handle();
                Ok((Sender::Http2(sender), task, is_reusable))
            }
        }
    }

    /// Returns another handle of the connection, if its protocol lets requests share connections.
    pub(crate) fn share(&self) -> Option<Connection<B>> {
        match &self.sender {
            Sender::Http1(_) => None,
            Sender::Http2(sender) => Some(Connection {
                sender: Sender::Http2(sender.clone()),
                task: self.task.clone(),
                unused: Arc::clone(&self.unused),
                number: self.number,
                last_used: Instant::now(),
                is_reusable: self.is_reusable,
                reused: true,
            }),
        }
    }
}

/// Access
impl<B> Connection<B> {
    /// Returns whether the connection can carry several requests at once.
    pub(crate) fn is_shared(&self) -> bool {
        matches!(self.sender, Sender::Http2(_))
    }

    /// Returns whether the connection is known to be closed.
    pub(crate) fn is_closed(&self) -> bool {
        match &self.sender {
            Sender::Http1(it) => it.is_closed(),
            Sender::Http2(it) => it.is_closed(),
        }
    }

    /// Returns whether bytes have arrived since the last request was sent, or since the last part of its response.
    /// Always false if requests share the connection.
    pub(crate) fn has_received(&self) -> bool {
        !self.unused.is_empty()
    }

    /// Records that a head or a part of a body arrived, after which more bytes may follow.
    pub(crate) fn record_part(&self) {
        self.unused.reset();
    }

    /// Closes the connection at once.
    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

/// Mutation
impl<B: Payload> Connection<B> {
    /// Waits until the connection accepts a request; returns false if it is closed or not ready
    /// within [`READY_TIMEOUT`].
    pub(crate) async fn ready(&mut self) -> bool {
        let ready = async {
            match &mut self.sender {
                Sender::Http1(it) => it.ready().await,
                Sender::Http2(it) => it.ready().await,
            }
        };
        matches!(time::timeout(READY_TIMEOUT, ready).await, Ok(Ok(())))
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The connection failed; the error holds the request if no byte of it was written.
    pub(crate) async fn send(
        &mut self,
        address: &str,
        mut request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.unused.reset();
        match &mut self.sender {
            Sender::Http1(it) => {
                set_http1_target(&mut request, address);
                it.try_send_request(request).await
            }
            Sender::Http2(it) => {
                set_http2_target(&mut request, address);
                it.try_send_request(request).await
            }
        }
    }
}

/// Returns the path and query of a URI. An empty path becomes `/`, also before a query.
fn path_and_query(uri: &Uri) -> PathAndQuery {
    let Some(target) = uri.path_and_query() else { return PathAndQuery::from_static("/") };
    if !target.as_str().starts_with('?') {
        return target.clone();
    }
    let rooted = format!("/{}", target.as_str());
    rooted.parse().expect("a query that follows an authority is valid and shorter after a slash")
}

/// Reduces the request's URI to its path and query, and sets the `host` header to the address
/// unless the caller set one.
fn set_http1_target<B>(request: &mut Request<B>, address: &str) {
    *request.uri_mut() = Uri::from(path_and_query(request.uri()));
    if let Ok(host) = header::HeaderValue::from_str(address) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    *request.version_mut() = http::Version::HTTP_11;
}

/// Sets the authority of the request's URI to the address and removes the `host` header.
fn set_http2_target<B>(request: &mut Request<B>, address: &str) {
    let path = path_and_query(request.uri());
    let uri = Uri::builder().scheme("http").authority(address).path_and_query(path).build();
    if let Ok(uri) = uri {
        *request.uri_mut() = uri;
    }
    request.headers_mut().remove(header::HOST);
    *request.version_mut() = http::Version::HTTP_2;
}
