//! TCP forwarder between two loopback addresses that simulates partitions, silent connections and
//! delays, for all clients or for some of them.

use std::{
    collections::BTreeMap,
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

/// Longest queue of delayed data in one direction of a connection, in chunks.
const MAX_DELAYED_CHUNKS: usize = 1024;
/// Largest chunk that is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A running forwarder. Dropping it closes its port and all connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    stop: CancellationToken,
}

/// How the connections of one client are disrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Open and new connections carry no data.
    Hang,
    /// Open and new connections are closed.
    Reset,
    /// New connections are closed; the open ones go on.
    Refuse,
}

/// Tells the clients of a link apart.
pub trait Identify: Send + Sync + 'static {
    /// Returns the number of the client that opened the connection from `source` to `link`, if it has one.
    fn client(
        &self,
        source: SocketAddr,
        link: SocketAddr,
    ) -> impl Future<Output = Option<usize>> + Send;
}

/// No client has a number.
impl Identify for () {
    async fn client(&self, _source: SocketAddr, _link: SocketAddr) -> Option<usize> {
        None
    }
}

#[derive(Debug, Clone, Default)]
struct State {
    forward_cut: bool,
    backward_cut: bool,
    refusing: bool,
    delay: Duration,
    /// Number of connections accepted so far, which is also the number of the next connection.
    opened: u64,
    /// Connections with a lower number are silenced.
    silent_below: u64,
    /// Disruptions by the client's number.
    disruptions: BTreeMap<usize, Disruption>,
}

/// An accepted connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    number: u64,
    client: Option<usize>,
}

/// A direction of a connection.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

/// Life cycle
impl Link {
    /// Starts a forwarder from a free port of 127.0.0.1 to a target address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        Link::start_identifying(target, Arc::new(())).await
    }

    /// Starts a forwarder as [`Link::start`] does, whose clients can be disrupted one by one.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_identifying(
        target: SocketAddr,
        identify: Arc<impl Identify>,
    ) -> io::Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(State::default()));
        let stop = CancellationToken::new();
        let (shared, stopped) = (state.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accept(listener, target, shared, identify) => {}
            }
        });
        Ok(Link { address, state, stop })
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Access
impl Link {
    /// Returns the address that clients connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Mutation
impl Link {
    /// Holds back all bytes in both directions. Connections hang, as in a network partition.
    pub fn cut(&self) {
        self.update(|it| (it.forward_cut, it.backward_cut) = (true, true));
    }

    /// Holds back the bytes sent to the target only.
    pub fn cut_forward(&self) {
        self.update(|it| it.forward_cut = true);
    }

    /// Holds back the bytes sent by the target only.
    pub fn cut_backward(&self) {
        self.update(|it| it.backward_cut = true);
    }

    /// Closes all connections, and closes new connections immediately.
    pub fn refuse(&self) {
        self.update(|it| it.refusing = true);
    }

    /// Ends cuts and refusals. Bytes that were held back are delivered; silenced connections stay
    /// silent.
    pub fn heal(&self) {
        self.update(|it| (it.forward_cut, it.backward_cut, it.refusing) = (false, false, false));
    }

    /// Stops all further bytes on the connections that are open now. Later connections work.
    pub fn silence(&self) {
        self.update(|it| it.silent_below = it.opened);
    }

    /// Disrupts the connections of a client, or ends that. Bytes that were held back are delivered at the end.
    pub fn disrupt(&self, client: usize, disruption: Option<Disruption>) {
        self.update(|it| match disruption {
            Some(disruption) => {
                it.disruptions.insert(client, disruption);
            }
            None => {
                it.disruptions.remove(&client);
            }
        });
    }

    /// Delays the bytes in each direction by a fixed time.
    pub fn delay(&self, delay: Duration) {
        self.update(|it| it.delay = delay);
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

impl State {
    /// Whether bytes pass in a direction of a connection.
    fn is_open(&self, connection: Connection, direction: Direction) -> bool {
        let cut = match direction {
            Direction::Forward => self.forward_cut,
            Direction::Backward => self.backward_cut,
        };
        let hangs = self.disruption(connection) == Some(Disruption::Hang);
        !cut && !hangs && connection.number >= self.silent_below
    }

    /// Whether an open connection is closed.
    fn is_closing(&self, connection: Connection) -> bool {
        self.refusing || self.disruption(connection) == Some(Disruption::Reset)
    }

    fn disruption(&self, connection: Connection) -> Option<Disruption> {
        self.disruptions.get(&connection.client?).copied()
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<State>>,
    identify: Arc<impl Identify>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((socket, source)) = listener.accept() => {
                let number = state.borrow().opened;
                state.send_modify(|it| it.opened += 1);
                let (identify, state) = (Arc::clone(&identify), state.subscribe());
                connections.spawn(async move {
                    let link = socket.local_addr().unwrap_or(target);
                    let client = identify.client(source, link).await;
                    forward(socket, target, Connection { number, client }, state).await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(
    socket: TcpStream,
    target: SocketAddr,
    connection: Connection,
    mut state: watch::Receiver<State>,
) {
    if state.borrow().disruption(connection) == Some(Disruption::Refuse) {
        return;
    }
    let watched = state.clone();
    let relay = async {
        // A cut forward direction also keeps the connection to the target from being opened.
        wait_until_open(&mut watched.clone(), connection, Direction::Forward).await;
        let Ok(remote) = TcpStream::connect(target).await else { return };
        // Fails only if one side has already closed its connection. Copying then ends as well.
        let _ = (socket.set_nodelay(true), remote.set_nodelay(true));
        let (client_read, client_write) = socket.into_split();
        let (target_read, target_write) = remote.into_split();
        tokio::join!(
            copy(client_read, target_write, watched.clone(), connection, Direction::Forward),
            copy(target_read, client_write, watched.clone(), connection, Direction::Backward),
        );
    };
    tokio::select! {
        () = relay => {}
        _ = state.wait_for(|it| it.is_closing(connection)) => {}
    }
}

/// Waits until bytes pass in a direction of a connection. Never returns once the link is dropped.
async fn wait_until_open(
    state: &mut watch::Receiver<State>,
    connection: Connection,
    direction: Direction,
) {
    let ended = state.wait_for(|it| it.is_open(connection, direction)).await.is_err();
    if ended {
        std::future::pending::<()>().await;
    }
}

/// Copies one direction of a connection; each chunk is written after the delay that was set when
/// the chunk was read.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    connection: Connection,
    direction: Direction,
) {
    let (sender, mut delayed) = mpsc::channel::<(Instant, Bytes)>(MAX_DELAYED_CHUNKS);
    let delays = state.clone();
    let reading = async move {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        while from.read_buf(&mut buffer).await.is_ok_and(|it| it > 0) {
            let due = Instant::now() + delays.borrow().delay;
            if sender.send((due, buffer.split().freeze())).await.is_err() {
                break;
            }
            buffer.reserve(READ_BYTES);
        }
    };
    let writing = async move {
        while let Some((due, bytes)) = delayed.recv().await {
            tokio::time::sleep_until(due).await;
            wait_until_open(&mut state, connection, direction).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        wait_until_open(&mut state, connection, direction).await;
        // Fails only if the receiver has already closed the connection.
        let _ = to.shutdown().await;
    };
    tokio::join!(reading, writing);
}
