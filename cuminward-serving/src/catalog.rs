//! Declarations of the operators at one version: routes, services, teams and limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{engine, id};

/// All declarations, at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version, which only increases.
    pub version: id::Version,
    /// Routes in the order of the declaration, shared with the requests that use them.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams; empty if callers need no key.
    pub teams: Vec<Arc<Team>>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Path prefixes of the routes, by host name.
    by_host: HashMap<String, Prefixes>,
    /// Index in `teams`, by key.
    by_key: HashMap<String, usize>,
}

/// Path prefixes of the routes with one host name.
#[derive(Debug, Clone, PartialEq, Default)]
struct Prefixes {
    /// Lengths that occur, the longest first, in bytes. Only these parts of a path are looked up, so that the work doesn't
    /// grow with the path.
    lengths: Vec<usize>,
    /// Index of the route, by prefix.
    routes: HashMap<String, usize>,
}

/// Routing rule for the requests with one host name and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// Services that get the requests, with the weight of each.
    pub targets: Vec<Target>,
    /// Which requests may be retried.
    pub retry: Retry,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target of the operator for the time to the first part of the response.
    pub latency_objective: Duration,
    /// Target of the operator for the longest pause between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Maximum number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

/// A service that gets a share of the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service.
    pub service: id::Service,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// Which requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// The whole request can be sent again.
    Idempotent,
    /// A request that may have run is not sent again.
    Never,
    /// The response is a stream of events, which can be resumed at another server after its last
    /// event.
    Resumable,
    /// The response is a stream of events that can't be resumed.
    Stream,
}

/// A service and the limits of its servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a cold server can take; `None` if the servers are never cold.
    pub cold_rate: Option<f64>,
    /// Time for which a server is cold after its start.
    pub cold_time: Duration,
    /// Model engine; `None` for a plain service.
    pub engine: Option<engine::Engine>,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// API keys, any of which identifies the team.
    pub keys: Vec<String>,
    /// Priority that overrides the one of the route; 0 is served first.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum total size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for the headers to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Parts of a catalog before it is indexed.
#[derive(Debug, Clone, Default)]
pub struct Parts {
    /// Version.
    pub version: id::Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Limits.
    pub limits: Limits,
}

/// Life cycle
impl Catalog {
    /// Builds a catalog and its indexes. If two routes have the same host name and prefix, or two
    /// teams the same key, the first one takes effect.
    pub fn new(parts: Parts) -> Catalog {
        let mut by_host: HashMap<String, Prefixes> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().insert(&route.prefix, index);
        }
        let mut by_key = HashMap::new();
        for (index, team) in parts.teams.iter().enumerate() {
            for key in &team.keys {
                by_key.entry(key.clone()).or_insert(index);
            }
        }
        let Parts { version, routes, services, teams, limits } = parts;
        let routes = routes.into_iter().map(Arc::new).collect();
        let teams = teams.into_iter().map(Arc::new).collect();
        Catalog { version, routes, services, teams, limits, by_host, by_key }
    }
}

/// Access
impl Catalog {
    /// Returns the route for a host name and a path without query: the one with the longest
    /// matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(self.by_host.get(host)?.longest_match(path)?)
    }

    /// Returns the team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(*self.by_key.get(key)?)
    }
}

/// Access
impl Prefixes {
    /// Returns the index of the route with the longest prefix of a path.
    fn longest_match(&self, path: &str) -> Option<usize> {
        let prefixes = self.lengths.iter().filter_map(|it| path.get(..*it));
        prefixes.into_iter().find_map(|it| self.routes.get(it)).copied()
    }
}

/// Mutation
impl Prefixes {
    /// Adds a prefix, unless it is there already or doesn't end with a slash.
    fn insert(&mut self, prefix: &str, index: usize) {
        if !prefix.ends_with('/') {
            return;
        }
        self.routes.entry(prefix.to_owned()).or_insert(index);
        if let Err(at) = self.lengths.binary_search_by(|it| prefix.len().cmp(it)) {
            self.lengths.insert(at, prefix.len());
        }
    }
}

impl Route {
    /// Selects a target according to the weights. `draw` is a random number that is evenly
    /// distributed between 0 (included) and 1 (excluded). Returns `None` if no target has a
    /// positive weight.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut remaining = draw * total;
        let mut weighted = self.targets.iter().filter(|it| it.weight > 0.0);
        for target in weighted.clone() {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(target);
            }
        }
        weighted.next_back()
    }
}

impl Retry {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Retry::Resumable | Retry::Stream)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Retry::Idempotent | Retry::Resumable)
    }
}
