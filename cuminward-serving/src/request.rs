//! Metadata of requests and responses that is sent in headers.

use std::time::Duration;

use crate::{event, id, notice::Notice};

/// Metadata in the headers of a request from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Meta {
    /// Identifier of this attempt of the caller.
    pub id: Option<id::Request>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key that identifies the team of the caller.
    pub key: Option<String>,
    /// Model that has to process the request.
    pub model: Option<id::Model>,
    /// Size of the prompt and maximum size of the output.
    pub tokens: Option<Tokens>,
    /// Number of output tokens that the caller expects.
    pub expected_output: Option<u32>,
    /// Event after which a stream is to be resumed.
    pub last_event: Option<event::Id>,
}

/// Size of a generation, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens of the output.
    pub output: u32,
}

/// Values that the gateway sets in the headers of a request before it forwards it to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overrides {
    /// Time left, after which the upstream stops working on the request.
    pub time_left: Duration,
    /// The only host that may run the request.
    pub host: id::Host,
    /// Team of the caller.
    pub team: Option<String>,
    /// Priority; 0 is served first.
    pub priority: Option<u8>,
    /// Event after which a stream is to be resumed, if it differs from the one that the caller
    /// sent.
    pub last_event: Option<event::Id>,
}

/// Metadata in the head of a response from an upstream.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Response {
    /// Identifier of the request that is answered.
    pub id: Option<id::Request>,
    /// Whether the response carries the stamp by which the upstream confirms that it produced it.
    pub is_stamped: bool,
    /// Whether the upstream reports that it did not run the request and will not run it.
    pub is_not_run: bool,
    /// Whether the request reached the wrong host: the address now belongs to another host, or the
    /// host isn't the head of a group.
    pub is_misdirected: bool,
    /// Time for which the host stays cold.
    pub cold_left: Option<Duration>,
    /// What the host says of itself.
    pub notice: Notice,
}
