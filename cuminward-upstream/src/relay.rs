//! Generations at another node, which runs them in its own failure domain.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use http::HeaderName;
use serde_with::{DurationMilliSeconds, serde_as};

/// Path of the call at the other node.
pub const PATH: &str = "/internal/generate";

/// Header by which a node says what became of a request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cuminward-outcome");

/// Value of [`OUTCOME_HEADER`] for a request that provably did not run.
pub const NOT_RUN: &str = "not-run";

/// A generation request between nodes.
#[serde_as]
#[record]
pub struct Request {
    /// Model that is asked for.
    pub model: id::Model,
    /// Version that is asked for.
    pub version: Option<id::Version>,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token to send.
    pub resume_at: u64,
    /// Time within which the request has to have begun.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}
