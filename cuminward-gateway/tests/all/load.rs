//! Load of callers on a site with several nodes.

use std::{
    iter,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cuminward_adapter::topic;
use cuminward_adapter_fake::{
    address,
    caller::Response,
    header,
    host::{self, Behaviour, Host},
    store::Store,
};
use futures::future;
use http::header::RETRY_AFTER;
use tokio::time::{self, Instant};

use crate::site::{self, Node, Site};

/// Time in which nodes hear of each other.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Requests per second from the callers of all nodes together.
pub(crate) const LOAD: f64 = 60.0;

/// Number of hosts of each service.
pub(crate) const HOSTS: usize = 3;

/// Time in which plain hosts respond. Requests that a node gets at the same time overlap, so that it uses all hosts.
pub(crate) const RESPONSE_TIME: Duration = Duration::from_millis(50);

/// Number of requests that the hosts of a test get at most.
pub(crate) const MAX_REQUESTS: usize = 4000;

/// Number of cases that are played at the same time.
pub(crate) const CONCURRENT_CASES: usize = 5;

/// Kind of the hosts that the callers of a case need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Service {
    Plain,
    Engine,
}

/// Access
impl Service {
    /// Returns the path prefix of requests for the service.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Service::Plain => "/desk/",
            Service::Engine => "/chat/",
        }
    }

    /// Returns the headers of requests for the service, which resume a stream near its end, so that replicas have
    /// free slots.
    fn headers(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Service::Plain => &[],
            Service::Engine => &[(header::MODEL, site::MODEL), (header::LAST_EVENT, "6")],
        }
    }

    pub(crate) fn hosts(self, site: &Site) -> &[Host] {
        match self {
            Service::Plain => &site.plain,
            Service::Engine => &site.replicas,
        }
    }
}

/// Starts `count` nodes that hear of each other.
pub(crate) async fn start_nodes(site: &Site, count: usize) -> Vec<Node> {
    let names: Vec<String> = (0..count).map(|it| format!("load-{it}")).collect();
    let nodes = future::join_all(names.iter().map(|it| site.node(it))).await;
    time::sleep(SETTLE_TIME).await;
    site.plain.iter().chain(&site.replicas).for_each(Host::clear_received);
    nodes
}

/// Starts `count` nodes that know of each other and can't reach each other, each with a store of its own.
pub(crate) async fn start_deaf_nodes(site: &Site, count: usize) -> (Vec<Node>, Vec<Store>) {
    let names: Vec<String> = (0..count).map(|it| format!("load-{it}")).collect();
    let names = &names;
    let starting = names.iter().map(|name| async move {
        let view = Store::start().await.expect("a loopback port is free");
        for other in names.iter().filter(|it| *it != name) {
            let closed = address::allocate().expect("a loopback port is free");
            view.put(topic::NODES, other, &closed.to_string());
        }
        site.plain.iter().for_each(|it| view.put_entry(&it.id, &site::plain_entry(it)));
        site.replicas.iter().for_each(|it| view.put_entry(&it.id, &site::replica_entry(it)));
        view.declare(&site::usual_catalog(1, None, 1));
        let node = site.start_node(name, view.address).await;
        (site.wait_until_known(node).await, view)
    });
    let (nodes, views) = future::join_all(starting).await.into_iter().unzip();
    time::sleep(SETTLE_TIME).await;
    site.plain.iter().chain(&site.replicas).for_each(Host::clear_received);
    (nodes, views)
}

/// Makes hosts handle all requests of a test in one way.
pub(crate) fn handle_all(hosts: &[Host], behaviour: &Behaviour) {
    host::share_script(hosts, iter::repeat_n(behaviour.clone(), MAX_REQUESTS));
}

/// The end of a caller's request.
pub(crate) struct Answer {
    pub(crate) path: String,
    pub(crate) elapsed: Duration,
    /// `None` if the node closed the connection.
    response: Option<Response>,
}

/// Access
impl Answer {
    pub(crate) fn status(&self) -> Option<u16> {
        self.response.as_ref().map(|it| it.status.as_u16())
    }

    /// Returns the time after which the caller is to send the request again.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let value = self.response.as_ref()?.headers.get(RETRY_AFTER)?;
        Duration::try_from_secs_f64(value.to_str().ok()?.parse().ok()?).ok()
    }

    pub(crate) fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(|it| it.status.is_success() && it.is_complete)
    }
}

/// Sends a request for a service with an id of its own.
pub(crate) async fn send(node: &Node, service: Service) -> Answer {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string();
    let path = format!("{}{id}", service.prefix());
    let headers = [service.headers(), &[(header::REQUEST_ID, id.as_str())]].concat();
    let sent_at = Instant::now();
    let response = node.send("POST", &path, &headers, "body").await.ok();
    Answer { path, elapsed: sent_at.elapsed(), response }
}

/// Sends requests to all nodes in turn, as many at a time as there are hosts and `rate` per second, whether or not
/// earlier ones were answered.
pub(crate) async fn drive(
    nodes: &[Node],
    service: Service,
    rate: f64,
    duration: Duration,
) -> Vec<Answer> {
    let started = Instant::now();
    let bursts = (duration.as_secs_f64() * rate) as u32 / HOSTS as u32;
    let interval = duration / bursts;
    let sending = (0..bursts).zip(nodes.iter().cycle()).map(|(burst, node)| async move {
        time::sleep_until(started + interval * burst).await;
        future::join_all((0..HOSTS).map(|_| send(node, service))).await
    });
    future::join_all(sending).await.into_iter().flatten().collect()
}

/// Returns when requests arrived at a host, in their order.
pub(crate) fn arrivals(host: &Host) -> Vec<Instant> {
    let mut arrivals: Vec<Instant> = host.received().iter().map(|it| it.at).collect();
    arrivals.sort();
    arrivals
}
