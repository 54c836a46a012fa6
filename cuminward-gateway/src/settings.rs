//! Settings of a gateway node, in YAML.

use std::{fs, io, net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Settings of a gateway node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the node.
    pub node: Node,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Time limits set by the platform.
    pub timing: Timing,
    /// Retry budget.
    pub retry: Retry,
    /// Admission queue.
    #[serde(default)]
    pub admission: Admission,
}

/// Identity of the node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name, unique among all nodes.
    pub name: String,
    /// Failure domain in which the node runs.
    pub domain: String,
    /// Whether the whole system starts for the first time, so that no caller can have sent a request yet.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Addresses that the node listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// HTTP readiness checks.
    pub ready: SocketAddr,
    /// Gossip (UDP) and calls (TCP) between nodes.
    pub peers: SocketAddr,
    /// Metrics in the Prometheus text format; `None` disables the listener.
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address.
    pub address: SocketAddr,
    /// Shortest lease that the store grants, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_lease_ms")]
    pub min_lease: Duration,
    /// Number of partitions of a topic.
    pub partitions: u32,
}

/// Time limits set by the platform.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "shutdown_grace_s")]
    pub shutdown_grace: Duration,
}

/// Retry budget, shared by all nodes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries per request that all nodes together may send.
    pub ratio: f64,
    /// Retries that all nodes together may send in addition, independent of the request rate.
    pub reserve: u32,
}

/// Admission queue, in which requests wait for an upstream with capacity.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Requests in flight at an upstream, as a multiple of its slots, from which further requests wait in
    /// the queue.
    pub fill: f64,
    /// Longest wait in the queue, as a multiple of the route's latency objective.
    pub wait: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission { fill: 1.0, wait: 1.0 }
    }
}

/// Error of loading a settings file.
#[derive(Debug, miette::Diagnostic)]
pub enum Error {
    /// The file can't be read.
    Read(io::Error),
    /// The file isn't valid YAML or doesn't match the settings; holds the message of the parser.
    Malformed(String),
}

/// Access
impl Settings {
    /// Returns whether `other` has the same node name, failure domain, listen addresses and store.
    /// Changes to these take effect only when the node starts again.
    pub fn has_same_identity(&self, other: &Settings) -> bool {
        self.node.name == other.node.name
            && self.node.domain == other.node.domain
            && self.listen == other.listen
            && self.store == other.store
    }
}

/// Loads a settings file.
///
/// # Errors
///
/// Returns an [`Error`] if the file can't be read or isn't valid; the message names the place in the file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(Error::Read)?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Malformed(error.to_string()))
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Read(error) => write!(f, "the settings file can't be read: {error}"),
            Error::Malformed(message) => write!(f, "the settings file is invalid: {message}"),
        }
    }
}

impl std::error::Error for Error {}
