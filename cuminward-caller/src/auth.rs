//! Who calls, and with which wishes: the context of a request from its headers.

use std::time::Duration;

use cuminward_core::{
    id,
    outcome::{Cause, Refusal},
};
use http::{HeaderMap, HeaderName, header};
use subtle::ConstantTimeEq;

use crate::{backend, header as names};

/// Largest absolute priority.
const MAX_PRIORITY: i32 = 100;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Secret that nodes show each other on relayed requests.
#[derive(Clone)]
pub struct Relay {
    /// Bearer key of relayed requests.
    pub secret: String,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

/// Makes the context of a request; a relayed request keeps the id that it came with.
///
/// # Errors
///
/// A refusal that says "not run" if the key is missing or unknown, or a header is malformed.
pub fn context<B: backend::Backend>(
    backend: &B,
    relay: &Relay,
    request: id::Request,
    headers: &HeaderMap,
) -> Result<backend::Context, Refusal> {
    let key = bearer(headers)?;
    let relayed =
        !relay.secret.is_empty() && bool::from(key.as_bytes().ct_eq(relay.secret.as_bytes()));
    let (request, team, relay) = if relayed {
        let request = required(headers, &names::REQUEST)?;
        (request, required(headers, &names::TEAM)?, Some(required(headers, &names::RELAY)?))
    } else {
        (request, team_of(backend, key)?, None)
    };
    Ok(backend::Context {
        request,
        team,
        priority: priority(headers)?,
        deadline: deadline(headers)?,
        relay,
    })
}

/// Reads the idempotency key.
///
/// # Errors
///
/// A refusal that says "not run" if the key is empty, too long or not plain text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<id::Key>, Refusal> {
    let Some(key) = text(headers, &names::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || MAX_KEY_BYTES < key.len() {
        let message = format!("idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(Cause::InvalidRequest, message));
    }
    Ok(Some(key.to_owned()))
}

fn team_of<B: backend::Backend>(backend: &B, key: &str) -> Result<id::Team, Refusal> {
    backend
        .authenticate(key)
        .ok_or_else(|| Refusal::not_run(Cause::Unauthenticated, "the bearer key is not known"))
}

fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = text(headers, &header::AUTHORIZATION)?;
    value.and_then(|it| it.strip_prefix("Bearer ")).ok_or_else(|| {
        let message = "the header `authorization: Bearer KEY` is missing";
        Refusal::not_run(Cause::Unauthenticated, message)
    })
}

fn priority(headers: &HeaderMap) -> Result<i32, Refusal> {
    let Some(value) = text(headers, &names::PRIORITY)? else {
        return Ok(0);
    };
    let priority = value.parse::<i32>().ok().filter(|it| it.abs() <= MAX_PRIORITY);
    priority.ok_or_else(|| malformed(&names::PRIORITY, "a whole number from -100 to 100"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = text(headers, &names::DEADLINE)? else {
        return Ok(None);
    };
    let milliseconds = value.parse::<u64>().ok().filter(|it| 0 < *it);
    match milliseconds {
        Some(milliseconds) => Ok(Some(Duration::from_millis(milliseconds))),
        None => Err(malformed(&names::DEADLINE, "a positive number of milliseconds")),
    }
}

fn required(headers: &HeaderMap, name: &HeaderName) -> Result<String, Refusal> {
    let value = text(headers, name)?;
    value.map(ToOwned::to_owned).ok_or_else(|| malformed(name, "present on a relayed request"))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| malformed(name, "plain text"))
}

fn malformed(name: &HeaderName, expected: &str) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, format!("the header `{name}` must be {expected}"))
}
