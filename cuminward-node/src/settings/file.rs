//! The settings file as it is written; each checked value remembers its place.

use cuminward_route::route::remote;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A whole settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Who the node is.
    pub node: Node,
    /// Where the node listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Secret that the nodes share.
    pub secret: Spanned<Secret>,
    /// Operators who may call the node.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Bounds of the requests.
    #[serde(default)]
    pub limits: Limits,
    /// Choice of upstreams.
    #[serde(default)]
    pub routing: Routing,
    /// Intervals and bounds of the control work.
    #[serde(default)]
    pub timing: Timing,
}

/// Choice of upstreams.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Way of choosing another failure domain: `never`, `nearest` or `weighted`.
    pub remote: Option<remote::Strategy>,
    /// Time that a request waits for a slot of the own failure domain before another one is used, in
    /// milliseconds.
    pub spill_ms: Option<Spanned<u64>>,
}

/// Who the node is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name, unique over all nodes.
    pub name: Spanned<String>,
    /// Failure domain.
    pub domain: Spanned<String>,
}

/// Where the node listens: IP address and port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: Spanned<String>,
    /// Operators' remote procedure calls.
    pub operators: Spanned<String>,
    /// Calls between nodes.
    pub peers: Spanned<String>,
}

/// Where the platform's services are: IP address and port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log.
    pub log: Spanned<String>,
    /// The host list.
    pub hosts: Spanned<String>,
    /// The weight store.
    pub weights: Spanned<String>,
    /// Time for which the log promises to keep records, in milliseconds.
    pub retention_ms: Option<Spanned<u64>>,
}

/// Where the nodes' shared secret is found; exactly one of the two.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// Path of a file that holds the secret.
    pub file: Option<String>,
    /// Name of an environment variable that holds the secret.
    pub env: Option<String>,
}

/// An operator who may call the node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator.
    pub name: Spanned<String>,
    /// BLAKE3 hash of the operator's token, in hexadecimal.
    pub token_hash: Spanned<String>,
    /// What the operator may do.
    pub role: Role,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read only.
    Read,
    /// Read and change the configuration.
    Write,
}

/// Bounds of the requests.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: Option<Spanned<u64>>,
    /// Time within which a body has to arrive, in milliseconds.
    pub body_timeout_ms: Option<Spanned<u64>>,
    /// Longest time between two tokens, in milliseconds.
    pub token_timeout_ms: Option<Spanned<u64>>,
    /// Time that a request may wait for capacity, in milliseconds.
    pub queue_timeout_ms: Option<Spanned<u64>>,
    /// Time that a shutdown waits for requests under way, in milliseconds.
    pub shutdown_grace_ms: Option<Spanned<u64>>,
}

/// Intervals and bounds of the control work, in milliseconds.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Interval of the probes of one host.
    pub probe_ms: Option<Spanned<u64>>,
    /// Age beyond which a host's report doesn't count.
    pub freshness_ms: Option<Spanned<u64>>,
    /// Interval at which the host list is read.
    pub listing_ms: Option<Spanned<u64>>,
    /// Length of the steward's lease.
    pub lease_ms: Option<Spanned<u64>>,
}
