//! What a caller says about a request beside method, path and body.

use std::time::Duration;

use crate::{event, id};

/// What the headers of a request say.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Meta {
    /// Identity of this attempt of the caller.
    pub id: Option<id::Request>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Key that identifies the caller's team.
    pub key: Option<String>,
    /// Model that has to answer.
    pub model: Option<id::Model>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<Tokens>,
    /// The caller's guess of the tokens of the answer.
    pub expected_output: Option<u32>,
    /// Event after which a stream goes on.
    pub last_event: Option<event::Id>,
}

/// Size of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub output: u32,
}

/// What the gateway adds to a request for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overrides {
    /// Time left, after which the upstream stops.
    pub time_left: Duration,
    /// The only host that may run it.
    pub host: id::Host,
    /// Team of the caller.
    pub team: Option<String>,
    /// Rank; 0 is served first.
    pub priority: Option<u8>,
    /// Event after which a stream goes on, if other than the caller said.
    pub last_event: Option<event::Id>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Response {
    /// Request that is answered.
    pub id: Option<id::Request>,
    /// Whether the upstream vouches for the answer.
    pub is_stamped: bool,
    /// Whether the upstream says that it didn't run the request and won't.
    pub is_not_run: bool,
    /// Whether the address now belongs to another host, or the host isn't the head of a group.
    pub is_misdirected: bool,
    /// How much longer the host stays cold.
    pub cold_left: Option<Duration>,
}
