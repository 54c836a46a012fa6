//! Complete replies, kept to answer repeats.

use cuminward_derive::record;
use serde_with::serde_as;

/// A complete reply.
#[serde_as]
#[record]
#[derive(Default)]
pub struct Reply {
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
