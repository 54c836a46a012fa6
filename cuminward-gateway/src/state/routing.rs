//! Routing snapshot: the catalog and the upstreams that requests can use. It is replaced as a whole.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use cuminward_serving::{catalog, id, slowdown};
use xxhash_rust::xxh3;

use super::{notices, stats::Stats};

/// Key that identifies an upstream on all nodes: a hash of its name.
pub(crate) type Key = u64;

/// Snapshot of the catalog and the upstreams.
#[derive(Default)]
pub(crate) struct Snapshot {
    /// The newest catalog; `None` until the first one was read.
    pub(crate) catalog: Option<Arc<catalog::Catalog>>,
    /// Upstreams by service.
    pub(crate) services: HashMap<id::Service, Pool>,
    /// Upstreams that get no new requests but still have some in flight.
    retired: Vec<Arc<Upstream>>,
}

/// Upstreams of one service.
#[derive(Default)]
pub(crate) struct Pool {
    /// Hosts of a plain service.
    pub(crate) plain: Vec<Arc<Upstream>>,
    /// Complete replicas by model.
    pub(crate) models: HashMap<id::Model, Vec<Arc<Upstream>>>,
}

/// An upstream that takes requests: a host of a plain service, or a replica through its head.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Name: host and time of its start, or group and number of its formation.
    pub(crate) name: String,
    pub(crate) key: Key,
    /// This node's preference for the upstream; see [`affinity`].
    pub(crate) affinity: u64,
    /// Host that takes the requests; the head of a replica.
    pub(crate) host: id::Host,
    pub(crate) address: String,
    pub(crate) domain: id::Domain,
    /// Number of requests that the upstream can run at once.
    pub(crate) slots: u32,
    /// Hosts that must all be alive for the upstream to serve.
    pub(crate) members: Vec<Member>,
    /// Slowdown factor of the slowest member; 1 is the usual speed.
    pub(crate) slowdown: slowdown::Factor,
    /// This node's share of the request rate while the upstream is cold, in requests per second; `None` if
    /// there is no limit.
    pub(crate) cold_share: Option<f64>,
    /// What the host that takes the requests says of itself.
    pub(crate) notices: Arc<notices::Host>,
    pub(crate) stats: Arc<Stats>,
}

/// A host that must be alive for an upstream to serve.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) host: id::Host,
    pub(crate) address: String,
}

/// Returns the key of the upstream with a name.
pub(crate) fn key(name: &str) -> Key {
    xxh3::xxh3_64(name.as_bytes())
}

/// Access
impl Upstream {
    /// Returns whether the upstream is a replica that spans several hosts.
    pub(crate) fn is_replica(&self) -> bool {
        self.members.len() > 1
    }

    /// Returns whether a host is a member of the upstream.
    pub(crate) fn has_member(&self, host: &str) -> bool {
        self.members.iter().any(|it| it.host == host)
    }
}

/// Returns how much a node prefers an upstream, as in rendezvous hashing: a hash of both, so that
/// different nodes prefer different upstreams.
pub(crate) fn affinity(node: &str, key: Key) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_bytes(), key)
}

/// Life cycle
impl Snapshot {
    /// Creates a snapshot without retired upstreams.
    pub(crate) fn new(
        catalog: Arc<catalog::Catalog>,
        services: HashMap<id::Service, Pool>,
    ) -> Snapshot {
        Snapshot { catalog: Some(catalog), services, retired: Vec::new() }
    }
}

/// Access
impl Snapshot {
    /// Returns the upstreams of a service that run a model. Without a model, or for a service without
    /// models, these are the plain hosts.
    pub(crate) fn upstreams(&self, service: &str, model: Option<&str>) -> &[Arc<Upstream>] {
        let Some(pool) = self.services.get(service) else { return &[] };
        match model {
            Some(model) if !pool.models.is_empty() => {
                pool.models.get(model).map_or(&[], Vec::as_slice)
            }
            _ => &pool.plain,
        }
    }

    /// Iterates over all upstreams, including retired ones that only finish their requests.
    pub(crate) fn including_retired(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.routable().chain(&self.retired)
    }

    /// Iterates over the upstreams that can get new requests.
    pub(crate) fn routable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.services.values().flat_map(|it| it.plain.iter().chain(it.models.values().flatten()))
    }
}

/// Mutation
impl Snapshot {
    /// Takes over the upstreams of the previous snapshot that still have requests in flight.
    pub(crate) fn carry_over_retired(&mut self, previous: &Snapshot) {
        let current: HashSet<Key> = self.routable().map(|it| it.key).collect();
        let busy = previous.including_retired().filter(|it| it.stats.in_flight() > 0);
        self.retired = busy.filter(|it| !current.contains(&it.key)).cloned().collect();
    }
}
