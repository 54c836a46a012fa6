//! What the routes need from the node.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cuminward_core::{id, outcome};
use futures::Stream;

/// Decides about requests and executes them.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Tokens of one generation.
    type Tokens: Stream<Item = Event> + Send + Unpin + 'static;

    /// Finds the team of a bearer key.
    fn authenticate(&self, key: &str) -> Option<id::Team>;

    /// Lists the models that a team may call.
    fn models(&self, team: &str) -> Vec<id::Model>;

    /// Starts a generation; the refusal says whether anything ran.
    fn generate(
        &self,
        request: Generation,
    ) -> impl Future<Output = Result<Self::Tokens, outcome::Refusal>> + Send;

    /// Executes a call of a plain service.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, outcome::Refusal>> + Send;

    /// Makes an idempotency key for a team, which this node accepts also while keys can't be
    /// recorded.
    ///
    /// # Errors
    ///
    /// A refusal of a backend that makes no keys.
    fn mint(&self, _team: &str) -> Result<id::Key, outcome::Refusal> {
        let message = "this backend makes no keys";
        Err(outcome::Refusal::not_run(outcome::Cause::Unavailable, message))
    }

    /// Tells whether the node takes requests; the error names what is missing.
    fn ready(&self) -> Result<(), String>;

    /// The metrics in the text format of Prometheus.
    fn metrics(&self) -> String;
}

/// What every request carries.
#[derive(Debug, Clone, PartialEq)]
pub struct Context {
    /// Id of the request.
    pub request: id::Request,
    /// Team of the caller.
    pub team: id::Team,
    /// Priority among the requests of the team.
    pub priority: i32,
    /// Time within which the caller wants the first token or the answer.
    pub deadline: Option<Duration>,
    /// Node that relayed the request from another failure domain.
    pub relay: Option<id::Node>,
}

/// Access
impl Context {
    /// Tells whether the request waits until its deadline while no upstream is known: the caller
    /// named a deadline, and no other node can look elsewhere in the meantime.
    pub fn waits_until_deadline(&self) -> bool {
        self.deadline.is_some() && self.relay.is_none()
    }
}

/// A generation that a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    /// What every request carries.
    pub context: Context,
    /// Model that is asked for.
    pub model: id::Model,
    /// Version that is asked for; `None` takes the preferred one.
    pub version: Option<id::Version>,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token that is wanted; larger than 0 only for relayed requests.
    pub resume_at: u64,
}

/// One step of a generation.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The next token.
    Token(String),
    /// The generation is complete.
    Finish(Finish),
    /// The generation can't be completed.
    Failed(outcome::Refusal),
}

/// End of a complete generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Finish {
    /// Why the generation ended: `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were found in the engine's cache.
    pub cached_tokens: u32,
    /// Generated tokens.
    pub tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// What every request carries.
    pub context: Context,
    /// Service that is called.
    pub service: id::Service,
    /// HTTP method.
    pub method: http::Method,
    /// Path below the service, with the query.
    pub path: String,
    /// Headers of the caller, without those between the caller and this node.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Idempotency key, if the caller gave one.
    pub key: Option<id::Key>,
}

/// Complete answer of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers of the service, without those of its connection.
    pub headers: http::HeaderMap,
    /// Whole body.
    pub body: Bytes,
}
