//! Claims to run the request of a key, and what becomes of them.

use std::time::Duration;

use cuminward_core::{id, outcome};
use cuminward_derive::{record, value};
use serde_with::serde_as;

use crate::key;

/// Longest time from making a claim to starting its request.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time from making a claim to the last attempt of its request, after one that provably did
/// not run. Shorter than the window, so that the key is still known everywhere.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// A claim of a node that has a request with a key.
#[serde_as]
#[record]
pub struct Claim {
    /// Hash of the key.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub hash: key::Hash,
    /// Node that has the request.
    pub issuer: id::Node,
}

/// What became of a claim.
#[record]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The claim is the first one of its key: the issuer, and nobody else, may run the request. It
    /// has to start within [`START_TIMEOUT`] of making the claim.
    First {
        /// Offset of the record.
        offset: id::Offset,
    },
    /// The key was started before.
    Repeated {
        /// Node that started it, and may hold the reply.
        by: id::Node,
    },
    /// The claim was not decided, and the request must not run.
    Refused(Reason),
}

/// Why a claim was not decided.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The log takes or gives no records.
    #[serde(rename = "log-away")]
    LogUnavailable,
    /// Records of the whole window have not been read yet.
    WindowIncomplete,
    /// The record was not read back in time.
    #[serde(rename = "late")]
    TimedOut,
    /// Too many claims wait.
    Overloaded,
    /// The key is older than the window.
    Expired,
    /// The key was minted by another process.
    Foreign,
}

/// Access
impl Reason {
    /// What is known about the request that was refused. It speaks of this request alone: an earlier
    /// one with the same key may have run.
    pub fn outcome(self) -> outcome::Outcome {
        outcome::Outcome::NotRun
    }

    /// Tells whether the key may be recorded as started although the claim was refused. Such a key
    /// is used up; with any other reason the request can be sent again with the same key.
    pub fn is_recorded(self) -> bool {
        self == Reason::TimedOut
    }

    /// Short text for people.
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
