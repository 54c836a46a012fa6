//! Complete replies, kept to answer repeats.

use cuminward_derive::record;
use serde_with::serde_as;

/// Bytes of a request's fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Hash of a request's content.
pub type Fingerprint = [u8; FINGERPRINT_BYTES];

/// Hashes the content of a request, to tell a repeat from another request with the same key.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut fingerprint = Fingerprint::default();
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}

/// A complete reply.
#[serde_as]
#[record]
#[derive(Default)]
pub struct Reply {
    /// Hash of the request that the reply answers.
    pub fingerprint: Fingerprint,
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Body.
    #[serde_as(as = "serde_with::Bytes")]
    pub body: Vec<u8>,
}

/// A header of a reply.
#[serde_as]
#[record]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    #[serde_as(as = "serde_with::Bytes")]
    pub value: Vec<u8>,
}

/// What a node knows about the request of a key that it started.
#[record]
#[serde(rename_all = "kebab-case")]
pub enum Lookup {
    /// The request still runs.
    Running,
    /// The reply is held.
    Held(Reply),
    /// The request never ran and never will.
    NotRun,
    /// Nothing is known: the request may have run.
    Unknown,
}

/// Access
impl Reply {
    /// Size in memory, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.name.len() + it.value.len()).sum();
        size_of::<Reply>() + headers + self.headers.len() * size_of::<Header>() + self.body.len()
    }
}
