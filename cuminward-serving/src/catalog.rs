//! What operators declare: routes, services, teams and limits, at one version.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{engine, id};

/// Everything that is declared, at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version, which only grows.
    pub version: id::Version,
    /// Routes in the order of the declaration, shared with the requests on them.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams; none if callers need no key.
    pub teams: Vec<Arc<Team>>,
    /// Bounds of what callers may send.
    pub limits: Limits,
    /// Index of a route by host name and path prefix.
    by_prefix: HashMap<String, HashMap<String, usize>>,
    /// Index of a team by key.
    by_key: HashMap<String, usize>,
}

/// Where requests with one host name and path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// Services with the weight of each.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub retry: Retry,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time to the first part of the answer for which the operator aims.
    pub latency_objective: Duration,
    /// Longest pause between the events of a stream for which the operator aims.
    pub gap_objective: Option<Duration>,
    /// Servers to which one request may be sent.
    pub max_attempts: u32,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

/// One service of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service.
    pub service: id::Service,
    /// Weight against the other targets of the route.
    pub weight: f64,
}

/// What of a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// The whole request.
    Idempotent,
    /// Nothing.
    Never,
    /// The answer is a stream of events; it can go on at another server after its last event.
    Resumable,
    /// The answer is a stream of events that can't be resumed.
    Stream,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that a cold server bears; `None` if its servers are never cold.
    pub cold_rate: Option<f64>,
    /// Time for which a server is cold after its start.
    pub cold_time: Duration,
    /// The model engine, unless the service is a plain one.
    pub engine: Option<engine::Engine>,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys, any of which identifies the team.
    pub keys: Vec<String>,
    /// Rank that goes before that of the route; 0 is served first.
    pub priority: Option<u8>,
}

/// Bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of all headers, in bytes.
    pub header_bytes: usize,
    /// Largest size of a body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the headers to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
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
    /// Indexes the parts. The first of two routes with the same prefix, or of two teams with the same
    /// key, counts.
    pub fn new(parts: Parts) -> Catalog {
        let mut by_prefix: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let prefixes = by_prefix.entry(route.host.clone()).or_default();
            prefixes.entry(route.prefix.clone()).or_insert(index);
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
        Catalog { version, routes, services, teams, limits, by_prefix, by_key }
    }
}

/// Access
impl Catalog {
    /// The route of a host name and a path without query: that with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.by_prefix.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        let index = slashes.into_iter().find_map(|at| prefixes.get(&path[..=at]))?;
        self.routes.get(*index)
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(*self.by_key.get(key)?)
    }
}

impl Route {
    /// The target for a number that is drawn evenly from 0 up to 1.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = draw * total;
        let mut weighted = self.targets.iter().filter(|it| it.weight > 0.0);
        for target in weighted.clone() {
            left -= target.weight;
            if left < 0.0 {
                return Some(target);
            }
        }
        weighted.next_back()
    }
}

impl Retry {
    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Retry::Resumable | Retry::Stream)
    }

    /// Tells whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Retry::Idempotent | Retry::Resumable)
    }
}
