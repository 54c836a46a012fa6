//! The environment of the nodes: the platform's store, the hosts, and proxies in front of the hosts.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_adapter_fake::{
    catalog::{Catalog, Engine, Retry, Route},
    cluster::{Cluster, Delays, Spec},
    store::Store,
};
use cuminward_standin::link::{Disruption, Link};
use tokio::net::TcpListener;

use crate::{checker::TEAM, copier, process};

/// Host name in the requests of callers.
pub const HOST_NAME: &str = "soak.example";
/// API key of the only team.
pub const TEAM_KEY: &str = "soak-key";
/// Name of the only model.
pub const MODEL: &str = "m";

/// Names of the plain service and of the model service.
const PLAIN_SERVICE: &str = "desk";
const MODEL_SERVICE: &str = "chat";

/// Latency objective of the routes: time to the first part of an answer.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);

/// Maximum number of hosts to which one request is sent.
const MAX_ATTEMPTS: u32 = 3;

/// Requests that a replica runs concurrently, and connections that a host accepts.
const SLOTS: u32 = 6;
const MAX_CONNECTIONS: u32 = 200;

/// Timeout of a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// Number of events of a complete stream.
pub const STREAM_EVENTS: u64 = 12;

/// Number of hosts per replica.
const REPLICA_SIZE: usize = 2;

/// Names of the failure domains; each has one fabric domain.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Number of hosts of the model service and of the plain service in each failure domain.
const ENGINE_HOSTS: usize = 5;
const PLAIN_HOSTS: usize = 1;

/// Number of hosts in each failure domain.
pub const HOSTS_PER_DOMAIN: usize = ENGINE_HOSTS + PLAIN_HOSTS;

/// Number of all hosts.
pub const HOSTS: usize = DOMAINS.len() * HOSTS_PER_DOMAIN;

/// Delays of the hosts.
const DELAYS: Delays = Delays {
    load: Duration::from_millis(400),
    join: Duration::from_millis(150),
    open: Duration::from_millis(80),
    stall_timeout: Duration::from_millis(2000),
    event_pause: Duration::from_millis(20),
    answer: Duration::from_millis(15),
    late_order: Duration::from_millis(2500),
};

/// The store and the hosts that the nodes depend on.
pub struct Testbed {
    /// The platform's store.
    pub store: Arc<Store>,
    /// Hosts of both services.
    pub cluster: Cluster,
    /// Proxies in front of the hosts, by the host's id.
    pub links: Vec<(String, Link)>,
    version: AtomicU64,
}

/// Life cycle
impl Testbed {
    /// Starts the store and the hosts, and declares the first configuration. The proxies tell the nodes apart by
    /// their processes. `has_copies` tells whether copies of refusals follow these.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(processes: &process::Registry, has_copies: bool) -> io::Result<Testbed> {
        let store = Arc::new(Store::start().await?);
        let cluster = Cluster::new(Arc::clone(&store), DELAYS, REPLICA_SIZE, STREAM_EVENTS);
        let mut links = Vec::new();
        for domain in DOMAINS {
            for index in 0..HOSTS_PER_DOMAIN {
                let is_plain = index >= ENGINE_HOSTS;
                let service = if is_plain { PLAIN_SERVICE } else { MODEL_SERVICE };
                let id = format!("{service}-{domain}-{index}");
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let identify = Arc::new(processes.clone());
                let host = listener.local_addr()?;
                let target = if has_copies { copier::start(host).await? } else { host };
                let link = Link::start_identifying(target, identify).await?;
                let spec = Spec {
                    id: id.clone(),
                    service: service.to_owned(),
                    domain: domain.to_owned(),
                    fabric: (!is_plain).then(|| domain.to_owned()),
                    address: link.address(),
                };
                cluster.start(spec, listener);
                links.push((id, link));
            }
        }
        let testbed = Testbed { store, cluster, links, version: AtomicU64::new(0) };
        testbed.configure();
        Ok(testbed)
    }
}

/// Access
impl Testbed {
    /// Returns the ids of the hosts, in the order of their proxies.
    pub fn hosts(&self) -> Vec<String> {
        self.links.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the version of the latest configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }
}

/// Mutation
impl Testbed {
    /// Declares the next version of the configuration, which has a route that no other version has.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.declare(&build_catalog(version));
    }

    /// Disrupts the connections between some nodes and all hosts, or ends that.
    pub fn strand(&self, nodes: &[usize], disruption: Option<Disruption>) {
        for (_, link) in &self.links {
            nodes.iter().for_each(|node| link.disrupt(*node, disruption));
        }
    }

    /// Ends all faults of the store and the hosts.
    pub fn heal(&self) {
        self.store.set_refusal(None);
        self.store.set_wakeups_suppressed(false);
        self.cluster.set_late_orders(false);
        for (id, link) in &self.links {
            link.heal();
            link.delay(Duration::ZERO);
            self.cluster.restart(id);
        }
    }
}

/// Returns the path prefix of the route that only this version of the configuration has.
pub fn version_prefix(version: u64) -> String {
    format!("/v{version}/")
}

/// Builds a version of the configuration.
fn build_catalog(version: u64) -> Catalog {
    let route = |prefix: &str, retry: Retry, service: &str| Route {
        host: HOST_NAME.to_owned(),
        prefix: prefix.to_owned(),
        retry,
        service: service.to_owned(),
        timeout: REQUEST_TIMEOUT,
        latency_objective: Some(LATENCY_OBJECTIVE),
        max_attempts: MAX_ATTEMPTS,
        is_anonymous: false,
    };
    Catalog {
        limits: None,
        version,
        routes: vec![
            route("/read/", Retry::Idempotent, PLAIN_SERVICE),
            route("/book/", Retry::Never, PLAIN_SERVICE),
            route("/chat/", Retry::Resumable, MODEL_SERVICE),
            Route { max_attempts: 1, ..route("/tell/", Retry::Resumable, MODEL_SERVICE) },
            route(&version_prefix(version), Retry::Idempotent, PLAIN_SERVICE),
        ],
        max_connections: MAX_CONNECTIONS,
        plain_service: PLAIN_SERVICE.to_owned(),
        engine: Engine {
            service: MODEL_SERVICE.to_owned(),
            slots: SLOTS,
            model: MODEL.to_owned(),
            size: REPLICA_SIZE,
            load_time: DELAYS.load,
            join_time: DELAYS.join,
            open_time: DELAYS.open,
        },
        team: TEAM.to_owned(),
        key: TEAM_KEY.to_owned(),
    }
}
