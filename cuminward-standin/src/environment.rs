//! Starts all stand-ins in one process: log, host list, weight store, engines, plain services.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use cuminward_core::{host, id};
use cuminward_derive::record;
use derive_builder::Builder;

use crate::{engine, hosts, log, plain, view, weights};

/// Port of the log, as an offset from the base port.
const LOG_OFFSET: u16 = 1;
/// Port of the host list, as an offset from the base port.
const HOST_LIST_OFFSET: u16 = 2;
/// Port of the weight store, as an offset from the base port.
const WEIGHTS_OFFSET: u16 = 3;
/// Port of the engines' control interface, as an offset from the base port.
const ENGINE_CONTROL_OFFSET: u16 = 4;
/// Port of the plain services' control interface, as an offset from the base port.
const PLAIN_CONTROL_OFFSET: u16 = 5;
/// Port of the first plain host, as an offset from the base port.
const FIRST_PLAIN_OFFSET: u16 = 100;
/// Port of the first engine host, as an offset from the base port.
const FIRST_ENGINE_OFFSET: u16 = 200;

/// Settings of an environment.
#[record]
#[derive(Default, Builder)]
#[builder(default)]
pub struct Options {
    /// Failure domains with their hosts.
    pub domains: Vec<Domain>,
    /// Settings of the engines.
    pub engine: engine::Options,
    /// Settings of the plain services.
    pub plain: plain::Options,
    /// Settings of the log.
    pub log: log::Options,
    /// Time until a change of the host list becomes visible to readers.
    pub list_lag: Duration,
    /// Settings of the weight store.
    pub weights: weights::Options,
    /// Base port that fixes all ports, if set. Log, host list, weight store, engine control and
    /// plain control listen on the 5 ports after the base port, plain hosts on the ports from
    /// offset 100 on and engine hosts on those from offset 200 on. Without a base port the
    /// operating system chooses free ports.
    pub base_port: Option<u16>,
}

/// Settings of a failure domain.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: id::Domain,
    /// Region of the failure domain.
    pub region: id::Region,
    /// Number of fabric domains, named `{domain}-f{index}`.
    pub fabrics: u32,
    /// Engine hosts in each fabric domain, named `{fabric}-h{index}`.
    pub hosts_per_fabric: u32,
    /// Whether the engine hosts refuse orders whose fencing number is outdated.
    pub fencing: bool,
    /// Number of plain hosts by service, named `{domain}-{service}-{index}`.
    pub plains: BTreeMap<id::Service, u32>,
}

impl Default for Domain {
    fn default() -> Domain {
        Domain {
            name: "a".to_owned(),
            region: "r".to_owned(),
            fabrics: 1,
            hosts_per_fabric: 4,
            fencing: true,
            plains: BTreeMap::new(),
        }
    }
}

/// A running environment. Dropping it stops all stand-ins.
#[derive(Debug)]
pub struct Environment {
    options: Options,
    log: log::Log,
    host_list: hosts::List,
    weights: weights::Store,
    fleet: engine::fleet::Fleet,
    plain: plain::Service,
}

/// Life cycle
impl Domain {
    /// Creates the settings of a failure domain with one fabric domain of `hosts` engine hosts that
    /// enforce fencing.
    pub fn new(name: &str, region: &str, hosts: u32) -> Domain {
        Domain {
            name: name.to_owned(),
            region: region.to_owned(),
            hosts_per_fabric: hosts,
            ..Domain::default()
        }
    }
}

