//! Reads a request's body whole, within bounds of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use cuminward_core::outcome::{Cause, Refusal};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Bounds of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Longest time until the body is there.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { max_bytes: 4 * 1024 * 1024, timeout: Duration::from_secs(10) }
    }
}

/// Reads a body.
///
/// # Errors
///
/// A refusal that says "not run" if the body is too large, too slow or cut off.
pub async fn read(body: Body, options: Options) -> Result<Bytes, Refusal> {
    let collect = Limited::new(body, options.max_bytes).collect();
    let collected = tokio::time::timeout(options.timeout, collect).await.map_err(|_| {
        let message = format!("the body did not arrive within {:?}", options.timeout);
        Refusal::not_run(Cause::Timeout, message)
    })?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Cause::TooLarge,
            format!("the body is larger than {} bytes", options.max_bytes),
        )),
        Err(error) => Err(Refusal::not_run(
            Cause::InvalidRequest,
            format!("the body could not be read: {error}"),
        )),
    }
}
