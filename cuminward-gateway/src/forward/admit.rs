//! Whether a request may be served, and its body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::{
    catalog::{Catalog, Limits, Route, Team},
    request::Meta,
};
use http::{HeaderMap, Request, StatusCode, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    job::{Content, Job},
    reply::Denial,
};
use crate::state::State;

/// When callers may come again while the node knows no catalog.
const STARTING: Duration = Duration::from_millis(500);

/// Time after the node began to stop from which it takes no more requests: those that it has taken
/// need the rest of the grace period.
const LAST_CALL: Duration = Duration::from_secs(3);

/// When callers whose request comes too late may try another node.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// When callers may come again with a request that crashes hosts.
const CRASHING: Duration = Duration::from_secs(30);

/// Admits a request and reads its body.
pub(crate) async fn admit(
    state: &State,
    request: Request<Incoming>,
    meta: Meta,
) -> Result<Job, Denial> {
    let started = Instant::now();
    if state.stopping_for().is_some_and(|it| it > LAST_CALL) {
        return Err(Denial::later(ELSEWHERE).because("the node is about to stop"));
    }
    let snapshot = state.routing.load_full();
    let starting = Denial::later(STARTING).because("no catalog is known yet");
    let catalog = snapshot.catalog.as_ref().ok_or(starting)?;
    let (parts, body) = request.into_parts();
    check_headers(&parts.headers, &catalog.limits)?;
    let route = Arc::clone(route(catalog, &parts)?);
    let team = team(catalog, &route, meta.key.as_deref())?.cloned();
    let hides_key = !catalog.teams.is_empty();
    let body = read(body, &catalog.limits).await?;
    let aimless = Denial::later(STARTING).because("the route has no target");
    let target = route.target(rand::random()).ok_or(aimless)?;
    let service = target.service.clone();
    let version = catalog.version;
    let content = Content { parts, body, meta, route, service, team, hides_key, version, started };
    let job = Job::new(content);
    if state.crashes().is_quarantined(state.now(), job.fingerprint) {
        return Err(Denial::later(CRASHING).because("it crashes the hosts that run it"));
    }
    Ok(job)
}

fn check_headers(headers: &HeaderMap, limits: &Limits) -> Result<(), Denial> {
    /// Bytes of a header line beside its name and value.
    const LINE_BYTES: usize = 4;
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + LINE_BYTES
    };
    let bytes: usize = headers.iter().map(size).sum();
    if bytes > limits.header_bytes {
        let denial = Denial::of(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        return Err(denial.because("its headers are too large"));
    }
    Ok(())
}

fn route<'a>(catalog: &'a Catalog, parts: &Parts) -> Result<&'a Arc<Route>, Denial> {
    let named = parts.headers.get(http::header::HOST).and_then(|it| it.to_str().ok());
    let host = parts.uri.host().or(named).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    let unknown = Denial::of(StatusCode::NOT_FOUND).because("no route leads there");
    catalog.route(&host, parts.uri.path()).ok_or(unknown)
}

fn team<'a>(
    catalog: &'a Catalog,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Arc<Team>>, Denial> {
    let team = key.and_then(|it| catalog.team(it));
    if team.is_some() || route.is_anonymous || catalog.teams.is_empty() {
        return Ok(team);
    }
    Err(Denial::of(StatusCode::UNAUTHORIZED).because("no team holds its key"))
}

async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Denial> {
    match Limited::new(body, limits.body_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Denial::of(StatusCode::PAYLOAD_TOO_LARGE).because("its body is too large"))
        }
        Err(error) => {
            log::debug!("a body broke off: {error}");
            Err(Denial::of(StatusCode::BAD_REQUEST).because("its body broke off"))
        }
    }
}
