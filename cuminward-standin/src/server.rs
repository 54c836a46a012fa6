//! An HTTP server on a loopback port that can be stopped at once, held and silenced.

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

/// Time between tries to bind a port again.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// A running server; dropping it closes the port and every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    stop: CancellationToken,
}

/// The connection that carries a request, as a request extension.
#[derive(Debug, Clone)]
pub struct Connection {
    closing: CancellationToken,
}

/// Holds the bytes of all or some connections of a server.
#[derive(Debug, Default)]
pub struct Gate {
    paused: AtomicBool,
    opened: AtomicU64,
    silent_below: AtomicU64,
    wakers: Mutex<Vec<Waker>>,
}

/// Life cycle
impl Server {
    /// Listens at a port of 127.0.0.1 (0 takes a free one) and serves until dropped.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
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

    /// Listens at a port again that an earlier server may still be giving up; `None` once
    /// `superseded` says that another restart was faster.
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
    /// The address where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds and silences connections.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

/// Mutation
impl Connection {
    /// Closes the connection without an answer; never returns.
    pub async fn abandon<T>(&self) -> T {
        self.closing.cancel();
        std::future::pending().await
    }
}

/// Mutation
impl Gate {
    /// Accepts connections but carries no byte until [`Gate::resume`].
    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    /// Ends a pause.
    pub fn resume(&self) {
        self.paused.store(false, Ordering::SeqCst);
        let wakers = std::mem::take(&mut *self.wakers.lock().expect("no holder panics"));
        wakers.into_iter().for_each(Waker::wake);
    }

    /// The connections open now never carry another byte; later ones work.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    fn poll(&self, connection: u64, context: &Context<'_>) -> Poll<()> {
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
    // A failure here means that the peer has already gone; serving then ends by itself.
    let _ = socket.set_nodelay(true);
    let number = gate.opened.fetch_add(1, Ordering::SeqCst);
    let closing = CancellationToken::new();
    let connection = Connection { closing: closing.clone() };
    let service = TowerToHyperService::new(router.layer(Extension(connection)));
    let stream = TokioIo::new(Gated { socket, gate, number });
    let builder = auto::Builder::new(TokioExecutor::new());
    tokio::select! {
        () = closing.cancelled() => {}
        _ = builder.serve_connection(stream, service) => {}
    }
}

/// A socket whose bytes pass a gate.
struct Gated {
    socket: TcpStream,
    gate: Arc<Gate>,
    number: u64,
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate.poll(self.number, context));
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.gate.poll(self.number, context));
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
