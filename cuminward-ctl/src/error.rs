//! Errors of commands and their exit codes.

use std::{fmt, io};

use cuminward_operator::status;
use miette::Diagnostic;

/// Exit code of errors that have no specific code.
pub const OTHER: u8 = 1;
/// Exit code of invalid arguments, the same that clap uses.
pub const USAGE: u8 = 2;
/// Exit code of an invalid declaration or change.
pub const INVALID: u8 = 3;
/// Exit code of a change that conflicts with an earlier change of the same target.
pub const CONFLICT: u8 = 4;
/// Exit code of a change that was not applied because the log or node is unavailable.
pub const UNAVAILABLE: u8 = 5;
/// Exit code of a change that may have been applied.
pub const UNKNOWN: u8 = 6;
/// Exit code of a missing or unknown token, or of a role that doesn't allow the call.
pub const DENIED: u8 = 7;
/// Exit code if no node can be reached.
pub const UNREACHABLE: u8 = 8;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// Reading or writing a file or standard stream failed.
    Io {
        /// File or stream that was read or written.
        name: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// An argument or environment variable is missing or invalid.
    Usage(String),
    /// A file contains an invalid declaration.
    Declaration(miette::Report),
    /// A call to a node failed.
    Call {
        /// Id of the change, if the call was a change.
        change: Option<String>,
        /// Error of the call.
        error: status::Error,
    },
    /// Calls to some of the nodes failed: endpoints with their errors.
    Nodes(Vec<(String, status::Error)>),
}

/// Life cycle
impl Error {
    /// Returns a function that wraps an I/O error of the file or standard stream `name`.
    pub fn io(name: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let name = name.into();
        move |error| Error::Io { name, error }
    }
}

/// Access
impl Error {
    /// Returns the exit code of the error; of several failed nodes, the first one's error decides.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Io { .. } => OTHER,
            Error::Usage(_) => USAGE,
            Error::Declaration(_) => INVALID,
            Error::Call { error, .. } => call_exit_code(error),
            Error::Nodes(failures) => {
                failures.first().map_or(UNREACHABLE, |(_, error)| call_exit_code(error))
            }
        }
    }
}

fn call_exit_code(error: &status::Error) -> u8 {
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
            Error::Io { name, error } => write!(f, "{name}: {error}"),
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
                    "run the same command again with `--change-id {change}` to learn the outcome"
                )))
            }
            Error::Call { error: status::Error::Conflict { .. }, .. } => Some(Box::new(
                "read the catalog again and check whether the change is still needed",
            )),
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
