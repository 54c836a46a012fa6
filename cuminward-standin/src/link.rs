//! TCP forwarder between two loopback addresses that simulates partitions, silent connections and
//! delays.

use std::{
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

#[derive(Debug, Clone, Copy, Default)]
struct State {
    forward_cut: bool,
    backward_cut: bool,
    refusing: bool,
    delay: Duration,
    /// Number of connections accepted so far, which is also the number of the next connection.
    opened: u64,
    /// Connections with a lower number are silenced.
    silent_below: u64,
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
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(State::default()));
        let stop = CancellationToken::new();
        let (shared, stopped) = (state.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accept(listener, target, shared) => {}
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
    fn is_open(&self, connection: u64, direction: Direction) -> bool {
        let cut = match direction {
            Direction::Forward => self.forward_cut,
            Direction::Backward => self.backward_cut,
        };
        !cut && connection >= self.silent_below
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<State>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((socket, _)) = listener.accept() => {
                let number = state.borrow().opened;
                state.send_modify(|it| it.opened += 1);
                connections.spawn(forward(socket, target, number, state.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(
    socket: TcpStream,
    target: SocketAddr,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let watched = state.clone();
    let relay = async {
        // A cut forward direction also keeps the connection to the target from being opened.
        wait_until_open(&mut watched.clone(), number, Direction::Forward).await;
        let Ok(remote) = TcpStream::connect(target).await else { return };
        // Fails only if one side has already closed its connection. Copying then ends as well.
        let _ = (socket.set_nodelay(true), remote.set_nodelay(true));
        let (client_read, client_write) = socket.into_split();
        let (target_read, target_write) = remote.into_split();
        tokio::join!(
            copy(client_read, target_write, watched.clone(), number, Direction::Forward),
            copy(target_read, client_write, watched.clone(), number, Direction::Backward),
        );
    };
    tokio::select! {
        () = relay => {}
        _ = state.wait_for(|it| it.refusing) => {}
    }
}

/// Waits until bytes pass in a direction of a connection. Never returns once the link is dropped.
async fn wait_until_open(state: &mut watch::Receiver<State>, number: u64, direction: Direction) {
    let ended = state.wait_for(|it| it.is_open(number, direction)).await.is_err();
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
    number: u64,
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
            wait_until_open(&mut state, number, direction).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        wait_until_open(&mut state, number, direction).await;
        // Fails only if the receiver has already closed the connection.
        let _ = to.shutdown().await;
    };
    tokio::join!(reading, writing);
}
