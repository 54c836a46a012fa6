//! Reads the whole body of a request, with limits on size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use cuminward_core::outcome::{Cause, Refusal};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Limits of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Timeout for receiving the whole body.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { max_bytes: 4 * 1024 * 1024, timeout: Duration::from_secs(10) }
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// A refusal with the outcome "not run" if the body is too large, arrives too slowly or is
/// incomplete.
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
