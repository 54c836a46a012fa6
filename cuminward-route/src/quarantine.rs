//! Quarantine of requests that crash upstreams.
//!
//! All requests in flight on an upstream when it crashes become suspects. A suspect may run again
//! only in isolation, that is as the only suspect of its node on an upstream. If the upstream crashes
//! while a suspect is isolated there, the suspect is refused on all nodes, unless another node had
//! isolated a suspect on the same upstream; then both stay suspects. A suspect that completes is
//! cleared.
//!
//! Nodes exchange crashes as [`Record`]s in the log's stream `quarantine`. The verdicts of a
//! [`Ledger`] depend only on the records, their order in the stream and their ages.

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

/// Hash of the parts of a request that determine its effect on an upstream.
pub type Fingerprint = u64;

/// Default time for which a crash is kept.
pub const DEFAULT_WINDOW: Duration = Duration::from_secs(3600);

/// Default limit of the fingerprints in a ledger.
pub const DEFAULT_ENTRIES: usize = 4096;

/// Tokens after which an isolated suspect counts as harmless: a request that crashes upstreams is
/// expected to do so again at the same point.
pub const HARMLESS_TOKENS: u64 = 8;

/// Record of an event that a node reports to all nodes.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// An upstream crashed.
    Crashed(Crash),
    /// A suspected request completed.
    Cleared {
        /// Fingerprint of the request, as 16 hexadecimal digits.
        fingerprint: String,
    },
}

/// Crash of an upstream, with the requests that one node had in flight there.
#[record]
pub struct Crash {
    /// Node that detected the crash.
    pub node: id::Node,
    /// Upstream that crashed.
    pub upstream: String,
    /// Incarnation of the upstream that crashed.
    pub incarnation: id::Incarnation,
    /// Fingerprints of the requests in flight, as 16 hexadecimal digits.
    pub suspects: Vec<String>,
    /// Fingerprint of the suspect that was isolated there, if any.
    pub isolated: Option<String>,
}

/// Verdict on a request.
#[value]
pub enum Verdict {
    /// The request may run anywhere.
    Clear,
    /// The request may run only in isolation.
    Suspect,
    /// The request must be refused without running it.
    Refused,
}

/// Returns the fingerprint of a request to a service.
pub fn fingerprint(service: &str, body: &[u8]) -> Fingerprint {
    xxh3::xxh3_64_with_seed(body, xxh3::xxh3_64(service.as_bytes()))
}

/// Formats a fingerprint as 16 hexadecimal digits.
pub fn to_hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Parses a fingerprint from hexadecimal digits; returns `None` if it is malformed.
fn parse(text: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(text, 16).ok()
}
