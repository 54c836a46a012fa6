//! Everything that surrounds cuminward, in one process.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use cuminward_core::{host, id};
use cuminward_derive::record;
use derive_builder::Builder;

use crate::{engine, hosts, log, plain, view, weights};

/// Ports from the base port to the log; host list, weights and the two controls follow.
const LOG_PORT: u16 = 1;
/// Ports from the base port to the host list.
const HOST_LIST_PORT: u16 = 2;
/// Ports from the base port to the weight store.
const WEIGHTS_PORT: u16 = 3;
/// Ports from the base port to the control interface of the engines.
const ENGINE_CONTROL_PORT: u16 = 4;
/// Ports from the base port to the control interface of the plain services.
const PLAIN_CONTROL_PORT: u16 = 5;
/// Ports from the base port to the first plain host.
const FIRST_PLAIN_PORT: u16 = 100;
/// Ports from the base port to the first engine host.
const FIRST_ENGINE_PORT: u16 = 200;

/// What an environment consists of.
#[record]
#[derive(Default, Builder)]
#[builder(default)]
pub struct Options {
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Settings of the engines.
    pub engine: engine::Options,
    /// Settings of the plain services.
    pub plain: plain::Options,
    /// Settings of the log.
    pub log: log::Options,
    /// Time before changes of the host list show.
    pub list_lag: Duration,
    /// Settings of the weight store.
    pub weights: weights::Options,
    /// Where set, fixes all ports: log, host list, weights, engine control and plain control listen
    /// at the 5 ports after it, plain hosts from 100 on, engine hosts from 200 on.
    pub base_port: Option<u16>,
}

/// A failure domain.
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
    /// Whether the engine hosts refuse orders with old fencing numbers.
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

/// A running environment; dropping it ends everything.
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
    /// Makes a failure domain with one fabric domain of engine hosts that enforce fencing.
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
    /// Starts everything on 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start(options: Options) -> io::Result<Environment> {
        let port = |offset: u16| options.base_port.map_or(0, |it| it + offset);
        let weights = weights::Store::start(port(WEIGHTS_PORT), options.weights.clone()).await?;
        let handle = weights.handle().clone();
        let fleet =
            engine::fleet::Fleet::start(port(ENGINE_CONTROL_PORT), options.engine.clone(), handle);
        let environment = Environment {
            log: log::Log::start(port(LOG_PORT), options.log.clone()).await?,
            host_list: hosts::List::start(port(HOST_LIST_PORT), options.list_lag).await?,
            weights,
            fleet: fleet.await?,
            plain: plain::Service::start(port(PLAIN_CONTROL_PORT), options.plain.clone()).await?,
            options,
        };
        environment.add_engines().await?;
        environment.add_plains().await?;
        Ok(environment)
    }

    /// Ends everything.
    pub async fn stop(self) {
        drop(self);
        // Lets the tasks of the servers see that they have to end.
        tokio::task::yield_now().await;
    }

    async fn add_engines(&self) -> io::Result<()> {
        let mut next = FIRST_ENGINE_PORT;
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
        let mut next = FIRST_PLAIN_PORT;
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
    /// The settings that the environment was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// The address of the host list.
    pub fn hosts_address(&self) -> SocketAddr {
        self.host_list.address()
    }

    /// The address of the weight store.
    pub fn weights_address(&self) -> SocketAddr {
        self.weights.address()
    }

    /// What one node sees of the environment: all paths lead through links of its own.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start_view(&self) -> io::Result<view::View> {
        view::View::start(self).await
    }

    /// The log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// The host list.
    pub fn host_list(&self) -> &hosts::List {
        &self.host_list
    }

    /// The weight store.
    pub fn weights(&self) -> &weights::Store {
        &self.weights
    }

    /// The engines.
    pub fn fleet(&self) -> &engine::fleet::Fleet {
        &self.fleet
    }

    /// The plain services.
    pub fn plain(&self) -> &plain::Service {
        &self.plain
    }
}

/// Mutation
impl Environment {
    /// Lists a node of cuminward, or any other host, without lag.
    pub fn add_node(&self, entry: host::Entry) {
        self.host_list.change_now(hosts::Change::Put { entry });
    }

    /// Removes a node, or any other host, from the list without lag.
    pub fn remove_node(&self, name: &str) {
        self.host_list.change_now(hosts::Change::Remove { host: name.to_owned() });
    }
}

/// Makes an entry of cuminward's own node.
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
