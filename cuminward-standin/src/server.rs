//! HTTP server on a loopback port that can be stopped immediately, paused and silenced.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use axum::{Extension, Router};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
    service::TowerToHyperService,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Time between attempts to bind a port again.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// A running server. Dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    stop: CancellationToken,
}

/// Request extension that identifies the connection of a request, to close it.
#[derive(Debug, Clone)]
pub struct Connection {
    closing: CancellationToken,
}

/// Holds back the bytes of all or some connections of a server.
#[derive(Debug, Default)]
pub struct Gate {
    paused: AtomicBool,
    /// Number of connections accepted so far, which is also the number of the next connection.
    opened: AtomicU64,
    /// Connections with a lower number are silenced.
    silent_below: AtomicU64,
    /// Tasks that wait for the end of the pause.
    wakers: Mutex<Vec<Waker>>,
}

/// Life cycle
impl Server {
    /// Listens on a port of 127.0.0.1 (0 chooses a free one) and serves until dropped.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start(port: u16, router: Router) -> io::Result<Server> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await?;
        let address = listener.local_addr()?;
        let gate = Arc::new(Gate::default());
        let stop = CancellationToken::new();
        let accepting = accept(listener, router, gate.clone());
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accepting => {}
            }
        });
        Ok(Server { address, gate, stop })
    }

    /// Listens on a port that an earlier server may not have released yet, and retries until the
    /// port is free. Returns `None` once `superseded` returns true because of a newer restart.
    pub async fn restart(
        port: u16,
        router: Router,
        superseded: impl Fn() -> bool,
    ) -> Option<Server> {
        while !superseded() {
            match Server::start(port, router.clone()).await {
                Ok(server) => return Some(server),
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            }
        }
        None
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Access
impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the gate that pauses or silences connections.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

/// Mutation
impl Connection {
    /// Closes the connection without a response. Never returns.
    pub async fn abandon<T>(&self) -> T {
        self.closing.cancel();
        std::future::pending().await
    }
}

/// Mutation
impl Gate {
    /// Holds back all bytes until [`Gate::resume`]. Connections are still accepted.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    /// Ends a pause; bytes that were held back are delivered.
    pub fn resume(&self) {
        self.paused.store(false, Ordering::SeqCst);
        let wakers = std::mem::take(&mut *self.wakers.lock().expect("no holder panics"));
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Stops all further bytes on the connections that are open now. Later connections work.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Returns ready if the bytes of a connection may pass; otherwise registers the task to be
    /// woken at the end of the pause. A silenced connection stays pending forever.
    fn poll_open(&self, connection: u64, context: &Context<'_>) -> Poll<()> {
        if connection < self.silent_below.load(Ordering::SeqCst) {
            return Poll::Pending;
        }
        if !self.paused.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }
        self.wakers.lock().expect("no holder panics").push(context.waker().clone());
        if self.paused.load(Ordering::SeqCst) { Poll::Pending } else { Poll::Ready(()) }
    }
}

async fn accept(listener: TcpListener, router: Router, gate: Arc<Gate>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((socket, _)) = listener.accept() => {
                connections.spawn(serve(socket, router.clone(), gate.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(socket: TcpStream, router: Router, gate: Arc<Gate>) {
    // Fails only if the peer has already closed the connection. Serving then ends as well.
    let _ = socket.set_nodelay(true);
    let number = gate.opened.fetch_add(1, Ordering::SeqCst);
    let closing = CancellationToken::new();
    let connection = Connection { closing: closing.clone() };
    let service = TowerToHyperService::new(router.layer(Extension(connection)));
    let stream = TokioIo::new(GatedStream { socket, gate, number });
    let builder = auto::Builder::new(TokioExecutor::new());
    tokio::select! {
        () = closing.cancelled() => {}
        _ = builder.serve_connection(stream, service) => {}
    }
}

/// A socket whose reads and writes wait until the gate lets them pass.
struct GatedStream {
    socket: TcpStream,
    gate: Arc<Gate>,
    number: u64,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate.poll_open(self.number, context));
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.gate.poll_open(self.number, context));
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
