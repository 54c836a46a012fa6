//! Interface through which the routes use the node.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cuminward_core::{id, outcome};
use futures::Stream;

/// Admits and executes requests.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Stream of the events of one generation.
    type Tokens: Stream<Item = Event> + Send + Unpin + 'static;

    /// Returns the team of a bearer key, `None` if the key is unknown.
    fn authenticate(&self, key: &str) -> Option<id::Team>;

    /// Returns the models that a team may use.
    fn models(&self, team: &str) -> Vec<id::Model>;

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// A refusal whose outcome states whether the request may have run.
    fn generate(
        &self,
        request: Generation,
    ) -> impl Future<Output = Result<Self::Tokens, outcome::Refusal>> + Send;

    /// Executes a call of a plain service.
    ///
    /// # Errors
    ///
    /// A refusal whose outcome states whether the call may have run.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, outcome::Refusal>> + Send;

    /// Issues an idempotency key to a team. This node accepts the key even while keys can't be
    /// recorded.
    ///
    /// # Errors
    ///
    /// A refusal if the backend issues no keys, as by default.
    fn mint(&self, _team: &str) -> Result<id::Key, outcome::Refusal> {
        let message = "this backend makes no keys";
        Err(outcome::Refusal::not_run(outcome::Cause::Unavailable, message))
    }

    /// Checks whether the node is ready to accept requests.
    ///
    /// # Errors
    ///
    /// The reason why the node isn't ready.
    fn ready(&self) -> Result<(), String>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Attributes that every request has.
#[derive(Debug, Clone, PartialEq)]
pub struct Context {
    /// Id of the request.
    pub request: id::Request,
    /// Team to which the caller belongs.
    pub team: id::Team,
    /// Priority among the requests of the team, -100 to 100; requests with a higher priority are served first.
    pub priority: i32,
    /// Time within which the caller wants the first token, or the response of a plain service.
    pub deadline: Option<Duration>,
    /// Node that relayed the request from another failure domain.
    pub relay: Option<id::Node>,
}

/// Access
impl Context {
    /// Returns whether the request waits until its deadline if no upstream is known. That requires a
    /// deadline set by the caller. A relayed request doesn't wait, since the relaying node can try
    /// another failure domain in the meantime.
    pub fn waits_until_deadline(&self) -> bool {
        self.deadline.is_some() && self.relay.is_none()
    }
}

/// Request for a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    /// Attributes that every request has.
    pub context: Context,
    /// Requested model.
    pub model: id::Model,
    /// Requested version of the model; `None` selects the preferred one.
    pub version: Option<id::Version>,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token to return; larger than 0 only for relayed requests.
    pub resume_at: u64,
}

/// Event of a generation.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Text of the next token.
    Token(String),
    /// The generation is complete.
    Finish(Finish),
    /// The generation can't be completed.
    Failed(outcome::Refusal),
}

/// Summary of a complete generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Finish {
    /// Why the generation ended: `stop` or `length`.
    pub reason: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were found in the engine's cache.
    pub cached_tokens: u32,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Attributes that every request has.
    pub context: Context,
    /// Called service.
    pub service: id::Service,
    /// HTTP method.
    pub method: http::Method,
    /// Path relative to the service, with the query.
    pub path: String,
    /// Headers of the caller, except those that concern only the caller and this node.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Idempotency key, if the caller set one.
    pub key: Option<id::Key>,
}

/// Complete response of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers of the response, except hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
}
