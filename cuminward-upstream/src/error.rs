//! Failures of calls to upstreams, and what they say about execution.

use std::{fmt, time::Duration};

use cuminward_core::{id, outcome};
use serde::Deserialize;

/// A failed call.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// No connection could be made, or the request was never written to one.
    Connect {
        /// Address of the upstream.
        address: String,
        /// Cause.
        message: String,
    },
    /// The upstream answered that it did not run the request.
    Refused(Answer),
    /// The upstream answered with an error that leaves open whether the request ran.
    Answer(Answer),
    /// The connection failed after the request may have been written, before an answer.
    Disconnected {
        /// Cause.
        message: String,
    },
    /// The reply ended before its end.
    Truncated {
        /// Tokens that had arrived in this stream; 0 for bodies of other calls.
        tokens: u64,
        /// Cause.
        message: String,
    },
    /// No byte arrived within the bound; the connection was dropped.
    Timeout {
        /// Tokens that had arrived in this stream; 0 before the answer's head.
        tokens: u64,
        /// The bound.
        limit: Duration,
    },
    /// The reply doesn't follow the protocol.
    Malformed {
        /// Tokens that had arrived in this stream.
        tokens: u64,
        /// What is wrong.
        message: String,
    },
}

/// An error answer of an upstream.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Answer {
    /// HTTP status; 0 for an error inside a stream.
    pub status: u16,
    /// Code of the error, or an empty text.
    pub code: String,
    /// Explanation, or an empty text.
    pub message: String,
    /// Largest fencing number that the host has seen, with `stale-fence`.
    pub fence: Option<id::Fence>,
    /// Seconds after which the upstream asks for a new try.
    pub retry_after_seconds: Option<u32>,
    /// Tokens that had arrived before the error.
    pub tokens: u64,
}

/// Body of an error answer.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Wire {
    #[serde(default)]
    pub(crate) error: Detail,
    #[serde(default)]
    pub(crate) fence: Option<id::Fence>,
}

/// Code and message of an error answer.
#[derive(Debug, Default, Clone, Deserialize)]
pub(crate) struct Detail {
    #[serde(default)]
    pub(crate) code: String,
    #[serde(default)]
    pub(crate) message: String,
    #[serde(default)]
    pub(crate) fence: Option<id::Fence>,
}

/// Access
impl Error {
    /// What the failure says about the request's execution.
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

    /// Tokens that had arrived in this stream before the failure.
    pub fn tokens(&self) -> u64 {
        match self {
            Error::Connect { .. } | Error::Disconnected { .. } => 0,
            Error::Refused(it) | Error::Answer(it) => it.tokens,
            Error::Truncated { tokens, .. }
            | Error::Timeout { tokens, .. }
            | Error::Malformed { tokens, .. } => *tokens,
        }
    }

    /// The error answer of the upstream, if it gave one.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Error::Refused(it) | Error::Answer(it) => Some(it),
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect { address, message } => {
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
