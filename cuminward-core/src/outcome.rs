//! What became of a request.

use cuminward_derive::{record, value};

/// What is known about a request's execution.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its whole reply was received.
    Complete,
    /// The request provably did not run.
    NotRun,
    /// The request may have run, in part or whole.
    Unknown,
}

/// Why a request was not answered with a complete reply.
#[record]
pub struct Refusal {
    /// What is known about the execution.
    pub outcome: Outcome,
    /// Cause, for programs.
    pub cause: Cause,
    /// Explanation, for people.
    pub message: String,
    /// Seconds after which a new try may succeed.
    pub retry_after_seconds: Option<u32>,
}

/// Cause of a refusal.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request is malformed.
    InvalidRequest,
    /// The caller's key is missing or unknown.
    Unauthenticated,
    /// The caller's team may not use the service.
    Forbidden,
    /// No such model or service is declared.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The caller was too slow.
    Timeout,
    /// The caller's team has too much in flight.
    TeamLimit,
    /// There is no capacity before the request's deadline.
    Overloaded,
    /// No whole replica or host serves the service here.
    Unavailable,
    /// The request is suspected or known to crash upstreams.
    Quarantined,
    /// The idempotency key was started before, and its reply is not held here.
    KeyStarted,
    /// The idempotency key is outside the window, or can't be recorded now.
    KeyRefused,
    /// The upstream failed after the request may have reached it.
    UpstreamFailed,
    /// The node is shutting down.
    ShuttingDown,
}

/// Life cycle
impl Refusal {
    /// Makes a refusal of a request that provably did not run.
    pub fn not_run(cause: Cause, message: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            cause,
            message: message.into(),
            retry_after_seconds: None,
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn unknown(cause: Cause, message: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            cause,
            message: message.into(),
            retry_after_seconds: None,
        }
    }

    /// Says that the request may have run, if an earlier attempt of it may have: a later refusal's "not
    /// run" speaks of its own attempt only.
    pub fn after_attempts(mut self, may_have_run: bool) -> Refusal {
        if may_have_run {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Says after how many seconds a new try may succeed.
    pub fn retry_after(mut self, seconds: u32) -> Refusal {
        self.retry_after_seconds = Some(seconds);
        self
    }
}

/// Access
impl Outcome {
    /// The value of the `cuminward-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl Cause {
    /// The `code` of the error body.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::InvalidRequest => "invalid_request",
            Cause::Unauthenticated => "unauthenticated",
            Cause::Forbidden => "forbidden",
            Cause::NotFound => "not_found",
            Cause::TooLarge => "too_large",
            Cause::Timeout => "timeout",
            Cause::TeamLimit => "team_limit",
            Cause::Overloaded => "overloaded",
            Cause::Unavailable => "unavailable",
            Cause::Quarantined => "quarantined",
            Cause::KeyStarted => "key_started",
            Cause::KeyRefused => "key_refused",
            Cause::UpstreamFailed => "upstream_failed",
            Cause::ShuttingDown => "shutting_down",
        }
    }

    /// The HTTP status that callers get.
    pub fn status(self) -> u16 {
        match self {
            Cause::InvalidRequest => 400,
            Cause::Unauthenticated => 401,
            Cause::Forbidden => 403,
            Cause::NotFound => 404,
            Cause::Timeout => 408,
            Cause::KeyStarted | Cause::KeyRefused => 409,
            Cause::TooLarge => 413,
            Cause::Quarantined => 422,
            Cause::TeamLimit | Cause::Overloaded => 429,
            Cause::UpstreamFailed => 502,
            Cause::Unavailable | Cause::ShuttingDown => 503,
        }
    }
}
