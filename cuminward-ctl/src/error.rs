//! Failures of commands and their exit codes.

use std::{fmt, io};

use cuminward_operator::status;
use miette::Diagnostic;

/// Exit code of failures without a code of their own.
pub const OTHER: u8 = 1;
/// Exit code of wrong arguments; clap uses it as well.
pub const USAGE: u8 = 2;
/// Exit code of a request that can't be accepted.
pub const INVALID: u8 = 3;
/// Exit code of a change that lost against another one.
pub const CONFLICT: u8 = 4;
/// Exit code of a change that was not applied since the log or node can't take it now.
pub const UNAVAILABLE: u8 = 5;
/// Exit code of a change that may have been applied.
pub const UNKNOWN: u8 = 6;
/// Exit code of a missing or unknown token, or of a role that doesn't allow the call.
pub const DENIED: u8 = 7;
/// Exit code when no node can be reached.
pub const UNREACHABLE: u8 = 8;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file or standard stream failed.
    Io {
        /// What was to be read or written.
        what: String,
        /// The failure.
        error: io::Error,
    },
    /// An argument or environment value is missing or wrong.
    Usage(String),
    /// A file of declarations is wrong.
    Declaration(miette::Report),
    /// A call failed.
    Call {
        /// Id of the change, where the call was a change.
        change: Option<String>,
        /// The failure.
        error: status::Error,
    },
    /// Some of the nodes gave no answer.
    Nodes(Vec<(String, status::Error)>),
}

/// Life cycle
impl Error {
    /// A failure of a file or standard stream.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let what = what.into();
        move |error| Error::Io { what, error }
    }
}

/// Access
impl Error {
    /// The exit code for the cause.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Io { .. } => OTHER,
            Error::Usage(_) => USAGE,
            Error::Declaration(_) => INVALID,
            Error::Call { error, .. } => call_code(error),
            Error::Nodes(failures) => {
                failures.first().map_or(UNREACHABLE, |(_, error)| call_code(error))
            }
        }
    }
}

fn call_code(error: &status::Error) -> u8 {
    match error {
        status::Error::Conflict { .. } => CONFLICT,
        status::Error::Invalid(_) => INVALID,
        status::Error::Unavailable(_) => UNAVAILABLE,
        status::Error::OutcomeUnknown(_) => UNKNOWN,
        status::Error::Unauthenticated(_) | status::Error::Forbidden(_) => DENIED,
        status::Error::Unreachable(_) => UNREACHABLE,
        status::Error::Other(_) => OTHER,
    }
}

impl From<status::Error> for Error {
    fn from(error: status::Error) -> Error {
        Error::Call { change: None, error }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io { what, error } => write!(f, "{what}: {error}"),
            Error::Usage(reason) => f.write_str(reason),
            Error::Declaration(report) => write!(f, "{report}"),
            Error::Call { error, .. } => write!(f, "{error}"),
            Error::Nodes(failures) => {
                let lines = failures.iter().map(|(node, error)| format!("{node}: {error}"));
                f.write_str(&lines.collect::<Vec<_>>().join("; "))
            }
        }
    }
}

impl std::error::Error for Error {}

impl Diagnostic for Error {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        match self {
            Error::Call { change: Some(change), error: status::Error::OutcomeUnknown(_) } => {
                Some(Box::new(format!(
                    "run the same command with `--change-id {change}` to learn the outcome"
                )))
            }
            Error::Call { error: status::Error::Conflict { .. }, .. } => {
                Some(Box::new("read the catalog again, and decide anew"))
            }
            Error::Declaration(report) => report.help(),
            _ => None,
        }
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        match self {
            Error::Declaration(report) => report.source_code(),
            _ => None,
        }
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = miette::LabeledSpan> + '_>> {
        match self {
            Error::Declaration(report) => report.labels(),
            _ => None,
        }
    }
}
