//! Errors of calls, as gRPC statuses and back.

use std::fmt;

use tonic::{
    Code, Status,
    metadata::{MetadataMap, MetadataValue},
};

/// Metadata that says whether a refused change may have an effect.
const OUTCOME: &str = "cuminward-outcome";
/// The change provably has no effect.
const NOT_APPLIED: &str = "not-applied";
/// The change may have an effect.
const UNKNOWN: &str = "unknown";
/// Metadata with the revision of the change that came first.
const CONFLICT_REVISION: &str = "cuminward-conflict-revision";
/// Metadata with the id of the change that came first.
const CONFLICT_CHANGE: &str = "cuminward-conflict-change";
/// Metadata with the operator of the change that came first.
const CONFLICT_OPERATOR: &str = "cuminward-conflict-operator-bin";

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Another change of the same target came first; nothing was applied.
    Conflict {
        /// Revision of the change that came first.
        revision: u64,
        /// Id of the change that came first.
        change: String,
        /// Operator who asked for it.
        operator: String,
    },
    /// The request can't be accepted, whoever asks; nothing was applied.
    Invalid(String),
    /// The platform's log or the node can't take it now; nothing was applied.
    Unavailable(String),
    /// The change may have been applied; resend it with the same change id.
    OutcomeUnknown(String),
    /// The token is missing or unknown.
    Unauthenticated(String),
    /// The operator's role doesn't allow the call.
    Forbidden(String),
    /// No node could be reached.
    Unreachable(String),
    /// Another failure, as the node reports it.
    Other(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { revision, change, operator } => write!(
                f,
                "not applied: change `{change}` of operator `{operator}` came first, in revision \
                 {revision}"
            ),
            Error::Invalid(reason) => write!(f, "not applied: {reason}"),
            Error::Unavailable(reason) => write!(f, "not applied: {reason}"),
            Error::OutcomeUnknown(reason) => write!(f, "outcome unknown: {reason}"),
            Error::Unauthenticated(reason) | Error::Forbidden(reason) => f.write_str(reason),
            Error::Unreachable(reason) | Error::Other(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

impl From<Error> for Status {
    fn from(error: Error) -> Status {
        let message = error.to_string();
        match error {
            Error::Conflict { revision, change, operator } => {
                let metadata = conflict(revision, &change, &operator);
                Status::with_metadata(Code::Aborted, message, metadata)
            }
            Error::Invalid(it) => with_outcome(Code::InvalidArgument, it, NOT_APPLIED),
            Error::Unavailable(it) => with_outcome(Code::Unavailable, it, NOT_APPLIED),
            Error::OutcomeUnknown(it) => with_outcome(Code::Unknown, it, UNKNOWN),
            Error::Unauthenticated(it) => with_outcome(Code::Unauthenticated, it, NOT_APPLIED),
            Error::Forbidden(it) => with_outcome(Code::PermissionDenied, it, NOT_APPLIED),
            Error::Unreachable(it) | Error::Other(it) => Status::internal(it),
        }
    }
}

/// Reads a status. One without a stated outcome leaves open whether a change was applied, except where
/// the code itself tells.
impl From<Status> for Error {
    fn from(status: Status) -> Error {
        let message = status.message().to_owned();
        if is_unconnected(&status) {
            return Error::Unreachable(message);
        }
        let not_applied = text(status.metadata(), OUTCOME).as_deref() == Some(NOT_APPLIED);
        match status.code() {
            Code::Aborted => read_conflict(status.metadata()).unwrap_or(Error::Other(message)),
            Code::InvalidArgument | Code::OutOfRange => Error::Invalid(message),
            Code::Unauthenticated => Error::Unauthenticated(message),
            Code::PermissionDenied => Error::Forbidden(message),
            Code::Unavailable if not_applied => Error::Unavailable(message),
            Code::Unimplemented | Code::NotFound => Error::Other(message),
            _ => Error::OutcomeUnknown(message),
        }
    }
}

fn with_outcome(code: Code, message: String, outcome: &'static str) -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert(OUTCOME, MetadataValue::from_static(outcome));
    Status::with_metadata(code, message, metadata)
}

fn conflict(revision: u64, change: &str, operator: &str) -> MetadataMap {
    let mut metadata = MetadataMap::new();
    metadata.insert(OUTCOME, MetadataValue::from_static(NOT_APPLIED));
    metadata.insert(CONFLICT_REVISION, MetadataValue::from(revision));
    if let Ok(change) = change.parse() {
        metadata.insert(CONFLICT_CHANGE, change);
    }
    metadata.insert_bin(CONFLICT_OPERATOR, MetadataValue::from_bytes(operator.as_bytes()));
    metadata
}

fn read_conflict(metadata: &MetadataMap) -> Option<Error> {
    let operator = metadata.get_bin(CONFLICT_OPERATOR)?.to_bytes().ok()?;
    Some(Error::Conflict {
        revision: text(metadata, CONFLICT_REVISION)?.parse().ok()?,
        change: text(metadata, CONFLICT_CHANGE)?,
        operator: String::from_utf8_lossy(&operator).into_owned(),
    })
}

/// Tells whether the call was never sent, since there was no connection.
fn is_unconnected(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn text(metadata: &MetadataMap, key: &'static str) -> Option<String> {
    metadata.get(key)?.to_str().ok().map(str::to_owned)
}
