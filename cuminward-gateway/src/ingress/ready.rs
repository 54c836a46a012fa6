//! Serves readiness checks.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::state::State;

/// Serves a connection of a readiness check: 200 if the node is ready, otherwise 503.
pub(crate) async fn serve(state: Arc<State>, stream: TcpStream) {
    let handler = service::service_fn(|_: Request<Incoming>| {
        let status =
            if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = Response::new(Empty::<Bytes>::new());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        log::debug!("serving a readiness connection failed: {error}");
    }
}