/// Life cycle
impl Environment {
    /// Starts all stand-ins on 127.0.0.1 and adds their hosts to the host list.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(options: Options) -> io::Result<Environment> {
        let port = |offset: u16| options.base_port.map_or(0, |it| it + offset);
        let weights = weights::Store::start(port(WEIGHTS_OFFSET), options.weights.clone()).await?;
        let handle = weights.handle().clone();
        let fleet = engine::fleet::Fleet::start(
            port(ENGINE_CONTROL_OFFSET),
            options.engine.clone(),
            handle,
        );
        let environment = Environment {
            log: log::Log::start(port(LOG_OFFSET), options.log.clone()).await?,
            host_list: hosts::List::start(port(HOST_LIST_OFFSET), options.list_lag).await?,
            weights,
            fleet: fleet.await?,
            plain: plain::Service::start(port(PLAIN_CONTROL_OFFSET), options.plain.clone()).await?,
            options,
        };
        environment.add_engines().await?;
        environment.add_plains().await?;
        Ok(environment)
    }

    /// Stops all stand-ins.
    pub async fn stop(self) {
        drop(self);
        // Lets the server tasks run once, so that they notice the cancellation and end.
        tokio::task::yield_now().await;
    }

    async fn add_engines(&self) -> io::Result<()> {
        let mut next = FIRST_ENGINE_OFFSET;
        for domain in &self.options.domains {
            for fabric in 0..domain.fabrics {
                for index in 0..domain.hosts_per_fabric {
                    let fabric = format!("{}-f{fabric}", domain.name);
                    let entry = host::Entry {
                        host: format!("{fabric}-h{index}"),
                        fabric,
                        ..entry(&domain.name, host::Role::Engine)
                    };
                    let entry = self.fleet.add(entry, self.port(next), domain.fencing).await?;
                    self.host_list.change_now(hosts::Change::Put { entry });
                    next += 1;
                }
            }
        }
        Ok(())
    }

    async fn add_plains(&self) -> io::Result<()> {
        let mut next = FIRST_PLAIN_OFFSET;
        for domain in &self.options.domains {
            for (service, count) in &domain.plains {
                for index in 0..*count {
                    let entry = host::Entry {
                        host: format!("{}-{service}-{index}", domain.name),
                        service: service.clone(),
                        ..entry(&domain.name, host::Role::Plain)
                    };
                    let entry = self.plain.add(entry, self.port(next)).await?;
                    self.host_list.change_now(hosts::Change::Put { entry });
                    next += 1;
                }
            }
        }
        Ok(())
    }

    fn port(&self, offset: u16) -> u16 {
        self.options.base_port.map_or(0, |it| it + offset)
    }
}

/// Access
impl Environment {
    /// Returns the settings that the environment was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns the address of the host list.
    pub fn hosts_address(&self) -> SocketAddr {
        self.host_list.address()
    }

    /// Returns the address of the weight store.
    pub fn weights_address(&self) -> SocketAddr {
        self.weights.address()
    }

    /// Starts a view for one node, which reaches all systems through links of its own.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start_view(&self) -> io::Result<view::View> {
        view::View::start(self).await
    }

    /// Returns the log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// Returns the host list.
    pub fn host_list(&self) -> &hosts::List {
        &self.host_list
    }

    /// Returns the weight store.
    pub fn weights(&self) -> &weights::Store {
        &self.weights
    }

    /// Returns the engines.
    pub fn fleet(&self) -> &engine::fleet::Fleet {
        &self.fleet
    }

    /// Returns the plain services.
    pub fn plain(&self) -> &plain::Service {
        &self.plain
    }
}

/// Mutation
impl Environment {
    /// Adds a cuminward node, or any other host, to the host list without lag.
    pub fn add_node(&self, entry: host::Entry) {
        self.host_list.change_now(hosts::Change::Put { entry });
    }

    /// Removes a node, or any other host, from the host list without lag.
    pub fn remove_node(&self, name: &str) {
        self.host_list.change_now(hosts::Change::Remove { host: name.to_owned() });
    }
}

/// Creates the host list entry of a cuminward node.
pub fn node_entry(name: &str, domain: &str, address: &str) -> host::Entry {
    host::Entry {
        host: name.to_owned(),
        address: address.to_owned(),
        ..entry(domain, host::Role::Node)
    }
}

fn entry(domain: &str, role: host::Role) -> host::Entry {
    host::Entry {
        host: String::new(),
        domain: domain.to_owned(),
        fabric: String::new(),
        address: String::new(),
        role,
        service: String::new(),
        state: host::State::Live,
    }
}
