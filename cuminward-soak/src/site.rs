//! The store, the hosts, and the proxies in front of them.

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
use cuminward_standin::link::Link;
use tokio::net::TcpListener;

use crate::judge::TEAM;

/// Host name that callers ask for.
pub const HOST_NAME: &str = "soak.example";
/// Key of the only team.
pub const KEY: &str = "soak-key";
/// The only model.
pub const MODEL: &str = "m";

/// Services.
const PLAIN_SERVICE: &str = "desk";
const ENGINE_SERVICE: &str = "chat";

/// Time to the first part of an answer for which the operator aims.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Hosts to which one request may be sent.
const MAX_ATTEMPTS: u32 = 3;

/// Requests that a replica runs at once, and connections that a host accepts.
const SLOTS: u32 = 6;
const CONNECTIONS: u32 = 200;

/// Longest time that a request may take.
pub const TIMEOUT: Duration = Duration::from_millis(3000);

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// Hosts of a replica.
const SIZE: usize = 2;

/// Failure domains, with one fabric domain each.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Hosts of the engine and of the plain service in each failure domain.
const ENGINES: usize = 5;
const PLAIN: usize = 1;

const TIMES: Delays = Delays {
    load: Duration::from_millis(400),
    join: Duration::from_millis(150),
    open: Duration::from_millis(80),
    stall_timeout: Duration::from_millis(2000),
    event_pause: Duration::from_millis(20),
    answer: Duration::from_millis(15),
    late_order: Duration::from_millis(2500),
};

/// What the nodes serve and depend on.
pub struct Site {
    /// The platform's store.
    pub store: Arc<Store>,
    /// Hosts of both services.
    pub crew: Cluster,
    /// Proxies in front of the hosts.
    pub links: Vec<(String, Link)>,
    version: AtomicU64,
}

/// Life cycle
impl Site {
    /// Starts a store and hosts, and declares the configuration.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start() -> io::Result<Site> {
        let store = Arc::new(Store::start().await?);
        let crew = Cluster::new(Arc::clone(&store), TIMES, SIZE, EVENTS);
        let mut links = Vec::new();
        for domain in DOMAINS {
            for index in 0..ENGINES + PLAIN {
                let is_plain = index >= ENGINES;
                let service = if is_plain { PLAIN_SERVICE } else { ENGINE_SERVICE };
                let id = format!("{service}-{domain}-{index}");
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let link = Link::start(listener.local_addr()?).await?;
                let spec = Spec {
                    id: id.clone(),
                    service: service.to_owned(),
                    domain: domain.to_owned(),
                    fabric: (!is_plain).then(|| domain.to_owned()),
                    address: link.address(),
                };
                crew.start(spec, listener);
                links.push((id, link));
            }
        }
        let site = Site { store, crew, links, version: AtomicU64::new(0) };
        site.configure();
        Ok(site)
    }
}

/// Access
impl Site {
    /// Version of the configuration that was declared last.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }
}

/// Mutation
impl Site {
    /// Declares the next version, with a route that no other version has.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.declare(&declaration(version));
    }

    /// Ends all faults of the store and the hosts.
    pub fn heal(&self) {
        self.store.set_refusal(None);
        self.store.set_wakeups_suppressed(false);
        self.crew.set_late_orders(false);
        for (id, link) in &self.links {
            link.heal();
            link.delay(Duration::ZERO);
            self.crew.restart(id);
        }
    }
}

/// Prefix of the route that only one version has.
pub fn prefix(version: u64) -> String {
    format!("/v{version}/")
}

fn declaration(version: u64) -> Catalog {
    let route = |prefix: &str, retry: Retry, service: &str| Route {
        host: HOST_NAME.to_owned(),
        prefix: prefix.to_owned(),
        retry,
        service: service.to_owned(),
        timeout: TIMEOUT,
        latency_objective: Some(OBJECTIVE),
        max_attempts: MAX_ATTEMPTS,
        is_anonymous: false,
    };
    Catalog {
        version,
        routes: vec![
            route("/read/", Retry::Idempotent, PLAIN_SERVICE),
            route("/book/", Retry::Never, PLAIN_SERVICE),
            route("/chat/", Retry::Resumable, ENGINE_SERVICE),
            route(&prefix(version), Retry::Idempotent, PLAIN_SERVICE),
        ],
        max_connections: CONNECTIONS,
        plain_service: PLAIN_SERVICE.to_owned(),
        engine: Engine {
            service: ENGINE_SERVICE.to_owned(),
            slots: SLOTS,
            model: MODEL.to_owned(),
            size: SIZE,
            load_time: TIMES.load,
            join_time: TIMES.join,
            open_time: TIMES.open,
        },
        team: TEAM.to_owned(),
        key: KEY.to_owned(),
    }
}
