//! Serves the HTTP connections of callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use crate::{
    forward,
    forward::reply::{Body, DropGuard},
    state::State,
};

/// Interval at which a connection is checked for idleness and shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time beyond the idle timeout of the catalog for which an idle connection stays open.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time after the start of a shutdown during which callers may still send requests on keep-alive
/// connections.
const KEEP_ALIVE_GRACE: Duration = Duration::from_millis(2500);

/// Activity of a connection.
#[derive(Debug, Default)]
struct Activity {
    /// Requests in flight.
    active: AtomicUsize,
    /// When the last request ended, in milliseconds since the node's start.
    used_ms: AtomicU64,
}

/// Serves a connection until it is closed by the caller, by an idle timeout or by a shutdown.
pub(crate) async fn serve(state: Arc<State>, stream: TcpStream) {
    let activity = Arc::new(Activity::default());
    activity.used_ms.store(state.now().as_millis() as u64, Ordering::Relaxed);
    let handler = service::service_fn(|request| respond(&state, &activity, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    let mut connection = std::pin::pin!(connection);
    loop {
        let ended = time::timeout(CHECK_INTERVAL, connection.as_mut()).await;
        if let Ok(ended) = ended {
            if let Err(error) = ended {
                log::debug!("serving a caller's connection failed: {error}");
            }
            return;
        }
        let must_close = state.stopping_for().is_some_and(|it| it > KEEP_ALIVE_GRACE);
        if must_close || is_idle(&state, &activity, state.now()) {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Returns whether the connection has been idle for longer than the catalog allows.
fn is_idle(state: &State, activity: &Activity, now: Duration) -> bool {
    let snapshot = state.routing.load();
    let timeout = snapshot.catalog.as_ref().map(|it| it.limits.idle_timeout).unwrap_or_default();
    let used = Duration::from_millis(activity.used_ms.load(Ordering::Relaxed));
    activity.active.load(Ordering::Relaxed) == 0
        && timeout > Duration::ZERO
        && now.saturating_sub(used) > timeout + IDLE_MARGIN
}

/// Handles one request, and asks the caller to close the connection during a shutdown.
async fn respond(
    state: &Arc<State>,
    activity: &Arc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let guard = track_request(state, activity);
    let mut response = forward::handle(Arc::clone(state), request).await;
    if state.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().attach_guard(guard);
    Ok(response)
}

/// Counts a request as in flight until the returned guard is dropped.
fn track_request(state: &Arc<State>, activity: &Arc<Activity>) -> DropGuard {
    let (state, activity) = (Arc::clone(state), Arc::clone(activity));
    activity.active.fetch_add(1, Ordering::Relaxed);
    state.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    DropGuard::new(move || {
        activity.used_ms.store(state.now().as_millis() as u64, Ordering::Relaxed);
        activity.active.fetch_sub(1, Ordering::Relaxed);
        state.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    })
}
