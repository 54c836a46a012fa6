//! Settings of a gateway node, in YAML.

use std::{fs, io, net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Checked settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Times that the platform promises or asks for.
    pub timing: Timing,
    /// Bounds on repeats.
    pub retry: Retry,
    /// Where requests wait and when they are turned away.
    #[serde(default)]
    pub admission: Admission,
}

/// Who the node is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name, unique over all nodes.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Where the node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Datagrams and calls between nodes.
    pub peers: SocketAddr,
    /// Counters and histograms, as text for Prometheus.
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address.
    pub address: SocketAddr,
    /// Shortest lease that it grants, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "min_lease_ms")]
    pub min_lease: Duration,
    /// Partitions of a topic.
    pub partitions: u32,
}

/// Times that the platform promises or asks for.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "shutdown_grace_s")]
    pub shutdown_grace: Duration,
}

/// Bounds on repeats.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Repeats that all nodes together may send for each request.
    pub ratio: f64,
    /// Repeats beyond that which all nodes together may send at any time.
    pub reserve: u32,
}

/// Where requests wait and when they are turned away.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Requests in flight at a replica, as a multiple of its slots, from which requests wait here.
    pub fill: f64,
    /// Longest wait here, as a multiple of the route's objective.
    pub wait: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission { fill: 1.0, wait: 1.0 }
    }
}

/// Why settings can't be used.
#[derive(Debug, miette::Diagnostic)]
pub enum Error {
    /// The file can't be read.
    Read(io::Error),
    /// The file isn't a correct settings file.
    Malformed(String),
}

/// Access
impl Settings {
    /// Tells whether other settings name the same node, addresses and store.
    pub fn has_same_place(&self, other: &Settings) -> bool {
        self.node.name == other.node.name
            && self.node.domain == other.node.domain
            && self.listen == other.listen
            && self.store == other.store
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// [`Error`] says what is wrong and where.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(Error::Read)?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Malformed(error.to_string()))
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Read(error) => write!(f, "the settings can't be read: {error}"),
            Error::Malformed(message) => write!(f, "the settings are wrong: {message}"),
        }
    }
}

impl std::error::Error for Error {}
