//! What requests read: a snapshot that is replaced as a whole.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use cuminward_serving::{catalog, id, slowdown};
use xxhash_rust::xxh3;

use super::gauge::Gauge;

/// Identity of an upstream between nodes: hash of its name.
pub(crate) type Key = u64;

/// Snapshot of what requests need.
#[derive(Default)]
pub(crate) struct View {
    /// The newest catalog; `None` before the first one is known.
    pub(crate) catalog: Option<Arc<catalog::Catalog>>,
    /// Upstreams of each service.
    pub(crate) services: HashMap<id::Service, Pool>,
    /// Upstreams that get no new requests and still serve some.
    retired: Vec<Arc<Upstream>>,
}

/// Upstreams of a service.
#[derive(Default)]
pub(crate) struct Pool {
    /// Hosts of a plain service.
    pub(crate) plain: Vec<Arc<Upstream>>,
    /// Whole replicas by model.
    pub(crate) models: HashMap<id::Model, Vec<Arc<Upstream>>>,
}

/// What takes requests: a host of a plain service, or the head of a replica.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Name: that of the host, or of the group and its formation.
    pub(crate) name: String,
    pub(crate) key: Key,
    /// How much this node prefers it to others.
    pub(crate) affinity: u64,
    /// Host that takes the requests.
    pub(crate) host: id::Host,
    pub(crate) address: String,
    pub(crate) domain: id::Domain,
    /// Requests that it runs at once.
    pub(crate) slots: u32,
    /// Hosts that have to live for it to serve.
    pub(crate) members: Vec<Member>,
    /// Pace of its slowest member.
    pub(crate) pace: slowdown::Factor,
    /// Rate of requests that it bears while it is cold, from all nodes together.
    pub(crate) cold_rate: Option<f64>,
    pub(crate) gauge: Arc<Gauge>,
}

/// A host that has to live for an upstream to serve.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) host: id::Host,
    pub(crate) address: String,
}

/// Identity of an upstream between nodes.
pub(crate) fn key(name: &str) -> Key {
    xxh3::xxh3_64(name.as_bytes())
}

/// Access
impl Upstream {
    /// Tells whether several hosts have to live for it to serve.
    pub(crate) fn is_replica(&self) -> bool {
        self.members.len() > 1
    }

    /// Tells whether a host has to live for it to serve.
    pub(crate) fn has_member(&self, host: &str) -> bool {
        self.members.iter().any(|it| it.host == host)
    }
}

/// How much a node prefers an upstream: a hash, so that nodes prefer different ones.
pub(crate) fn affinity(node: &str, key: Key) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_bytes(), key)
}

/// Life cycle
impl View {
    /// Makes a view without retired upstreams.
    pub(crate) fn new(
        catalog: Arc<catalog::Catalog>,
        services: HashMap<id::Service, Pool>,
    ) -> View {
        View { catalog: Some(catalog), services, retired: Vec::new() }
    }
}

/// Access
impl View {
    /// Upstreams of a service that can answer for a model, or for none.
    pub(crate) fn upstreams(&self, service: &str, model: Option<&str>) -> &[Arc<Upstream>] {
        let Some(pool) = self.services.get(service) else { return &[] };
        match model {
            Some(model) if !pool.models.is_empty() => {
                pool.models.get(model).map_or(&[], Vec::as_slice)
            }
            _ => &pool.plain,
        }
    }

    /// All upstreams, and those that only finish requests.
    pub(crate) fn watched(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().chain(&self.retired)
    }

    /// All upstreams.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.services.values().flat_map(|it| it.plain.iter().chain(it.models.values().flatten()))
    }
}

/// Mutation
impl View {
    /// Takes over the upstreams of an earlier view that still serve requests.
    pub(crate) fn retire(&mut self, earlier: &View) {
        let current: HashSet<Key> = self.all().map(|it| it.key).collect();
        let busy = earlier.watched().filter(|it| it.gauge.in_flight() > 0);
        self.retired = busy.filter(|it| !current.contains(&it.key)).cloned().collect();
    }
}
