//! One connection of a caller.

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
    forward::reply::{Body, Done},
    state::State,
};

/// Interval at which a connection is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time beyond the declared idle timeout for which an idle connection stays open.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time after the node began to stop for which callers may still send requests on kept connections.
const FAREWELL: Duration = Duration::from_millis(2500);

/// What is known about a connection.
#[derive(Debug, Default)]
struct Activity {
    /// Requests under way.
    active: AtomicUsize,
    /// When the last request ended, in milliseconds since the node's start.
    used_ms: AtomicU64,
}

/// Serves one connection to its end.
pub(crate) async fn serve(state: Arc<State>, stream: TcpStream) {
    let activity = Arc::new(Activity::default());
    activity.used_ms.store(state.now().as_millis() as u64, Ordering::Relaxed);
    let answer = service::service_fn(|request| answer(&state, &activity, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    let mut connection = std::pin::pin!(connection);
    loop {
        let ended = time::timeout(CHECK_INTERVAL, connection.as_mut()).await;
        if let Ok(ended) = ended {
            if let Err(error) = ended {
                log::debug!("a connection broke off: {error}");
            }
            return;
        }
        let is_over = state.stopping_for().is_some_and(|it| it > FAREWELL);
        if is_over || is_idle(&state, &activity, state.now()) {
            connection.as_mut().graceful_shutdown();
        }
    }
}

fn is_idle(state: &State, activity: &Activity, now: Duration) -> bool {
    let snapshot = state.routing.load();
    let timeout = snapshot.catalog.as_ref().map(|it| it.limits.idle_timeout).unwrap_or_default();
    let used = Duration::from_millis(activity.used_ms.load(Ordering::Relaxed));
    activity.active.load(Ordering::Relaxed) == 0
        && timeout > Duration::ZERO
        && now.saturating_sub(used) > timeout + IDLE_MARGIN
}

async fn answer(
    state: &Arc<State>,
    activity: &Arc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let done = note_request(state, activity);
    let mut response = forward::handle(Arc::clone(state), request).await;
    if state.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().on_end(done);
    Ok(response)
}

/// Counts a request until what is returned is dropped.
fn note_request(state: &Arc<State>, activity: &Arc<Activity>) -> Done {
    let (state, activity) = (Arc::clone(state), Arc::clone(activity));
    activity.active.fetch_add(1, Ordering::Relaxed);
    state.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    Done::new(move || {
        activity.used_ms.store(state.now().as_millis() as u64, Ordering::Relaxed);
        activity.active.fetch_sub(1, Ordering::Relaxed);
        state.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    })
}
