//! Accepts TCP connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

/// Delay after a failed accept before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bounds on what the kernel holds for the connections of a listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// Connections that wait to be accepted.
    pub(crate) backlog: u32,
    /// Bytes of a connection that have arrived and weren't read.
    pub(crate) receive_bytes: u32,
    /// Bytes of a connection that were written and haven't arrived at the other side.
    pub(crate) send_bytes: u32,
}

/// Opens a listener whose connections have bounded buffers. Buffers that can't be bounded are left as they are.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn open_bounded(address: SocketAddr, bounds: Bounds) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let sized = socket
        .set_recv_buffer_size(bounds.receive_bytes)
        .and_then(|()| socket.set_send_buffer_size(bounds.send_bytes));
    if let Err(error) = sized {
        log::warn!("the buffers of callers' connections can't be bounded: {error}");
    }
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(bounds.backlog)
}

/// Opens a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) async fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until the future is dropped, and serves each in a task of its own.
pub(crate) async fn accept<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    accept_admitted(listener, || std::future::ready(()), serve).await;
}

/// Accepts connections as [`accept`] does, each after `admit` has returned a permit, which the connection keeps until it
/// ends. Connections that aren't admitted yet wait in the queue of the system.
pub(crate) async fn accept_admitted<A, P, S, F>(listener: TcpListener, admit: A, serve: S)
where
    A: Fn() -> P,
    P: Future<Output: Send + 'static>,
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let serve = Arc::new(serve);
    loop {
        let permit = admit().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("setting TCP_NODELAY on an accepted connection failed: {error}");
                }
                let served = serve(stream);
                tokio::spawn(async move {
                    served.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
