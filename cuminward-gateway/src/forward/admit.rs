//! Admission of requests: checks headers, finds the route and the team, and reads the body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_adapter::header;
use cuminward_serving::{
    catalog::{Catalog, Limits, Route, Team},
    request::Meta,
    share::Head,
};
use http::{HeaderMap, Request, StatusCode, request::Parts};
use tokio::time::{self, Instant};

use super::{
    context::{self, Context, Input},
    reply::Rejection,
    upload::{self, Memory},
};
use crate::state::{State, callers::REQUEST_LINE_BYTES};

/// `Retry-After` sent while the node has no catalog, or when a route has no target.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the start of a shutdown during which new requests are still admitted. The rest of the
/// grace period is left to the requests that are already in flight.
const ADMISSION_GRACE: Duration = Duration::from_secs(3);

/// `Retry-After` sent after [`ADMISSION_GRACE`] has passed: the caller should try another node at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Admits a request and reads its body.
///
/// # Errors
///
/// Returns a [`Rejection`] if the node is shutting down or has no catalog, if no route or team matches,
/// if the headers or the body are too large, or if the body can't be read or doesn't arrive in time.
pub(crate) async fn admit<B>(
    state: &State,
    request: Request<B>,
    meta: Meta,
) -> Result<Context, Rejection>
where
    B: http_body::Body<Data = Bytes, Error = upload::Error>,
{
    let started = Instant::now();
    if state.stopping_for().is_some_and(|it| it > ADMISSION_GRACE) {
        return Err(
            Rejection::unavailable(STOPPING_RETRY_AFTER).with_cause("the node is shutting down")
        );
    }
    let snapshot = state.routing.load_full();
    let no_catalog = Rejection::unavailable(NOT_READY_RETRY_AFTER)
        .with_cause("no catalog has been received yet");
    let catalog = snapshot.catalog.as_ref().ok_or(no_catalog)?;
    let (parts, body) = request.into_parts();
    let head = check_head(&parts, &catalog.limits)?;
    let route = Arc::clone(find_route(catalog, &parts)?);
    let team = find_team(catalog, &route, meta.key.as_deref())?.cloned();
    let hides_key = !catalog.teams.is_empty();
    let deadline = context::deadline(started, &meta, &route);
    let mut memory = Memory::reserve(state, head)?;
    let max_bytes = catalog.limits.body_bytes;
    let body = time::timeout_at(deadline, upload::read(state, body, max_bytes, &mut memory));
    let body = body.await.unwrap_or_else(|_| Err(upload::incomplete()))?;
    let prompt_parts = header::read_prompt_parts(&parts.headers);
    let no_target =
        Rejection::unavailable(NOT_READY_RETRY_AFTER).with_cause("the route has no target");
    let target = route.target(rand::random()).ok_or(no_target)?;
    let service = target.service.clone();
    let version = catalog.version;
    let reservation = memory.into_reservation();
    Ok(Context::new(Input {
        parts,
        body,
        prompt_parts,
        reservation,
        meta,
        route,
        service,
        team,
        hides_key,
        version,
        started,
    }))
}

/// Checks that the request line and the headers don't exceed their limits, and returns the size of both.
fn check_head(parts: &Parts, limits: &Limits) -> Result<Head, Rejection> {
    let too_large = Rejection::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let line_bytes = request_line_bytes(parts);
    if line_bytes > REQUEST_LINE_BYTES {
        return Err(too_large.with_cause("the request line is too long"));
    }
    let header_bytes = header_bytes(&parts.headers);
    if header_bytes > limits.header_bytes {
        return Err(too_large.with_cause("the request headers are too large"));
    }
    Ok(Head {
        bytes: line_bytes + header_bytes,
        lines: parts.headers.len(),
        prompt_parts: header::count_prompt_parts(&parts.headers),
    })
}

/// Returns the size of the request line, without the version, in bytes.
fn request_line_bytes(parts: &Parts) -> usize {
    let target = &parts.uri;
    let authority = target.authority().map_or(0, |it| it.as_str().len());
    let path = target.path_and_query().map_or(0, |it| it.as_str().len());
    parts.method.as_str().len() + authority + path
}

/// Returns the size of the header lines, in bytes.
fn header_bytes(headers: &HeaderMap) -> usize {
    /// Bytes of a header line in addition to its name and value: `: ` and CR LF.
    const LINE_BYTES: usize = 4;
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES).sum()
}

/// Returns the route for the request's host, without its port, and path.
fn find_route<'a>(catalog: &'a Catalog, parts: &Parts) -> Result<&'a Arc<Route>, Rejection> {
    let host_header = parts.headers.get(http::header::HOST).and_then(|it| it.to_str().ok());
    let host = parts.uri.host().or(host_header).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    let not_found =
        Rejection::new(StatusCode::NOT_FOUND).with_cause("no route matches the host and path");
    catalog.route(&host, parts.uri.path()).ok_or(not_found)
}

/// Returns the team of an API key. Requests without a valid key are accepted if the route is anonymous
/// or the catalog declares no teams.
fn find_team<'a>(
    catalog: &'a Catalog,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Arc<Team>>, Rejection> {
    let team = key.and_then(|it| catalog.team(it));
    if team.is_some() || route.is_anonymous || catalog.teams.is_empty() {
        return Ok(team);
    }
    Err(Rejection::new(StatusCode::UNAUTHORIZED)
        .with_cause("the API key is missing or belongs to no team"))
}
