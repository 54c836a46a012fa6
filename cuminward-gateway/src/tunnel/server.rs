//! Connects other nodes to hosts.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::StreamExt;
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use tokio_util::io::ReaderStream;

use super::wire::{self, Frames, Reply};
use crate::state::State;

/// Largest number of tunnels at once.
const MAX_TUNNELS: usize = 512;

/// Time allowed for the request of a tunnel.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time without a byte from a host after which a tunnel is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which bytes are read from the other node after the end of the host's, so that these aren't lost.
const LINGER: Duration = Duration::from_millis(500);

/// Bytes that are read from a host at once.
const CHUNK: usize = 16 << 10;

/// Tunnels, by how they ended.
const TUNNELS: &str = "cuminward_gateway_tunnels_total";

/// Serves a connection on which another node asks for a tunnel.
pub(crate) async fn serve(state: Arc<State>, mut stream: TcpStream) {
    let request = time::timeout(REQUEST_TIMEOUT, wire::read_request(&mut stream)).await;
    let Ok(Ok(host)) = request else {
        log::debug!("a request for a tunnel is incomplete or malformed");
        return;
    };
    let _guard = TunnelGuard::new(&state);
    let connected = connect(&state, &host).await;
    let end = match tunnel(stream, connected).await {
        Ok(end) => end,
        Err(error) => {
            log::debug!("a tunnel to host {host} failed: {error}");
            "failed"
        }
    };
    metrics::counter!(TUNNELS, "end" => end).increment(1);
}

/// Counts a tunnel until it is dropped.
struct TunnelGuard<'a> {
    state: &'a State,
}

/// Life cycle
impl<'a> TunnelGuard<'a> {
    fn new(state: &'a State) -> TunnelGuard<'a> {
        state.tunnels.fetch_add(1, Ordering::Relaxed);
        TunnelGuard { state }
    }
}

impl Drop for TunnelGuard<'_> {
    fn drop(&mut self) {
        self.state.tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connects to a host of the host list.
async fn connect(state: &State, host: &str) -> Result<TcpStream, Reply> {
    let is_full = state.tunnels.load(Ordering::Relaxed) > MAX_TUNNELS;
    if is_full || state.is_stopping() {
        return Err(Reply::Unreachable);
    }
    let address = state.cluster().hosts.get(host).map(|it| it.address.clone());
    let address = address.ok_or(Reply::Unreachable)?;
    match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Err(Reply::Refused),
        Ok(Err(_)) | Err(_) => Err(Reply::Unreachable),
    }
}

/// Replies to the other node and passes on the bytes until either end closes its connection. Returns how the
/// tunnel ended.
async fn tunnel(
    stream: TcpStream,
    connected: Result<TcpStream, Reply>,
) -> io::Result<&'static str> {
    stream.set_nodelay(true)?;
    let (mut from_node, to_node) = stream.into_split();
    let mut frames = wire::frames(to_node);
    let host = match connected {
        Ok(it) => it,
        Err(reply) => {
            wire::send_reply(&mut frames, reply).await?;
            return Ok("unreachable");
        }
    };
    host.set_nodelay(true)?;
    wire::send_reply(&mut frames, Reply::Connected).await?;
    let (from_host, to_host) = host.into_split();
    tokio::select! {
        sent = send_to_host(&mut from_node, to_host) => {
            // The other node never closes one direction only: its request has ended.
            sent?;
            return Ok("closed");
        }
        received = send_to_node(from_host, &mut frames) => received?,
    }
    drop(frames);
    // Closing with unread bytes would reset the connection, and the end might not arrive.
    let mut sink = tokio::io::sink();
    let rest = tokio::io::copy(&mut from_node, &mut sink);
    let _ = time::timeout(LINGER, rest).await;
    Ok("ended")
}

async fn send_to_host(from: &mut OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
    let copied = tokio::io::copy(from, &mut to).await;
    match copied {
        Ok(_) => Ok(()),
        // The host may have responded before it read the whole request.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => std::future::pending().await,
        Err(error) => Err(error),
    }
}

async fn send_to_node(from: OwnedReadHalf, to: &mut Frames) -> io::Result<()> {
    let mut chunks = ReaderStream::with_capacity(from, CHUNK);
    while let Some(chunk) = time::timeout(IDLE_TIMEOUT, chunks.next()).await? {
        wire::send_bytes(to, chunk?).await?;
    }
    wire::send_end(to).await
}
