//! Server for the calls of other nodes.

use std::{sync::Arc, time::Duration};

use cuminward_event::{kind::Kind, sink::Sink};
use derive_builder::Builder;
use futures::StreamExt;
use tarpc::{
    ClientMessage, Response,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinSet,
    time,
};

use crate::{
    count::{self, Counter},
    handler::{Adapter, Handler},
    handshake::{self, Secret},
    service::{Peer, PeerRequest, PeerResponse},
    stream::{Accept, Duplex},
};

/// Largest frame between nodes, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Delay before the next accept after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of the server.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of concurrent calls on one connection.
    pub max_calls: usize,
    /// Largest frame, in bytes.
    pub max_frame: usize,
    /// Timeout of the handshake.
    pub handshake_timeout: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_connections: 1024,
            max_calls: 256,
            max_frame: MAX_FRAME,
            handshake_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves the connections of one listener.
pub struct Server<A, P> {
    /// Turns accepted TCP connections into streams.
    pub accept: A,
    /// Executes the calls.
    pub handler: Arc<P>,
    /// The shared secret.
    pub secret: Secret,
    /// Settings.
    pub options: Options,
    /// Records the events of refused connections and frames.
    pub sink: Arc<Sink>,
    /// Counts bytes and calls.
    pub counter: Arc<Counter>,
}

/// Life cycle
impl<A, P> Server<A, P>
where
    A: Accept,
    P: Handler,
{
    /// Accepts connections and executes their calls until the future is dropped, which closes all
    /// connections.
    pub async fn serve(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.options.max_connections));
        let server = Arc::new(self);
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, address)) = listener.accept().await else {
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let address = address.to_string();
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                server.refuse(address, String::from("too many connections"));
                continue;
            };
            let server = Arc::clone(&server);
            connections.spawn(server.serve_connection(stream, address, permit));
        }
    }

    /// Serves one connection until it is closed.
    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        address: String,
        _permit: OwnedSemaphorePermit,
    ) {
        let opening = time::timeout(self.options.handshake_timeout, self.open(stream));
        let stream = match opening.await {
            Ok(Ok(it)) => it,
            Ok(Err(error)) => return self.refuse(address, error.to_string()),
            Err(_) => return self.refuse(address, String::from("the handshake timed out")),
        };
        if let Err(reason) = self.serve_calls(stream).await {
            self.sink.emit(Kind::FrameRefused { address, reason });
        }
    }

    /// Prepares the stream of an accepted connection and runs the handshake.
    async fn open(&self, stream: TcpStream) -> Result<count::Stream<A::Stream>, handshake::Error> {
        let inner = self.accept.accept(stream).await?;
        let mut stream = count::Stream { inner, counter: Arc::clone(&self.counter) };
        handshake::accept(&mut stream, &self.secret).await?;
        Ok(stream)
    }

    /// Executes the calls of a connection until the connection is closed or idle for too long; the
    /// error states why a frame was refused.
    async fn serve_calls(&self, stream: impl Duplex) -> Result<(), String> {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(self.options.max_frame)
            .new_framed(stream);
        let transport = tarpc::serde_transport::new(
            codec,
            Bincode::<ClientMessage<PeerRequest>, Response<PeerResponse>>::default(),
        );
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.max_concurrent_requests(self.options.max_calls).requests();
        let mut requests = std::pin::pin!(requests);
        let mut running = JoinSet::new();
        let adapter = Adapter::new(Arc::clone(&self.handler));
        loop {
            while running.try_join_next().is_some() {}
            let next = time::timeout(self.options.idle_timeout, requests.next());
            let request = match next.await {
                Ok(Some(Ok(it))) => it,
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(None) | Err(_) => return Ok(()),
            };
            self.counter.add_call();
            running.spawn(request.execute(adapter.clone().serve()));
        }
    }

    /// Records that a connection was refused.
    fn refuse(&self, address: String, reason: String) {
        self.sink.emit(Kind::PeerRefused { address, reason });
    }
}
