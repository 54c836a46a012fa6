//! Claims to run the request of an idempotency key, and the verdicts on them.

use std::time::Duration;

use cuminward_core::{id, outcome};
use cuminward_derive::{record, value};
use serde_with::serde_as;

use crate::key;

/// Maximum time from making a claim to starting its request.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time from making a claim to sending the last attempt of its request, after earlier attempts
/// that provably did not run. Shorter than the window, so that the key is still in the window of every
/// ledger.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Claim of a node that has received a request with a key.
#[serde_as]
#[record]
pub struct Claim {
    /// Hash of the key.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub hash: key::Hash,
    /// Node that has received the request.
    pub issuer: id::Node,
}

/// Verdict on a claim.
#[record]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The claim is the first one of its key: only its issuer may run the request, and must start it
    /// within [`START_TIMEOUT`] of making the claim.
    First {
        /// Offset of the record.
        offset: id::Offset,
    },
    /// The key was started before.
    Repeated {
        /// Node that started the key and may have the reply.
        by: id::Node,
    },
    /// The claim was not decided; the request must not run.
    Refused(Reason),
}

/// Reason why a claim was refused.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Records can't be appended to the log or read from it.
    #[serde(rename = "log-away")]
    LogUnavailable,
    /// The records of the whole window have not been read yet.
    WindowIncomplete,
    /// The record was not read back within the decision timeout.
    #[serde(rename = "late")]
    TimedOut,
    /// Too many claims are undecided.
    Overloaded,
    /// The key is older than the window.
    Expired,
    /// The key was minted by another process.
    Foreign,
}

/// Access
impl Reason {
    /// Returns the outcome of the refused request. It concerns this request only: an earlier one with the
    /// same key may have run.
    pub fn outcome(self) -> outcome::Outcome {
        outcome::Outcome::NotRun
    }

    /// Returns whether the key may be recorded as started although the claim was refused. Such a key
    /// can't be used again; after any other reason, the request can be sent again with the same key.
    pub fn is_recorded(self) -> bool {
        self == Reason::TimedOut
    }

    /// Returns a short message for callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::LogUnavailable => "the log is away",
            Reason::WindowIncomplete => "the window of started keys is not complete",
            Reason::TimedOut => "the key was not recorded in time",
            Reason::Overloaded => "too many keys wait",
            Reason::Expired => "the key is older than the window",
            Reason::Foreign => "the key was minted by another process",
        }
    }
}
