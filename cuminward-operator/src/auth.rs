//! Authentication of operators by bearer token and authorization by role.

use std::fmt;

use cuminward_derive::{record, value};
use subtle::ConstantTimeEq;
use tonic::{Status, metadata::MetadataMap};

/// Scheme of the `authorization` metadata.
const SCHEME: &str = "Bearer ";

/// Bytes of a BLAKE3 hash.
const HASH_BYTES: usize = 32;

/// Permissions of an operator; a later role includes the earlier ones.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Permits calls that only read.
    Read,
    /// Permits reading and changing the configuration.
    Write,
}

/// An operator as declared in the settings.
#[record]
pub struct Operator {
    /// Name recorded with the operator's changes.
    pub name: String,
    /// BLAKE3 hash of the operator's token, 64 hexadecimal digits.
    pub hash: String,
    /// Permissions of the operator.
    pub role: Role,
}

/// Why a list of operators is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The token hash of this operator isn't 64 hexadecimal digits.
    InvalidHash(String),
    /// Two operators have this name.
    DuplicateName(String),
    /// This operator has the same token as another operator.
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

/// The operators that may call a node.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    entries: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    name: String,
    hash: [u8; HASH_BYTES],
    role: Role,
}

/// Life cycle
impl Operators {
    /// Creates the set of operators from their declarations.
    ///
    /// # Errors
    ///
    /// A hash is malformed, or two operators have the same name or token.
    pub fn new(operators: &[Operator]) -> Result<Operators, Error> {
        let mut entries: Vec<Entry> = Vec::with_capacity(operators.len());
        for operator in operators {
            let name = operator.name.clone();
            let hash =
                parse_hash(&operator.hash).ok_or_else(|| Error::InvalidHash(name.clone()))?;
            if entries.iter().any(|it| it.name == name) {
                return Err(Error::DuplicateName(name));
            }
            if entries.iter().any(|it| it.hash == hash) {
                return Err(Error::DuplicateToken(name));
            }
            entries.push(Entry { name, hash, role: operator.role });
        }
        Ok(Operators { entries })
    }
}

/// Access
impl Operators {
    /// Authenticates a call by its bearer token and returns the operator's name.
    ///
    /// # Errors
    ///
    /// `UNAUTHENTICATED` if the token is missing or unknown, `PERMISSION_DENIED` if the operator's
    /// role is lower than `required`.
    // `Status` is large, but tonic's handlers return it unboxed.
    #[allow(clippy::result_large_err)]
    pub fn authenticate(&self, metadata: &MetadataMap, required: Role) -> Result<String, Status> {
        let token = metadata
            .get("authorization")
            .and_then(|it| it.to_str().ok())
            .and_then(|it| it.strip_prefix(SCHEME))
            .ok_or_else(|| Status::unauthenticated("a bearer token is needed"))?;
        let operator = self
            .find(token)
            .ok_or_else(|| Status::unauthenticated("no operator has this token"))?;
        if operator.role < required {
            return Err(Status::permission_denied(format!(
                "operator `{}` may only read",
                operator.name
            )));
        }
        Ok(operator.name.clone())
    }

    /// Finds the operator with a token. Always compares with all operators in constant time, so
    /// that the duration reveals nothing about the hashes.
    fn find(&self, token: &str) -> Option<&Entry> {
        let hash = blake3::hash(token.as_bytes());
        let mut found = None;
        for entry in &self.entries {
            if bool::from(entry.hash.ct_eq(hash.as_bytes())) {
                found = Some(entry);
            }
        }
        found
    }
}

/// Returns the BLAKE3 hash of a token or key in hexadecimal digits, as settings and declarations
/// hold it.
pub fn hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn parse_hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}
