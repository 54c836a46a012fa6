//! Settings of a node, read from a YAML file and validated completely before anything starts.

mod check;
pub mod file;
pub mod load;

use std::{fmt, net::SocketAddr, time::Duration};

use cuminward_core::id;
use cuminward_route::route::remote;

/// Default retention of the platform's log.
pub const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Validated settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: id::Node,
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// Addresses that the node binds.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Shared secret by which the nodes authenticate each other.
    pub secret: Secret,
    /// Operators that may call the node.
    pub operators: Vec<Operator>,
    /// Limits on requests.
    pub limits: Limits,
    /// Routing to upstreams.
    pub routing: Routing,
    /// Intervals and limits of the control tasks.
    pub timing: Timing,
}

/// Routing to upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Routing {
    /// Strategy that chooses another failure domain.
    pub remote: remote::Strategy,
    /// Time that a request waits for a slot of its own failure domain before it may go to another
    /// one.
    pub spill: Duration,
}

/// Addresses that a node binds.
#[derive(Debug, Clone, PartialEq)]
pub struct Listen {
    /// HTTP interface for callers.
    pub callers: SocketAddr,
    /// gRPC interface for operators.
    pub operators: SocketAddr,
    /// Calls between nodes.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services, as IP address and port.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// The log.
    pub log: String,
    /// The host list.
    pub hosts: String,
    /// The weight store.
    pub weights: String,
    /// Retention of the log: minimum time for which it keeps records.
    pub retention: Duration,
}

/// A text that the `Debug` form doesn't reveal, so that logs never contain it.
#[derive(Clone, PartialEq)]
pub struct Secret(String);

/// An operator that may call the node.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Name of the operator.
    pub name: String,
    /// BLAKE3 hash of the operator's token, in hexadecimal.
    pub token_hash: String,
    /// Role, which determines the calls that the operator may make.
    pub role: file::Role,
}

/// Limits on requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a body has to arrive.
    pub body_timeout: Duration,
    /// Maximum time between two tokens before a connection counts as silent.
    pub token_timeout: Duration,
    /// Maximum time that a request waits for a slot if its caller set no deadline.
    pub queue_timeout: Duration,
    /// Maximum time that a shutdown waits for requests in flight.
    pub shutdown_grace: Duration,
}

/// Intervals and limits of the control tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Timing {
    /// Interval of the health probes of one host.
    pub probe: Duration,
    /// Age beyond which a host's report is ignored.
    pub freshness: Duration,
    /// Interval at which the host list is read.
    pub listing: Duration,
    /// Length of the steward's lease.
    pub lease: Duration,
}

/// Life cycle
impl Secret {
    /// Wraps a secret text.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }
}

/// Access
impl Secret {
    /// Returns the secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            token_timeout: Duration::from_secs(2),
            queue_timeout: Duration::from_secs(10),
            shutdown_grace: Duration::from_secs(60),
        }
    }
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { remote: remote::Strategy::Weighted, spill: Duration::from_millis(100) }
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe: Duration::from_millis(300),
            freshness: Duration::from_millis(1_500),
            listing: Duration::from_millis(500),
            lease: Duration::from_secs(3),
        }
    }
}
