//! Settings of a gateway node, in YAML.

use std::{fs, io, net::SocketAddr, path::Path, time::Duration};

use cuminward_core::number::Rounded;
use cuminward_serving::limit;
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

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
    /// Requests to cold hosts.
    #[serde(default)]
    pub cold: Cold,
    /// Admission queue.
    #[serde(default)]
    pub admission: Admission,
    /// Placement of replicas.
    #[serde(default)]
    pub placement: Placement,
    /// Routing of requests.
    #[serde(default)]
    pub routing: Routing,
    /// Memory and descriptors of the machine that the process may use.
    #[serde(default)]
    pub machine: Machine,
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
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "min_lease_ms")]
    pub min_lease: Duration,
    /// Number of partitions of a topic.
    #[serde_as(as = "Rounded")]
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
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries per request that all nodes together may send.
    pub ratio: f64,
    /// Retries that all nodes together may send in addition, independent of the request rate.
    pub reserve: f64,
    /// Length of the windows in which requests and retries are counted, in seconds;
    /// [`Retry::DEFAULT_WINDOW`] if missing.
    #[serde_as(as = "Option<DurationSecondsWithFrac<f64>>")]
    #[serde(rename = "window_s", default)]
    pub window: Option<Duration>,
}

/// Access
impl Retry {
    /// Length of the windows if the settings name none.
    pub const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

    /// Returns the length of the windows.
    pub fn window(&self) -> Duration {
        self.window.unwrap_or(Retry::DEFAULT_WINDOW)
    }
}

/// Bound on the requests that a cold host gets within a second from all nodes together: the rate that
/// the catalog declares, times `overrun`, plus `slack`.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// Factor on the declared rate; [`Cold::DEFAULT_OVERRUN`] if missing.
    pub overrun: Option<f64>,
    /// Requests in addition; none if missing.
    pub slack: Option<f64>,
}

/// Access
impl Cold {
    /// Factor on the declared rate if the settings name none.
    pub const DEFAULT_OVERRUN: f64 = 1.5;

    /// Time within which the requests are counted.
    const WINDOW: Duration = Duration::from_secs(1);

    /// Returns the limit for a host that sustains `rate` requests per second.
    pub fn limit(&self, rate: f64) -> limit::Limit {
        let overrun = self.overrun.unwrap_or(Cold::DEFAULT_OVERRUN);
        let peak = rate * overrun + self.slack.unwrap_or(0.0);
        limit::Limit { rate, peak, window: Cold::WINDOW }
    }
}

/// Admission queue, in which requests wait for an upstream with capacity.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Requests in flight at an upstream, as a multiple of its slots, from which further requests wait in
    /// the queue.
    pub fill: f64,
    /// Time within which the first part of the response should come, as a multiple of the route's latency
    /// objective. A request waits as long as that still seems possible.
    pub wait: f64,
    /// Whether rejected callers are told to return one after the other, as requests end. Otherwise all return after a
    /// fraction of a second.
    pub plans_returns: bool,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission { fill: 1.0, wait: 1.0, plans_returns: false }
    }
}

/// Placement of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Whether hosts are moved between the models of a service when the loads of their replicas differ. Otherwise the
    /// declared shares hold.
    pub follows_demand: bool,
}

/// Routing of requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether requests leave the node's failure domain only as far as its upstreams are more loaded than the others.
    /// Otherwise upstreams of the domain are preferred by a fixed small difference in load.
    pub stays_in_domain: bool,
    /// Whether requests are spread by what all nodes together will send until they hear of each other again, if a
    /// round of digests doesn't reach all of them. Otherwise each goes to the upstream that looks least loaded.
    pub levels_load: bool,
}

/// Memory and descriptors of the machine that the process may use. What callers can take of them follows from it; see
/// `docs/operations/hostile-callers.md`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// Memory, in MiB; [`Machine::DEFAULT_MEMORY_MB`] if missing.
    #[serde_as(as = "Option<Rounded>")]
    pub memory_mb: Option<u64>,
    /// Number of open descriptors; [`Machine::DEFAULT_DESCRIPTORS`] if missing.
    #[serde_as(as = "Option<Rounded>")]
    pub descriptors: Option<u64>,
}

/// Access
impl Machine {
    /// Memory if the settings name none, in MiB.
    pub const DEFAULT_MEMORY_MB: u64 = 512;

    /// Number of open descriptors if the settings name none.
    pub const DEFAULT_DESCRIPTORS: u64 = 8192;

    /// Returns the memory, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb.unwrap_or(Machine::DEFAULT_MEMORY_MB) << 20
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> u64 {
        self.descriptors.unwrap_or(Machine::DEFAULT_DESCRIPTORS)
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
