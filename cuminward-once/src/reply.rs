//! Complete replies, stored to answer repeated requests.

use cuminward_derive::record;
use serde_with::serde_as;

/// Length of a request's fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Hash of the content of a request.
pub type Fingerprint = [u8; FINGERPRINT_BYTES];

/// Returns the fingerprint of a request, which tells a repeat from another request with the same key.
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
    /// Fingerprint of the request that the reply answers.
    pub fingerprint: Fingerprint,
    /// HTTP status.
    pub status: u16,
    /// Headers, in order.
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

/// State of the request of a key at the node that started it.
#[record]
#[serde(rename_all = "kebab-case")]
pub enum Lookup {
    /// The request is still running.
    Running,
    /// The request is complete and its reply is stored.
    Held(Reply),
    /// The request did not run and never will.
    NotRun,
    /// The node has no state of the request, which may have run.
    Unknown,
}

/// Access
impl Reply {
    /// Returns the size of the reply in memory, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.name.len() + it.value.len()).sum();
        size_of::<Reply>() + headers + self.headers.len() * size_of::<Header>() + self.body.len()
    }
}
