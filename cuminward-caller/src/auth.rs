//! Authenticates a request and reads its context from the headers.

use std::time::Duration;

use cuminward_core::{
    id,
    outcome::{Cause, Refusal},
};
use http::{HeaderMap, HeaderName, header};
use subtle::ConstantTimeEq;

use crate::{backend, header as names};

/// Largest absolute value of a priority.
const MAX_PRIORITY: i32 = 100;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Credentials by which a node recognizes requests that other nodes relay.
#[derive(Clone)]
pub struct Relay {
    /// Bearer key of relayed requests; if empty, no request counts as relayed.
    pub secret: String,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

/// Builds the context of a request from its headers. A relayed request keeps the id in its headers;
/// any other request gets the id `request`.
///
/// # Errors
///
/// A refusal with the outcome "not run" if the bearer key is missing or unknown, or a header is
/// malformed.
pub fn context<B: backend::Backend>(
    backend: &B,
    relay: &Relay,
    request: id::Request,
    headers: &HeaderMap,
) -> Result<backend::Context, Refusal> {
    let key = bearer_key(headers)?;
    let relayed =
        !relay.secret.is_empty() && bool::from(key.as_bytes().ct_eq(relay.secret.as_bytes()));
    let (request, team, relay) = if relayed {
        let request = required_header(headers, &names::REQUEST)?;
        (
            request,
            required_header(headers, &names::TEAM)?,
            Some(required_header(headers, &names::RELAY)?),
        )
    } else {
        (request, authenticate(backend, key)?, None)
    };
    Ok(backend::Context {
        request,
        team,
        priority: parse_priority(headers)?,
        deadline: parse_deadline(headers)?,
        relay,
    })
}

/// Reads the idempotency key of a request, if the request has one.
///
/// # Errors
///
/// A refusal with the outcome "not run" if the key is empty, too long or not plain text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<id::Key>, Refusal> {
    let Some(key) = header_text(headers, &names::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || MAX_KEY_BYTES < key.len() {
        let message = format!("idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(Cause::InvalidRequest, message));
    }
    Ok(Some(key.to_owned()))
}

/// Returns the team of a bearer key.
fn authenticate<B: backend::Backend>(backend: &B, key: &str) -> Result<id::Team, Refusal> {
    backend
        .authenticate(key)
        .ok_or_else(|| Refusal::not_run(Cause::Unauthenticated, "the bearer key is not known"))
}

/// Returns the bearer key of a request.
fn bearer_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = header_text(headers, &header::AUTHORIZATION)?;
    value.and_then(|it| it.strip_prefix("Bearer ")).ok_or_else(|| {
        let message = "the header `authorization: Bearer KEY` is missing";
        Refusal::not_run(Cause::Unauthenticated, message)
    })
}

fn parse_priority(headers: &HeaderMap) -> Result<i32, Refusal> {
    let Some(value) = header_text(headers, &names::PRIORITY)? else {
        return Ok(0);
    };
    let priority = value.parse::<i32>().ok().filter(|it| it.abs() <= MAX_PRIORITY);
    priority.ok_or_else(|| malformed_header(&names::PRIORITY, "a whole number from -100 to 100"))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = header_text(headers, &names::DEADLINE)? else {
        return Ok(None);
    };
    let milliseconds = value.parse::<u64>().ok().filter(|it| 0 < *it);
    match milliseconds {
        Some(milliseconds) => Ok(Some(Duration::from_millis(milliseconds))),
        None => Err(malformed_header(&names::DEADLINE, "a positive number of milliseconds")),
    }
}

/// Returns a header that a relayed request must have.
fn required_header(headers: &HeaderMap, name: &HeaderName) -> Result<String, Refusal> {
    let value = header_text(headers, name)?;
    value
        .map(ToOwned::to_owned)
        .ok_or_else(|| malformed_header(name, "present on a relayed request"))
}

/// Returns the value of a header as text, `None` if the header is absent.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| malformed_header(name, "plain text"))
}

/// Returns the refusal of a request with a malformed header.
fn malformed_header(name: &HeaderName, expected: &str) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, format!("the header `{name}` must be {expected}"))
}
