//! The declared configuration: services, teams, failure domains and host traits.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id;

/// The complete configuration that operators declared, at one revision.
#[record]
#[derive(Default)]
pub struct Catalog {
    /// Number of log records that were applied to reach this catalog.
    pub revision: id::Revision,
    /// Model services by name.
    pub models: BTreeMap<id::Service, Model>,
    /// Plain services by name.
    pub plains: BTreeMap<id::Service, Plain>,
    /// Teams by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Declared traits of hosts by host.
    pub hosts: BTreeMap<id::Host, Traits>,
    /// Failure domains by name.
    pub domains: BTreeMap<id::Domain, Domain>,
    /// Hosts that operators are draining.
    pub drained: BTreeSet<id::Host>,
}

/// A model service: replicas of one model, each of which spans several hosts.
#[serde_as]
#[record]
pub struct Model {
    /// Name of the service.
    pub name: id::Service,
    /// Name by which callers request the model.
    pub model: id::Model,
    /// Served versions of the model, the preferred one first.
    pub versions: Vec<id::Version>,
    /// Number of hosts in one replica, all from the same fabric domain.
    pub hosts_per_replica: u32,
    /// Number of replicas of each version, by failure domain; other domains don't serve the
    /// service.
    pub replicas: BTreeMap<id::Domain, u32>,
    /// Teams that may call the service.
    pub teams: BTreeSet<id::Team>,
    /// Concurrent requests that one replica may run after its warm-up.
    pub slots: u32,
    /// Concurrent requests that a replica may run right after its start.
    pub cold_slots: u32,
    /// Length of the slow start, during which a replica's limit rises from `cold_slots` to `slots`.
    #[serde(rename = "warm_up_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warm_up: Duration,
}

/// A plain service, which runs no model engines: interchangeable hosts, each of which answers calls.
#[serde_as]
#[record]
pub struct Plain {
    /// Name of the service; hosts whose host list entry names this service serve it.
    pub name: id::Service,
    /// Teams that may call the service.
    pub teams: BTreeSet<id::Team>,
    /// Concurrent requests that one host may run after its warm-up.
    pub slots: u32,
    /// Concurrent requests that a host may run right after its start.
    pub cold_slots: u32,
    /// Length of the slow start, during which a host's limit rises from `cold_slots` to `slots`.
    #[serde(rename = "warm_up_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warm_up: Duration,
    /// Timeout of one call.
    #[serde(rename = "timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// A team of callers.
#[record]
pub struct Team {
    /// Name of the team.
    pub name: id::Team,
    /// BLAKE3 hashes of the team's bearer tokens, in hexadecimal.
    pub keys: BTreeSet<String>,
    /// Weight of the team, relative to other teams, when capacity is shared under load.
    pub weight: u32,
    /// Requests that the team may have in flight at one node, including queued requests.
    pub in_flight: u32,
}

/// Declared traits of a host.
#[record]
pub struct Traits {
    /// Name of the host.
    pub host: id::Host,
    /// Whether the host rejects orders with an outdated fencing number.
    pub fencing: Fencing,
    /// Fabric domain of the host, if it differs from the one in the host list.
    pub fabric: Option<id::Fabric>,
}

/// How a host treats an order with an outdated fencing number.
#[cuminward_derive::value]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The host rejects the order.
    Enforced,
    /// The host executes the order.
    Ignored,
}

/// A failure domain.
#[record]
pub struct Domain {
    /// Name of the failure domain.
    pub name: id::Domain,
    /// Region of the failure domain.
    pub region: id::Region,
    /// Whether the failure domain may receive new work.
    pub service: Availability,
}

/// Whether a failure domain may receive new work.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// The failure domain receives new work.
    InService,
    /// Operators have taken the failure domain out of service.
    TakenOut,
}

/// Access
impl Catalog {
    /// Returns whether a failure domain may receive new work; `false` for undeclared domains.
    pub fn in_service(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|it| it.service == Availability::InService)
    }

    /// Returns whether a host rejects orders with outdated fencing numbers. Undeclared hosts count
    /// as ignoring them.
    pub fn fencing(&self, host: &str) -> Fencing {
        self.hosts.get(host).map_or(Fencing::Ignored, |it| it.fencing)
    }
}
