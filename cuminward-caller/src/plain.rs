//! Handler that forwards calls to plain services.
//!
//! A call whose method isn't safe and that has the header `idempotency-key` runs at most once. A
//! repeated call gets the first reply with `cuminward-replayed: true`. The key is forwarded to the
//! service. Hop-by-hop headers, and those that concern only the caller and cuminward, are not
//! forwarded.

use axum::response::Response;
use bytes::Bytes;
use cuminward_core::{
    id,
    outcome::{Outcome, Refusal},
};
use cuminward_upstream::plain as upstream;
use http::{HeaderMap, HeaderName, Method, Uri, header};

use crate::{auth, backend, failure, header as names};

/// Headers that concern only the caller and cuminward.
const INTERNAL_HEADERS: [HeaderName; 6] = [
    header::AUTHORIZATION,
    names::RELAY,
    names::TEAM,
    names::DEADLINE,
    names::PRIORITY,
    names::OUTCOME,
];

/// Parts of a caller's request to a plain service.
pub(crate) struct Parts {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) service: id::Service,
}

/// Executes one call and returns the response of the service.
///
/// # Errors
///
/// A refusal if the idempotency key is malformed, or the refusal of the backend.
pub(crate) async fn handle<B: backend::Backend>(
    backend: &B,
    context: backend::Context,
    parts: Parts,
    body: Bytes,
) -> Result<Response, Refusal> {
    let request = context.request.clone();
    let key = auth::idempotency_key(&parts.headers)?;
    let path = service_path(&parts.uri, &parts.service);
    let call = backend::Call {
        context,
        path,
        service: parts.service,
        method: parts.method,
        headers: strip_headers(parts.headers),
        body,
        key,
    };
    let answer = backend.call(call).await?;
    let mut response = Response::new(answer.body.into());
    *response.status_mut() = answer.status;
    *response.headers_mut() = strip_headers(answer.headers);
    failure::set_headers(&mut response, &request, Outcome::Complete);
    Ok(response)
}

/// Removes the headers that must not be forwarded.
fn strip_headers(mut headers: HeaderMap) -> HeaderMap {
    upstream::strip_hop_headers(&mut headers);
    for name in [header::CONTENT_LENGTH, header::HOST].iter().chain(&INTERNAL_HEADERS) {
        headers.remove(name);
    }
    headers
}

/// Returns the path and query relative to `/services/{service}`; at least `/`.
fn service_path(uri: &Uri, service: &str) -> String {
    let full = uri.path_and_query().map_or("/", |it| it.as_str());
    let prefix = format!("/services/{service}");
    let rest = full.strip_prefix(&prefix).unwrap_or("/");
    if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
}
