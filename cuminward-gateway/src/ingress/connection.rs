//! Serves the HTTP connections of callers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use cuminward_serving::id;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use super::{
    activity::Activity,
    body,
    ending::{self, Ending, Reason},
    socket::Socket,
};
use crate::{
    forward,
    forward::reply::{Body, DropGuard},
    state::{State, callers},
};

/// Interval at which a connection is checked for idleness and shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time beyond the idle timeout of the catalog for which an idle connection stays open.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Time after which a caller that reads nothing of its response is cut off, in calm and while connections are needed for
/// others.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);
const CROWDED_UNREAD_TIME: Duration = Duration::from_secs(3);

/// Time in which the head of a request usually arrives.
const USUAL_HEAD_TIME: Duration = Duration::from_millis(500);

/// Time after the start of a shutdown during which callers may still send requests on keep-alive
/// connections.
const KEEP_ALIVE_GRACE: Duration = Duration::from_millis(2500);

/// Serves a connection until it is closed by the caller, by an idle timeout or by a shutdown.
pub(crate) async fn serve(state: Arc<State>, stream: TcpStream) {
    let activity = Arc::new(Activity::new(Arc::clone(&state)));
    state.callers.add(activity.connection());
    let limits = state.routing.load().catalog.as_ref().map(|it| it.limits.header_bytes);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(callers::buffer_bytes(limits));
    let handler = service::service_fn(|request| respond(&state, &activity, request));
    let socket = Socket::new(stream, Arc::clone(&activity));
    let mut connection = builder.serve_connection(TokioIo::new(socket), handler);
    let ending = loop {
        let check = async {
            // Either ends the wait; what is due is checked below.
            let eviction = activity.connection().eviction.notified();
            let _ = time::timeout(CHECK_INTERVAL, eviction).await;
        };
        tokio::select! {
            ended = &mut connection => break end(&activity, connection, &ended).await,
            () = check => {}
        }
        if is_unread(&activity) {
            let in_flight = activity.active() as u64;
            break Ending { in_flight, ..Ending::between_requests(Reason::Unread, 0) };
        }
        let Some(reason) = reason_to_close(&state, &activity) else { continue };
        // Nothing is in flight and all is sent, so that taking the connection apart loses nothing.
        let http1::Parts { io, read_buf, service, .. } = connection.into_parts();
        let mut socket = io.into_inner();
        let unread = socket.unread();
        let bytes = next_request_bytes(&read_buf) as u64 + unread;
        match (reason, bytes) {
            (Reason::SlowHead, 0) => activity.reset_receiving(),
            (Reason::SlowHead, _) if unread == 0 => {
                activity.begin_drain();
                socket.refuse_slow_head().await;
                break Ending::between_requests(reason, bytes);
            }
            (_, 0) => break Ending::between_requests(reason, bytes),
            _ => socket.unread_again(read_buf),
        }
        connection = builder.serve_connection(TokioIo::new(socket), service);
    };
    ending::record(&state, &activity, ending);
}

/// Returns whether the caller has read nothing of its response for too long.
fn is_unread(activity: &Activity) -> bool {
    let limit = if activity.is_crowded() { CROWDED_UNREAD_TIME } else { MAX_UNREAD_TIME };
    activity.unread_for().is_some_and(|it| it > limit)
}

/// Returns why the connection must be closed, if it must and no request is in flight on it. Bytes of a request
/// may have arrived all the same.
fn reason_to_close(state: &State, activity: &Activity) -> Option<Reason> {
    if activity.active() > 0 {
        None
    } else if is_head_slow(state, activity) {
        Some(Reason::SlowHead)
    } else if activity.connection().is_evicted() {
        Some(Reason::Crowded)
    } else if state.stopping_for().is_some_and(|it| it > KEEP_ALIVE_GRACE) {
        Some(Reason::Stopping)
    } else {
        is_idle(state, activity).then_some(Reason::Idle)
    }
}

