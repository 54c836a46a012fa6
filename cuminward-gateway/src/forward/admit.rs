//! Admission of requests: checks headers, finds the route and the team, and reads the body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::{
    catalog::{Catalog, Limits, Route, Team},
    request::Meta,
};
use http::{HeaderMap, Request, StatusCode, request::Parts};
use tokio::time::{self, Instant};

use super::{
    context::{self, Context, Input},
    reply::Rejection,
    upload,
};
use crate::state::State;

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
    check_headers(&parts.headers, &catalog.limits)?;
    let route = Arc::clone(find_route(catalog, &parts)?);
    let team = find_team(catalog, &route, meta.key.as_deref())?.cloned();
    let hides_key = !catalog.teams.is_empty();
    let deadline = context::deadline(started, &meta, &route);
    let body = time::timeout_at(deadline, upload::read(state, body, catalog.limits.body_bytes));
    let (body, reservation) = body.await.unwrap_or_else(|_| Err(upload::incomplete()))?;
    let no_target =
        Rejection::unavailable(NOT_READY_RETRY_AFTER).with_cause("the route has no target");
    let target = route.target(rand::random()).ok_or(no_target)?;
    let service = target.service.clone();
    let version = catalog.version;
    let input =
        Input { parts, body, reservation, meta, route, service, team, hides_key, version, started };
    Ok(Context::new(input))
}

/// Checks that the headers don't exceed the size limit of the catalog.
fn check_headers(headers: &HeaderMap, limits: &Limits) -> Result<(), Rejection> {
    /// Bytes of a header line in addition to its name and value: `: ` and CR LF.
    const LINE_BYTES: usize = 4;
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + LINE_BYTES
    };
    let bytes: usize = headers.iter().map(size).sum();
    if bytes > limits.header_bytes {
        let rejection = Rejection::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        return Err(rejection.with_cause("the request headers are too large"));
    }
    Ok(())
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
