//! The settings file as written; values that are validated keep their position for error reports.

use cuminward_route::route::remote;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A whole settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Identity of the node.
    pub node: Node,
    /// Addresses that the node binds.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secret that the nodes share.
    pub secret: Spanned<Secret>,
    /// Operators that may call the node.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Limits of the requests.
    #[serde(default)]
    pub limits: Limits,
    /// Routing to upstreams.
    #[serde(default)]
    pub routing: Routing,
    /// Intervals and limits of the control tasks.
    #[serde(default)]
    pub timing: Timing,
}

/// Routing to upstreams.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Strategy that chooses another failure domain: `never`, `nearest` or `weighted`.
    pub remote: Option<remote::Strategy>,
    /// Time that a request waits for a slot of its own failure domain before it may go to another
    /// one, in milliseconds.
    pub spill_ms: Option<Spanned<u64>>,
}

/// Identity of a node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name of the node, unique among all nodes.
    pub name: Spanned<String>,
    /// Failure domain of the node.
    pub domain: Spanned<String>,
}

/// Addresses that a node binds, as IP address and port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP interface for callers.
    pub callers: Spanned<String>,
    /// gRPC interface for operators.
    pub operators: Spanned<String>,
    /// Calls between nodes.
    pub peers: Spanned<String>,
}

/// Addresses of the platform's services, as IP address and port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log.
    pub log: Spanned<String>,
    /// The host list.
    pub hosts: Spanned<String>,
    /// The weight store.
    pub weights: Spanned<String>,
    /// Retention of the log, in milliseconds: minimum time for which it keeps records.
    pub retention_ms: Option<Spanned<u64>>,
}

/// Source of the nodes' shared secret; exactly one of the two fields is set.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// Path of a file that holds the secret.
    pub file: Option<String>,
    /// Name of an environment variable that holds the secret.
    pub env: Option<String>,
}

/// An operator that may call the node.
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

/// Limits of the requests.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: Option<Spanned<u64>>,
    /// Time within which a body has to arrive, in milliseconds.
    pub body_timeout_ms: Option<Spanned<u64>>,
    /// Maximum time between two tokens before a connection counts as silent, in milliseconds.
    pub token_timeout_ms: Option<Spanned<u64>>,
    /// Maximum time that a request waits for a slot if its caller set no deadline, in milliseconds.
    pub queue_timeout_ms: Option<Spanned<u64>>,
    /// Maximum time that a shutdown waits for requests in flight, in milliseconds.
    pub shutdown_grace_ms: Option<Spanned<u64>>,
}

/// Intervals and limits of the control tasks, in milliseconds.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Interval of the health probes of one host.
    pub probe_ms: Option<Spanned<u64>>,
    /// Age beyond which a host's report is ignored.
    pub freshness_ms: Option<Spanned<u64>>,
    /// Interval at which the host list is read.
    pub listing_ms: Option<Spanned<u64>>,
    /// Length of the steward's lease.
    pub lease_ms: Option<Spanned<u64>>,
}