/// Returns whether the head of a request arrives for longer than the catalog allows, or than is usual if the connection
/// is to be closed to make room.
fn is_head_slow(state: &State, activity: &Activity) -> bool {
    let receiving_for = activity.receiving_for();
    if activity.connection().is_evicted() && receiving_for.is_some_and(|it| it > USUAL_HEAD_TIME) {
        return true;
    }
    let snapshot = state.routing.load();
    let timeout = snapshot.catalog.as_ref().map(|it| it.limits.header_timeout).unwrap_or_default();
    timeout > Duration::ZERO && receiving_for.is_some_and(|it| it > timeout)
}

/// Returns the number of buffered bytes that belong to a next request. Line ends may precede its head, and don't
/// begin it.
fn next_request_bytes(buffered: &[u8]) -> usize {
    buffered.trim_ascii_start().len()
}

/// Ends a connection that hyper is done with, and returns how it ended. After a refusal, the rest of the request
/// is read first, so that the refusal isn't lost.
async fn end<S>(
    activity: &Activity,
    connection: http1::Connection<TokioIo<Socket>, S>,
    ended: &hyper::Result<()>,
) -> Ending
where
    S: service::HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    let (reason, in_flight) = (reason_of_end(activity, ended), activity.active() as u64);
    let http1::Parts { io, read_buf, .. } = connection.into_parts();
    let mut socket = io.into_inner();
    let mut buffered = read_buf.len() as u64;
    let needs_drain = needs_drain(activity, ended, &read_buf);
    drop(read_buf);
    if needs_drain {
        activity.begin_drain();
        socket.drain().await;
        buffered = 0;
    }
    Ending {
        reason,
        cause: ended.as_ref().err().map(ToString::to_string).unwrap_or_default(),
        in_flight,
        bytes: buffered + socket.unread(),
    }
}

/// Returns whether the caller may still be sending a request whose refusal was sent: one whose body wasn't read,
/// or whose head is malformed or too large for hyper, which then responds by itself.
fn needs_drain(activity: &Activity, ended: &hyper::Result<()>, read_buf: &[u8]) -> bool {
    !activity.is_ended()
        && match ended {
            Ok(()) => activity.connection().is_body_open() || !read_buf.is_empty(),
            Err(error) => error.is_parse(),
        }
}

/// Returns what ended a connection that the node didn't close between requests.
fn reason_of_end(activity: &Activity, ended: &hyper::Result<()>) -> Reason {
    match ended {
        _ if activity.is_ended() => Reason::Caller,
        Ok(()) => Reason::Response,
        Err(_) => Reason::Error,
    }
}

/// Returns whether the connection has been idle for longer than the catalog allows.
fn is_idle(state: &State, activity: &Activity) -> bool {
    let snapshot = state.routing.load();
    let timeout = snapshot.catalog.as_ref().map(|it| it.limits.idle_timeout).unwrap_or_default();
    timeout > Duration::ZERO && activity.unused_for() > timeout + IDLE_MARGIN
}

/// Handles one request, and asks the caller to close the connection during a shutdown. The request is in
/// flight from the call on, not only from when the future is polled.
fn respond(
    state: &Arc<State>,
    activity: &Arc<Activity>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<Body>, Infallible>> + use<> {
    let (state, activity) = (Arc::clone(state), Arc::clone(activity));
    let meta = cuminward_adapter::header::read_request(request.headers());
    let guard = track_request(&activity, meta.id.clone());
    let request = request.map(|it| body::Body::new(it, Arc::clone(&activity)));
    async move {
        let mut response = forward::handle(Arc::clone(&state), request, meta).await;
        let connection = activity.connection();
        // A refused request whose body wasn't read is the last one on its connection.
        if state.is_stopping() || connection.is_body_open() || connection.is_evicted() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.body_mut().attach_guard(guard);
        Ok(response)
    }
}

/// Counts a request as in flight until the returned guard is dropped and the response is sent.
fn track_request(activity: &Arc<Activity>, id: Option<id::Request>) -> DropGuard {
    let activity = Arc::clone(activity);
    activity.begin_request(id);
    DropGuard::new(move || activity.record_answer())
}
