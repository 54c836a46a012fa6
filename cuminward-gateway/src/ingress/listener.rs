//! Accepts TCP connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Delay after a failed accept before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
    let serve = Arc::new(serve);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("setting TCP_NODELAY on an accepted connection failed: {error}");
                }
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
