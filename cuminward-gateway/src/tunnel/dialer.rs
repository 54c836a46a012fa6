//! Opens connections to hosts, over the own path or through another node.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use cuminward_serving::path::Order;
use cuminward_upstream::connector::{Connected, Connector};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use rand::seq::SliceRandom;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};

use super::{
    paths::{Paths, Relay},
    wire,
};

/// Time for which the own path is tried alone.
const HEAD_START: Duration = Duration::from_millis(100);

/// Time for which detours are tried alone where they are taken first.
const DETOUR_HEAD_START: Duration = Duration::from_millis(60);

/// Number of tries after which the own path to a host that another node reached counts as lost, and the time
/// allowed for each. The first packet of a try may be lost.
const DIRECT_RETRIES: u32 = 3;
const DIRECT_RETRY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a further node is asked.
const RELAY_STAGGER: Duration = Duration::from_millis(30);

/// Number of nodes that are asked to connect to a host.
const MAX_RELAYS: usize = 4;

/// Time allowed for opening a tunnel.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which another node usually connects to a host.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Opens connections to hosts.
#[derive(Clone)]
pub(crate) struct Dialer {
    paths: Arc<Paths>,
}

/// Byte stream to a host.
pub(crate) enum Stream {
    Direct(TcpStream),
    Tunnel(Box<wire::Stream>),
}

type Dialing = BoxFuture<'static, io::Result<Stream>>;

/// Life cycle
impl Dialer {
    pub(crate) fn new(paths: Arc<Paths>) -> Dialer {
        Dialer { paths }
    }
}

impl Connector for Dialer {
    type Stream = Stream;

    async fn connect(&self, address: &str) -> io::Result<Connected<Stream>> {
        let stream = match self.paths.order(address) {
            // A host that no node reached lately is only taken to refuse if all paths agree.
            Order::Direct => {
                let unreachable = io::ErrorKind::HostUnreachable.into();
                self.direct(address).await.map_err(|it| judge_failure(it, &unreachable))
            }
            Order::DirectFirst => self.direct_first(address).await,
            Order::DetourFirst => self.detour_first(address).await,
        }?;
        // A tunnel counts as work of the node that it passes through, so it ends with its request.
        let is_reusable = matches!(stream, Stream::Direct(_));
        Ok(Connected { stream, is_reusable })
    }
}

/// Connections
impl Dialer {
    /// Connects over the own path. The future is independent of the dialer.
    fn direct(&self, address: &str) -> Dialing {
        let (paths, address) = (Arc::clone(&self.paths), address.to_owned());
        Box::pin(async move {
            let stream = TcpStream::connect(&address).await?;
            stream.set_nodelay(true)?;
            paths.record_direct(&address);
            Ok(Stream::Direct(stream))
        })
    }

    /// Tries the own path, and after a while or a failure other nodes too.
    async fn direct_first(&self, address: &str) -> io::Result<Stream> {
        let mut direct = self.direct(address);
        match time::timeout(HEAD_START, &mut direct).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(failure)) => {
                return self.after_failure(address, failure, self.detour(address)).await;
            }
            Err(_) => {}
        }
        let mut detour = Box::pin(self.detour(address));
        tokio::select! {
            biased;
            stream = &mut direct => match stream {
                Ok(stream) => {
                    drop(detour);
                    self.paths.record_direct(address);
                    return Ok(stream);
                }
                Err(failure) => return self.after_failure(address, failure, detour).await,
            },
            stream = &mut detour => if let Ok(stream) = stream {
                self.paths.record_detour(address);
                self.judge_path(address, direct);
                return Ok(stream);
            },
        }
        direct.await
    }

    /// Waits for a detour after the own path has failed.
    async fn after_failure(
        &self,
        address: &str,
        failure: io::Error,
        detour: impl Future<Output = io::Result<Stream>>,
    ) -> io::Result<Stream> {
        let stream = detour.await.map_err(|it| judge_failure(failure, &it))?;
        self.paths.record_detour(address);
        self.paths.record_lost_path(address);
        Ok(stream)
    }

    /// Tries the own path again in a task of its own, to learn whether it is slow, was silent for a moment or is lost.
    fn judge_path(&self, address: &str, direct: Dialing) {
        let (dialer, address) = (self.clone(), address.to_owned());
        tokio::spawn(async move {
            let retries = async {
                for _ in 0..DIRECT_RETRIES {
                    let direct = time::timeout(DIRECT_RETRY_TIMEOUT, dialer.direct(&address)).await;
                    if matches!(direct, Ok(Ok(_))) {
                        return true;
                    }
                }
                false
            };
            let works = tokio::select! {
                is_connected = retries => is_connected,
                Ok(_) = direct => true,
            };
            if !works {
                dialer.paths.record_lost_path(&address);
            }
        });
    }

    /// Tries other nodes, and after a while or a failure the own path too.
    async fn detour_first(&self, address: &str) -> io::Result<Stream> {
        let mut detour = std::pin::pin!(self.detour(address));
        let mut direct = self.direct(address);
        match time::timeout(DETOUR_HEAD_START, &mut detour).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => return direct.await.map_err(|it| judge_failure(it, &error)),
            Err(_) => {}
        }
        tokio::select! {
            stream = &mut detour => match stream {
                Ok(stream) => Ok(stream),
                Err(error) => direct.await.map_err(|it| judge_failure(it, &error)),
            },
            stream = &mut direct => match stream {
                Ok(stream) => Ok(stream),
                Err(failure) => detour.await.map_err(|it| judge_failure(failure, &it)),
            },
        }
    }

    /// Connects through another node. Asks one after the other, each after a moment or when the one before has
    /// failed.
    ///
    /// # Errors
    ///
    /// `NotFound` if there is no node to ask; `ConnectionRefused` if all that were asked found that the host
    /// accepts no connections.
    async fn detour(&self, address: &str) -> io::Result<Stream> {
        let host = self.paths.host_at(address).ok_or(io::ErrorKind::NotFound)?;
        let mut relays = choose_relays(self.paths.relays()).into_iter();
        if relays.len() == 0 {
            return Err(io::ErrorKind::NotFound.into());
        }
        let mut guard = UnreachableGuard::new(&self.paths, address);
        let mut opening = FuturesUnordered::new();
        let mut is_refused = true;
        loop {
            if let Some(relay) = relays.next() {
                opening.push(self.open_tunnel(relay.address, &host));
            }
            let is_last = relays.len() == 0;
            let patience = if is_last { TUNNEL_TIMEOUT } else { RELAY_STAGGER };
            match time::timeout(patience, opening.next()).await {
                Ok(Some(Ok(stream))) => {
                    guard.is_armed = false;
                    return Ok(Stream::Tunnel(Box::new(stream)));
                }
                Ok(Some(Err(error))) => {
                    is_refused &= error.kind() == io::ErrorKind::ConnectionRefused;
                }
                Ok(None) if is_last && is_refused => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                Ok(None) if is_last => return Err(io::ErrorKind::HostUnreachable.into()),
                Ok(None) | Err(_) => {}
            }
        }
    }
}

