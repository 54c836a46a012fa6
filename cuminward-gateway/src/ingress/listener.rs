//! Accepts connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Pause after the listener failed to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener.
///
/// # Errors
///
/// The address can't be used.
pub(crate) async fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until the task is dropped, and lets each be served by a task of its own.
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
                    log::debug!("a connection can't be set up: {error}");
                }
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("no connection could be accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
