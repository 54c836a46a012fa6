//! Network view of one node on an environment, with a separate link to each system.
//!
//! A view serves a host list that gives, for each listed host, the address of a link to the host
//! instead of the host's own address. The log, the host list and the weight store are also reached
//! through links. Each link can be cut on its own, which simulates network partitions of one node.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use axum::{Router, extract::State, response::Response, routing};
use cuminward_core::{host, id};

use crate::{environment, hosts, link, reply, server};

/// A node's view of an environment. Dropping it closes its links.
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
    host_list: hosts::Handle,
    links: Mutex<BTreeMap<id::Host, Arc<HostLink>>>,
    /// Failure domains whose links are cut; links made later are cut as well.
    cut_domains: Mutex<BTreeSet<id::Domain>>,
}

/// The link to a host and the list entry that the link was made for.
#[derive(Debug)]
struct HostLink {
    entry: host::Entry,
    link: link::Link,
}

/// Life cycle
impl View {
    /// Starts a view of an environment.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound or a listed address is not an IP address with a port.
    pub async fn start(environment: &environment::Environment) -> io::Result<View> {
        let shared = Arc::new(Shared {
            host_list: environment.host_list().handle(),
            links: Mutex::new(BTreeMap::new()),
            cut_domains: Mutex::new(BTreeSet::new()),
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
    /// Returns the address of the host list for this node.
    pub fn hosts_address(&self) -> SocketAddr {
        self.list.address()
    }

    /// Returns the address of the log for this node.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns the address of the weight store for this node.
    pub fn weights_address(&self) -> SocketAddr {
        self.weights.address()
    }

    /// Returns the link to the host list.
    pub fn host_list(&self) -> &link::Link {
        &self.list
    }

    /// Returns the link to the log.
    pub fn log(&self) -> &link::Link {
        &self.log
    }

    /// Returns the link to the weight store.
    pub fn weights(&self) -> &link::Link {
        &self.weights
    }

    /// Returns the address at which this node reaches a host, or `None` if the host has not been
    /// listed yet.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.shared.links().get(host).map(|it| it.link.address())
    }
}

/// Mutation
impl View {
    /// Changes the link to a host. Does nothing if the host has not been listed yet.
    pub fn with_host(&self, host: &str, change: impl FnOnce(&link::Link)) {
        if let Some(host_link) = self.shared.links().get(host) {
            change(&host_link.link);
        }
    }

    /// Changes the links to all hosts of a failure domain that have been listed.
    pub fn with_domain(&self, domain: &str, change: impl Fn(&link::Link)) {
        let links = self.shared.links();
        let selected = links.values().filter(|it| it.entry.domain == domain);
        selected.for_each(|it| change(&it.link));
    }

    /// Cuts the links to all hosts of a failure domain, hosts that are listed later included.
    pub fn cut_domain(&self, domain: &str) {
        self.shared.cut_domains().insert(domain.to_owned());
        self.with_domain(domain, link::Link::cut);
    }

    /// Heals the links to all hosts of a failure domain.
    pub fn heal_domain(&self, domain: &str) {
        self.shared.cut_domains().remove(domain);
        self.with_domain(domain, link::Link::heal);
    }

    /// Cuts the links to the log, the host list and the weight store.
    pub fn cut_platform(&self) {
        [&self.log, &self.list, &self.weights].into_iter().for_each(link::Link::cut);
    }

    /// Heals the links to the log, the host list and the weight store.
    pub fn heal_platform(&self) {
        [&self.log, &self.list, &self.weights].into_iter().for_each(link::Link::heal);
    }
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, BTreeMap<id::Host, Arc<HostLink>>> {
        self.links.lock().expect("no holder panics")
    }

    fn cut_domains(&self) -> MutexGuard<'_, BTreeSet<id::Domain>> {
        self.cut_domains.lock().expect("no holder panics")
    }

    /// Returns the listed entries with the addresses of their links, or `None` while the list is
    /// down.
    async fn entries(&self) -> io::Result<Option<Vec<host::Entry>>> {
        let Some(mut entries) = self.host_list.read_entries() else { return Ok(None) };
        for entry in &mut entries {
            entry.address = self.host_link(entry).await?.link.address().to_string();
        }
        Ok(Some(entries))
    }

    /// Returns the link to an entry's host. Starts a link if there is none or if the host's address
    /// has changed.
    async fn host_link(&self, entry: &host::Entry) -> io::Result<Arc<HostLink>> {
        let existing = self.links().get(&entry.host).cloned();
        if let Some(host_link) = existing.filter(|it| it.entry.address == entry.address) {
            return Ok(host_link);
        }
        let target: SocketAddr = entry.address.parse().map_err(io::Error::other)?;
        let host_link = HostLink { entry: entry.clone(), link: link::Link::start(target).await? };
        if self.cut_domains().contains(&entry.domain) {
            host_link.link.cut();
        }
        // A concurrent read may have started a link to the same address; that link is kept.
        let mut links = self.links();
        let kept = links.get(&entry.host).filter(|it| it.entry.address == entry.address).cloned();
        let host_link = kept.unwrap_or_else(|| Arc::new(host_link));
        links.insert(entry.host.clone(), host_link.clone());
        Ok(host_link)
    }
}

async fn read(State(shared): State<Arc<Shared>>) -> Response {
    match shared.entries().await {
        Ok(entries) => hosts::respond(entries),
        Err(error) => reply::error(500, "no-link", &error.to_string()),
    }
}
