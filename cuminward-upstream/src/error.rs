//! Errors of calls to upstreams, classified by whether the request may have run.

use std::{fmt, time::Duration};

use cuminward_core::{id, outcome};
use serde::Deserialize;

/// Why a call to an upstream failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The connection could not be opened, or no part of the request was written to one.
    Connect {
        /// Address of the upstream.
        address: String,
        /// Cause of the failure.
        message: String,
        /// Whether nothing accepts connections at the address.
        is_refused: bool,
    },
    /// The upstream responded that it did not run the request.
    Refused(Answer),
    /// The upstream responded with an error that leaves open whether the request ran.
    Answer(Answer),
    /// The connection failed before the response head arrived; the request may have been written.
    Disconnected {
        /// Cause of the failure.
        message: String,
    },
    /// The response ended before it was complete.
    Truncated {
        /// Tokens received in this stream; 0 for bodies of other calls.
        tokens: u64,
        /// Cause of the failure.
        message: String,
    },
    /// No data, or for short calls no complete response, arrived within the time limit. The
    /// connection was discarded.
    Timeout {
        /// Tokens received in this stream; 0 before the response head.
        tokens: u64,
        /// The time limit.
        limit: Duration,
    },
    /// The response violates the protocol.
    Malformed {
        /// Tokens received in this stream.
        tokens: u64,
        /// Description of the violation.
        message: String,
    },
}

/// An error response of an upstream.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Answer {
    /// HTTP status; 0 for an error within a stream.
    pub status: u16,
    /// Error code; empty if the response has none.
    pub code: String,
    /// Error message; empty if the response has none.
    pub message: String,
    /// Largest fencing number that the host has seen; sent with the code `stale-fence`.
    pub fence: Option<id::Fence>,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_seconds: Option<u32>,
    /// Tokens received before the error.
    pub tokens: u64,
}

/// JSON body of an error response.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Envelope {
    #[serde(default)]
    pub(crate) error: Detail,
    #[serde(default)]
    pub(crate) fence: Option<id::Fence>,
}

/// Code, message and fencing number of an error in a body or stream.
#[derive(Debug, Default, Clone, Deserialize)]
pub(crate) struct Detail {
    #[serde(default)]
    pub(crate) code: String,
    #[serde(default)]
    pub(crate) message: String,
    #[serde(default)]
    pub(crate) fence: Option<id::Fence>,
}

/// Life cycle
impl Error {
    /// Creates the error of a request that can't be sent to any upstream.
    pub(crate) fn unsendable(cause: &impl fmt::Display) -> Error {
        Error::Connect { address: String::new(), message: cause.to_string(), is_refused: false }
    }
}

/// Access
impl Error {
    /// Returns [`outcome::Outcome::NotRun`] if the request provably did not run, else
    /// [`outcome::Outcome::Unknown`].
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            Error::Connect { .. } | Error::Refused(_) => outcome::Outcome::NotRun,
            Error::Answer(_)
            | Error::Disconnected { .. }
            | Error::Truncated { .. }
            | Error::Timeout { .. }
            | Error::Malformed { .. } => outcome::Outcome::Unknown,
        }
    }

    /// Returns whether nothing accepts connections at the address of the upstream.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Error::Connect { is_refused: true, .. })
    }

    /// Returns the number of tokens received in this stream before the failure.
    pub fn tokens(&self) -> u64 {
        match self {
            Error::Connect { .. } | Error::Disconnected { .. } => 0,
            Error::Refused(it) | Error::Answer(it) => it.tokens,
            Error::Truncated { tokens, .. }
            | Error::Timeout { tokens, .. }
            | Error::Malformed { tokens, .. } => *tokens,
        }
    }

    /// Returns the error response of the upstream, if it sent one.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Error::Refused(it) | Error::Answer(it) => Some(it),
            _ => None,
        }
    }
}

// Nodes append these texts to the refusals that callers receive; they are part of the interface and
// must not change.
impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect { address, message, .. } => {
                write!(f, "no connection to {address}: {message}")
            }
            Error::Refused(it) => {
                write!(f, "refused with {} {}: {}", it.status, it.code, it.message)
            }
            Error::Answer(it) => write!(f, "failed with {} {}: {}", it.status, it.code, it.message),
            Error::Disconnected { message } => write!(f, "failed before an answer: {message}"),
            Error::Truncated { tokens, message } => {
                write!(f, "cut off after {tokens} tokens: {message}")
            }
            Error::Timeout { tokens, limit } => {
                write!(f, "silent for {} ms after {tokens} tokens", limit.as_millis())
            }
            Error::Malformed { tokens, message } => {
                write!(f, "malformed reply after {tokens} tokens: {message}")
            }
        }
    }
}

impl std::error::Error for Error {}
