//! Server for the connections of callers, with graceful shutdown.

use std::{convert::Infallible, io, time::Duration};

use axum::{Router, body::Body};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful},
    service::TowerToHyperService,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tower::Service;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until `stop` is cancelled, then waits up to `grace` for the requests in
/// progress.
///
/// Returns whether all requests finished in time.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
    grace: Duration,
) -> bool {
    let connections = graceful::GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(KEEP_ALIVE_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&builder, &connections, stream, router.clone()),
            Err(error) => delay_accept(&error).await,
        }
    }
    drop(listener);
    tokio::time::timeout(grace, connections.shutdown()).await.is_ok()
}

/// Serves a connection in a task of its own.
fn spawn_connection(
    builder: &auto::Builder<TokioExecutor>,
    connections: &graceful::GracefulShutdown,
    stream: TcpStream,
    router: Router,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY on a caller's connection failed: {error}");
        return;
    }
    let service = TowerToHyperService::new(tower::service_fn(move |request| {
        let mut router = router.clone();
        let request = http::Request::map(request, Body::new);
        async move { Ok::<_, Infallible>(router.call(request).await.unwrap_or_else(|it| match it {})) }
    }));
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("serving a caller's connection failed: {error}");
        }
    });
}

/// Logs a failed accept and waits before the next one.
async fn delay_accept(error: &io::Error) {
    log::warn!("accepting a caller's connection failed: {error}");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}