/// Tunnels
impl Dialer {
    /// Opens a tunnel through another node, and records whether that worked.
    async fn open_tunnel(&self, relay: SocketAddr, host: &str) -> io::Result<wire::Stream> {
        let opened = time::timeout(TUNNEL_TIMEOUT, wire::open(relay, host)).await;
        let opened = opened.unwrap_or_else(|error| Err(error.into()));
        self.paths.record_relay(relay, opened.is_ok());
        opened
    }
}

/// Returns the nodes to ask, in random order. The first is of the own failure domain if there is one; the next are of
/// other ones, as a whole domain may have lost its paths.
fn choose_relays(mut relays: Vec<Relay>) -> Vec<Relay> {
    relays.shuffle(&mut rand::rng());
    let own = relays.iter().position(|it| it.is_same_domain);
    let mut chosen: Vec<Relay> = own.map(|it| relays.swap_remove(it)).into_iter().collect();
    relays.sort_by_key(|it| it.is_same_domain);
    chosen.extend(relays);
    chosen.truncate(MAX_RELAYS);
    chosen
}

/// Returns the error of a host that neither the own path nor a detour reached. It is a refusal only if no path
/// contradicts it.
fn judge_failure(direct: io::Error, detour: &io::Error) -> io::Error {
    match detour.kind() {
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => direct,
        _ => io::ErrorKind::HostUnreachable.into(),
    }
}

/// Records a host as unreachable unless it is disarmed, or dropped before the nodes that were asked can have answered.
struct UnreachableGuard<'a> {
    paths: &'a Paths,
    address: &'a str,
    started: Instant,
    is_armed: bool,
}

/// Life cycle
impl<'a> UnreachableGuard<'a> {
    fn new(paths: &'a Paths, address: &'a str) -> UnreachableGuard<'a> {
        UnreachableGuard { paths, address, started: Instant::now(), is_armed: true }
    }
}

impl Drop for UnreachableGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed && self.started.elapsed() >= ANSWER_TIME {
            self.paths.record_unreachable(self.address);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Direct(it) => Pin::new(it).poll_read(cx, buf),
            Stream::Tunnel(it) => Pin::new(it).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Direct(it) => Pin::new(it).poll_write(cx, buf),
            Stream::Tunnel(it) => Pin::new(it).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Direct(it) => Pin::new(it).poll_write_vectored(cx, buffers),
            Stream::Tunnel(it) => Pin::new(it).poll_write_vectored(cx, buffers),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Direct(it) => it.is_write_vectored(),
            Stream::Tunnel(it) => it.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Direct(it) => Pin::new(it).poll_flush(cx),
            Stream::Tunnel(it) => Pin::new(it).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Direct(it) => Pin::new(it).poll_shutdown(cx),
            Stream::Tunnel(it) => Pin::new(it).poll_shutdown(cx),
        }
    }
}
