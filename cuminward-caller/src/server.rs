//! Accepts callers' connections until it is told to stop.

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

/// Time within which a caller has to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of HTTP/2 keep-alive frames.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections until `stop` is cancelled; then finishes the requests under way, for at most
/// `grace`.
///
/// Returns whether all requests were finished in time.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
    grace: Duration,
) -> bool {
    let connections = graceful::GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(KEEP_ALIVE);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(&builder, &connections, stream, router.clone()),
            Err(error) => pause(&error).await,
        }
    }
    drop(listener);
    tokio::time::timeout(grace, connections.shutdown()).await.is_ok()
}

fn spawn(
    builder: &auto::Builder<TokioExecutor>,
    connections: &graceful::GracefulShutdown,
    stream: TcpStream,
    router: Router,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection can't be set up: {error}");
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
            log::debug!("a caller's connection ended: {error}");
        }
    });
}

async fn pause(error: &io::Error) {
    log::warn!("a caller's connection can't be accepted: {error}");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}
