//! Requests that crash upstreams.
//!
//! Everything in flight on an upstream at its crash is suspected. A suspect runs again only in
//! isolation: as the only suspect of its node on an upstream. A suspect whose upstream crashes while
//! it is isolated there is refused everywhere, unless another node's suspect was isolated on the
//! same upstream; then both stay suspects. A request that completes is cleared.
//!
//! Nodes learn of crashes by [`Record`]s in the log's stream `quarantine`. What a [`Ledger`] says
//! depends only on the records, their order in the stream and their ages.

mod isolation;
mod ledger;

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::{record, value};
use xxhash_rust::xxh3;

pub use self::{
    isolation::{Busy, Isolation, Permit, is_turn},
    ledger::Ledger,
};

/// Hash of all that decides what a request does to an upstream.
pub type Fingerprint = u64;

/// Time for which a crash is remembered.
pub const DEFAULT_WINDOW: Duration = Duration::from_secs(3600);

/// Fingerprints that are remembered.
pub const DEFAULT_ENTRIES: usize = 4096;

/// Tokens after which an isolated suspect counts as harmless: one that crashes upstreams does so
/// again where it did before.
pub const HARMLESS_TOKENS: u64 = 8;

/// What a node saw, for all nodes.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// An upstream crashed.
    Crashed(Crash),
    /// A suspected request ran to its end.
    Cleared {
        /// Fingerprint of the request, as 16 hexadecimal digits.
        fingerprint: String,
    },
}

/// A crash with what one node had in flight at the upstream.
#[record]
pub struct Crash {
    /// Node that saw the crash.
    pub node: id::Node,
    /// Upstream that crashed.
    pub upstream: String,
    /// Start of the upstream that has ended.
    pub incarnation: id::Incarnation,
    /// Fingerprints of the requests in flight, as 16 hexadecimal digits.
    pub suspects: Vec<String>,
    /// The suspect among them that was isolated there, if any.
    pub isolated: Option<String>,
}

/// What may be done with a request.
#[value]
pub enum Verdict {
    /// The request may run anywhere.
    Clear,
    /// The request may run in isolation only.
    Suspect,
    /// The request is refused as not run.
    Refused,
}

/// Fingerprint of a request to a service.
pub fn fingerprint(service: &str, body: &[u8]) -> Fingerprint {
    xxh3::xxh3_64_with_seed(body, xxh3::xxh3_64(service.as_bytes()))
}

/// Writes a fingerprint as 16 hexadecimal digits.
pub fn to_hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

fn parse(text: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(text, 16).ok()
}
