//! What one node sees of an environment, with every path cuttable on its own.
//!
//! A view has a host list that gives, for each listed host, the address of a link to that host
//! instead of the host's own. The log and the weight store are behind links as well.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use axum::{Router, extract::State, response::Response, routing};
use cuminward_core::{host, id};

use crate::{environment, hosts, link, reply, server};

/// A node's view of an environment; dropping it closes its links.
#[derive(Debug)]
pub struct View {
    shared: Arc<Shared>,
    list: link::Link,
    log: link::Link,
    weights: link::Link,
    _server: server::Server,
}

#[derive(Debug)]
struct Shared {
    source: hosts::Handle,
    links: Mutex<BTreeMap<id::Host, Arc<Path>>>,
    /// Domains whose links are cut, later ones included.
    cut: Mutex<BTreeSet<id::Domain>>,
}

#[derive(Debug)]
struct Path {
    entry: host::Entry,
    link: link::Link,
}

/// Life cycle
impl View {
    /// Starts a view of an environment.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start(environment: &environment::Environment) -> io::Result<View> {
        let shared = Arc::new(Shared {
            source: environment.host_list().handle(),
            links: Mutex::new(BTreeMap::new()),
            cut: Mutex::new(BTreeSet::new()),
        });
        shared.entries().await?;
        let router =
            Router::new().route("/v1/hosts", routing::get(read)).with_state(shared.clone());
        let server = server::Server::start(0, router).await?;
        Ok(View {
            shared,
            list: link::Link::start(server.address()).await?,
            log: link::Link::start(environment.log_address()).await?,
            weights: link::Link::start(environment.weights_address()).await?,
            _server: server,
        })
    }
}

/// Access
impl View {
    /// The address of the host list for this node.
    pub fn hosts_address(&self) -> SocketAddr {
        self.list.address()
    }

    /// The address of the log for this node.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// The address of the weight store for this node.
    pub fn weights_address(&self) -> SocketAddr {
        self.weights.address()
    }

    /// The link to the host list.
    pub fn host_list(&self) -> &link::Link {
        &self.list
    }

    /// The link to the log.
    pub fn log(&self) -> &link::Link {
        &self.log
    }

    /// The link to the weight store.
    pub fn weights(&self) -> &link::Link {
        &self.weights
    }

    /// The address at which this node reaches a host; `None` until the list has shown the host.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.shared.links().get(host).map(|it| it.link.address())
    }
}

/// Mutation
impl View {
    /// Changes the link to a host; does nothing until the list has shown the host.
    pub fn with_host(&self, host: &str, change: impl FnOnce(&link::Link)) {
        if let Some(path) = self.shared.links().get(host) {
            change(&path.link);
        }
    }

    /// Changes the links to all hosts of a failure domain that the list has shown.
    pub fn with_domain(&self, domain: &str, change: impl Fn(&link::Link)) {
        let links = self.shared.links();
        let chosen = links.values().filter(|it| it.entry.domain == domain);
        chosen.for_each(|it| change(&it.link));
    }

    /// Cuts this node off from a failure domain, hosts listed later included.
    pub fn cut_domain(&self, domain: &str) {
        self.shared.cut().insert(domain.to_owned());
        self.with_domain(domain, link::Link::cut);
    }

    /// Ends a cut from a failure domain.
    pub fn heal_domain(&self, domain: &str) {
        self.shared.cut().remove(domain);
        self.with_domain(domain, link::Link::heal);
    }

    /// Cuts this node off from the log, the host list and the weight store.
    pub fn cut_platform(&self) {
        [&self.log, &self.list, &self.weights].into_iter().for_each(link::Link::cut);
    }

    /// Ends a cut from the platform.
    pub fn heal_platform(&self) {
        [&self.log, &self.list, &self.weights].into_iter().for_each(link::Link::heal);
    }
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, BTreeMap<id::Host, Arc<Path>>> {
        self.links.lock().expect("no holder panics")
    }

    fn cut(&self) -> MutexGuard<'_, BTreeSet<id::Domain>> {
        self.cut.lock().expect("no holder panics")
    }

    /// The listed entries with the addresses of links; `None` while the list is down.
    async fn entries(&self) -> io::Result<Option<Vec<host::Entry>>> {
        let Some(mut entries) = self.source.entries() else { return Ok(None) };
        for entry in &mut entries {
            entry.address = self.path(entry).await?.link.address().to_string();
        }
        Ok(Some(entries))
    }

    /// The path to an entry's host, made where it is missing or leads elsewhere.
    async fn path(&self, entry: &host::Entry) -> io::Result<Arc<Path>> {
        let known = self.links().get(&entry.host).cloned();
        if let Some(path) = known.filter(|it| it.entry.address == entry.address) {
            return Ok(path);
        }
        let target: SocketAddr = entry.address.parse().map_err(io::Error::other)?;
        let path = Path { entry: entry.clone(), link: link::Link::start(target).await? };
        if self.cut().contains(&entry.domain) {
            path.link.cut();
        }
        // Another read may have made the same path meanwhile; the first one stays.
        let mut links = self.links();
        let kept = links.get(&entry.host).filter(|it| it.entry.address == entry.address).cloned();
        let path = kept.unwrap_or_else(|| Arc::new(path));
        links.insert(entry.host.clone(), path.clone());
        Ok(path)
    }
}

async fn read(State(shared): State<Arc<Shared>>) -> Response {
    match shared.entries().await {
        Ok(entries) => hosts::respond(entries),
        Err(error) => reply::error(500, "no-link", &error.to_string()),
    }
}
