//! Errors of calls and their conversion to and from gRPC statuses.

use std::fmt;

use tonic::{
    Code, Status,
    metadata::{MetadataMap, MetadataValue},
};

/// Metadata key that tells whether a failed change may have been applied.
const OUTCOME_KEY: &str = "cuminward-outcome";
/// Value of [`OUTCOME_KEY`]: the change was provably not applied.
const NOT_APPLIED: &str = "not-applied";
/// Value of [`OUTCOME_KEY`]: the change may have been applied.
const UNKNOWN: &str = "unknown";
/// Metadata key of the revision of the conflicting change.
const CONFLICT_REVISION_KEY: &str = "cuminward-conflict-revision";
/// Metadata key of the id of the conflicting change.
const CONFLICT_CHANGE_KEY: &str = "cuminward-conflict-change";
/// Metadata key of the operator of the conflicting change.
const CONFLICT_OPERATOR_KEY: &str = "cuminward-conflict-operator-bin";

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// An earlier change of the same target conflicts with this one, which was not applied.
    Conflict {
        /// Revision of the earlier change.
        revision: u64,
        /// Id of the earlier change.
        change: String,
        /// Operator who made the earlier change.
        operator: String,
    },
    /// The request is invalid; nothing was applied.
    Invalid(String),
    /// The platform's log or the node is unavailable; nothing was applied.
    Unavailable(String),
    /// The change may have been applied; resend it with the same change id to learn the outcome.
    OutcomeUnknown(String),
    /// The token is missing or unknown.
    Unauthenticated(String),
    /// The operator's role doesn't allow the call.
    Forbidden(String),
    /// No node could be reached.
    Unreachable(String),
    /// Another error, as reported by the node.
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
                let metadata = conflict_metadata(revision, &change, &operator);
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

/// Converts a status. Unless its code or metadata tells the outcome, the change may have been
/// applied.
impl From<Status> for Error {
    fn from(status: Status) -> Error {
        let message = status.message().to_owned();
        if is_connect_error(&status) {
            return Error::Unreachable(message);
        }
        let not_applied =
            text_value(status.metadata(), OUTCOME_KEY).as_deref() == Some(NOT_APPLIED);
        match status.code() {
            Code::Aborted => parse_conflict(status.metadata()).unwrap_or(Error::Other(message)),
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
    metadata.insert(OUTCOME_KEY, MetadataValue::from_static(outcome));
    Status::with_metadata(code, message, metadata)
}

fn conflict_metadata(revision: u64, change: &str, operator: &str) -> MetadataMap {
    let mut metadata = MetadataMap::new();
    metadata.insert(OUTCOME_KEY, MetadataValue::from_static(NOT_APPLIED));
    metadata.insert(CONFLICT_REVISION_KEY, MetadataValue::from(revision));
    if let Ok(change) = change.parse() {
        metadata.insert(CONFLICT_CHANGE_KEY, change);
    }
    metadata.insert_bin(CONFLICT_OPERATOR_KEY, MetadataValue::from_bytes(operator.as_bytes()));
    metadata
}

fn parse_conflict(metadata: &MetadataMap) -> Option<Error> {
    let operator = metadata.get_bin(CONFLICT_OPERATOR_KEY)?.to_bytes().ok()?;
    Some(Error::Conflict {
        revision: text_value(metadata, CONFLICT_REVISION_KEY)?.parse().ok()?,
        change: text_value(metadata, CONFLICT_CHANGE_KEY)?,
        operator: String::from_utf8_lossy(&operator).into_owned(),
    })
}

/// Returns whether the call was not sent because the connection could not be opened.
fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn text_value(metadata: &MetadataMap, key: &'static str) -> Option<String> {
    metadata.get(key)?.to_str().ok().map(str::to_owned)
}
