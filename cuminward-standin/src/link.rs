//! A TCP forwarder between two loopback addresses that can be cut, silenced and delayed.

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

/// Most pieces of data held back in one direction of a connection.
const MAX_HELD: usize = 1024;
/// Most bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// A running forwarder; dropping it closes its port and every connection.
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
    opened: u64,
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
    /// Starts a forwarder from a free port of 127.0.0.1 to a target.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
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
    /// The address to give to the side that opens connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Mutation
impl Link {
    /// Holds back all bytes in both directions, as a network partition does: connections hang.
    pub fn cut(&self) {
        self.set(|it| (it.forward_cut, it.backward_cut) = (true, true));
    }

    /// Holds back the bytes towards the target only.
    pub fn cut_forward(&self) {
        self.set(|it| it.forward_cut = true);
    }

    /// Holds back the bytes from the target only.
    pub fn cut_backward(&self) {
        self.set(|it| it.backward_cut = true);
    }

    /// Closes all connections, and closes new ones at once.
    pub fn refuse(&self) {
        self.set(|it| it.refusing = true);
    }

    /// Ends every cut and refusal; held bytes go on, silenced connections stay silent.
    pub fn heal(&self) {
        self.set(|it| (it.forward_cut, it.backward_cut, it.refusing) = (false, false, false));
    }

    /// The connections open now never carry another byte; later ones work.
    pub fn silence(&self) {
        self.set(|it| it.silent_below = it.opened);
    }

    /// Delays the bytes of each direction by a time.
    pub fn delay(&self, delay: Duration) {
        self.set(|it| it.delay = delay);
    }

    fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

impl State {
    fn carries(&self, connection: u64, direction: Direction) -> bool {
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
    let carry = async {
        // Without the forward direction no connection gets through to the target.
        open(&mut watched.clone(), number, Direction::Forward).await;
        let Ok(other) = TcpStream::connect(target).await else { return };
        // A failure here means that a side has already gone; the copying then ends by itself.
        let _ = (socket.set_nodelay(true), other.set_nodelay(true));
        let (near_read, near_write) = socket.into_split();
        let (far_read, far_write) = other.into_split();
        tokio::join!(
            copy(near_read, far_write, watched.clone(), number, Direction::Forward),
            copy(far_read, near_write, watched.clone(), number, Direction::Backward),
        );
    };
    tokio::select! {
        () = carry => {}
        _ = state.wait_for(|it| it.refusing) => {}
    }
}

/// Waits until a direction of a connection carries bytes.
async fn open(state: &mut watch::Receiver<State>, number: u64, direction: Direction) {
    let ended = state.wait_for(|it| it.carries(number, direction)).await.is_err();
    if ended {
        std::future::pending::<()>().await;
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    number: u64,
    direction: Direction,
) {
    let (sender, mut held) = mpsc::channel::<(Instant, Bytes)>(MAX_HELD);
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
        while let Some((due, bytes)) = held.recv().await {
            tokio::time::sleep_until(due).await;
            open(&mut state, number, direction).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        open(&mut state, number, direction).await;
        // The other side may have gone already.
        let _ = to.shutdown().await;
    };
    tokio::join!(reading, writing);
}
