//! Passes calls to plain services.
//!
//! A call that isn't safe and has the header `idempotency-key` runs at most once. A repeat gets the
//! first reply with `cuminward-replayed: true`; the key itself is passed on to the service. Headers
//! that belong to one connection, and those between the caller and cuminward, are not passed on.

use axum::response::Response;
use bytes::Bytes;
use cuminward_core::{
    id,
    outcome::{Outcome, Refusal},
};
use cuminward_upstream::plain as upstream;
use http::{HeaderMap, HeaderName, Method, Uri, header};

use crate::{auth, backend, failure, header as names};

/// Headers between the caller and cuminward.
const OWN_HEADERS: [HeaderName; 6] = [
    header::AUTHORIZATION,
    names::RELAY,
    names::TEAM,
    names::DEADLINE,
    names::PRIORITY,
    names::OUTCOME,
];

/// Parts of a caller's request.
pub(crate) struct Parts {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) service: id::Service,
}

/// Runs one call and passes its answer.
///
/// # Errors
///
/// The backend's refusal, or that of a malformed idempotency key.
pub(crate) async fn answer<B: backend::Backend>(
    backend: &B,
    context: backend::Context,
    parts: Parts,
    body: Bytes,
) -> Result<Response, Refusal> {
    let request = context.request.clone();
    let key = auth::idempotency_key(&parts.headers)?;
    let path = below_service(&parts.uri, &parts.service);
    let call = backend::Call {
        context,
        path,
        service: parts.service,
        method: parts.method,
        headers: passed_on(parts.headers),
        body,
        key,
    };
    let answer = backend.call(call).await?;
    let mut response = Response::new(answer.body.into());
    *response.status_mut() = answer.status;
    *response.headers_mut() = passed_on(answer.headers);
    failure::stamp(&mut response, &request, Outcome::Complete);
    Ok(response)
}

/// Removes the headers that aren't passed on.
fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    upstream::strip_hop_headers(&mut headers);
    for name in [header::CONTENT_LENGTH, header::HOST].iter().chain(&OWN_HEADERS) {
        headers.remove(name);
    }
    headers
}

/// Path and query below `/services/{service}`; at least `/`.
fn below_service(uri: &Uri, service: &str) -> String {
    let whole = uri.path_and_query().map_or("/", |it| it.as_str());
    let prefix = format!("/services/{service}");
    let rest = whole.strip_prefix(&prefix).unwrap_or("/");
    if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
}
