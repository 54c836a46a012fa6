//! Messages of generation requests that are relayed to a node in another failure domain.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use http::HeaderName;
use serde_with::{DurationMilliSeconds, serde_as};

/// Path of the endpoint at the other node.
pub const PATH: &str = "/internal/generate";

/// Response header in which a node states whether a failed request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cuminward-outcome");

/// Value of [`OUTCOME_HEADER`] for a request that provably did not run.
pub const NOT_RUN: &str = "not-run";

/// A generation request from one node to another.
#[serde_as]
#[record]
pub struct Request {
    /// Requested model.
    pub model: id::Model,
    /// Requested version of the model, if any.
    pub version: Option<id::Version>,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token to send.
    pub resume_at: u64,
    /// Time within which the generation must have started.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}
