//! Who may call what: operators with bearer tokens and roles.

use std::fmt;

use cuminward_derive::{record, value};
use subtle::ConstantTimeEq;
use tonic::{Status, metadata::MetadataMap};

/// Scheme of the `authorization` metadata.
const SCHEME: &str = "Bearer ";

/// Bytes of a BLAKE3 hash.
const HASH_BYTES: usize = 32;

/// What an operator may do.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The operator may read.
    Read,
    /// The operator may read and change the configuration.
    Write,
}

/// An operator, as settings declare one.
#[record]
pub struct Operator {
    /// Name that changes carry.
    pub name: String,
    /// BLAKE3 hash of the operator's token, 64 hexadecimal digits.
    pub hash: String,
    /// What the operator may do.
    pub role: Role,
}

/// What is wrong with a list of operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The operator's hash isn't a BLAKE3 hash in hexadecimal digits.
    InvalidHash(String),
    /// Two operators have this name.
    DuplicateName(String),
    /// This operator's token is another operator's, too.
    DuplicateToken(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::InvalidHash(name) => {
                write!(f, "the hash of operator `{name}` isn't 64 hexadecimal digits")
            }
            Error::DuplicateName(name) => write!(f, "operator `{name}` is declared twice"),
            Error::DuplicateToken(name) => {
                write!(f, "operator `{name}` has the token of another operator")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The operators that a node knows.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    known: Vec<Known>,
}

#[derive(Debug, Clone)]
struct Known {
    name: String,
    hash: [u8; HASH_BYTES],
    role: Role,
}

/// Life cycle
impl Operators {
    /// Checks and takes a list of operators.
    pub fn new(operators: &[Operator]) -> Result<Operators, Error> {
        let mut known: Vec<Known> = Vec::with_capacity(operators.len());
        for operator in operators {
            let name = operator.name.clone();
            let hash = parse(&operator.hash).ok_or_else(|| Error::InvalidHash(name.clone()))?;
            if known.iter().any(|it| it.name == name) {
                return Err(Error::DuplicateName(name));
            }
            if known.iter().any(|it| it.hash == hash) {
                return Err(Error::DuplicateToken(name));
            }
            known.push(Known { name, hash, role: operator.role });
        }
        Ok(Operators { known })
    }
}

/// Access
impl Operators {
    /// Finds the operator of a call and checks the role; returns the operator's name.
    // The error is tonic's own type, as its handlers return it.
    #[allow(clippy::result_large_err)]
    pub fn authenticate(&self, metadata: &MetadataMap, needed: Role) -> Result<String, Status> {
        let token = metadata
            .get("authorization")
            .and_then(|it| it.to_str().ok())
            .and_then(|it| it.strip_prefix(SCHEME))
            .ok_or_else(|| Status::unauthenticated("a bearer token is needed"))?;
        let operator = self
            .find(token)
            .ok_or_else(|| Status::unauthenticated("no operator has this token"))?;
        if operator.role < needed {
            return Err(Status::permission_denied(format!(
                "operator `{}` may only read",
                operator.name
            )));
        }
        Ok(operator.name.clone())
    }

    /// Compares with every operator, so that the time taken tells nothing about the token.
    fn find(&self, token: &str) -> Option<&Known> {
        let hash = blake3::hash(token.as_bytes());
        let mut found = None;
        for known in &self.known {
            if bool::from(known.hash.ct_eq(hash.as_bytes())) {
                found = Some(known);
            }
        }
        found
    }
}

/// The hash of a token or key, as settings and declarations have it.
pub fn hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn parse(text: &str) -> Option<[u8; HASH_BYTES]> {
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}
