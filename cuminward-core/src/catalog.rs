//! The configuration that operators declared, as one value.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id;

/// Everything that operators declared, at one revision.
#[record]
#[derive(Default)]
pub struct Catalog {
    /// Number of log records folded into this value.
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
    /// Hosts that operators drain.
    pub drained: BTreeSet<id::Host>,
}

/// A model service: replicas of one model, each over several hosts.
#[serde_as]
#[record]
pub struct Model {
    /// Name of the service.
    pub name: id::Service,
    /// Model that callers ask for.
    pub model: id::Model,
    /// Versions in force, the preferred one first.
    pub versions: Vec<id::Version>,
    /// Hosts of one fabric domain that form one replica.
    pub hosts_per_replica: u32,
    /// Replicas of each version, by failure domain; the service is served in these domains only.
    pub replicas: BTreeMap<id::Domain, u32>,
    /// Teams that may call the service.
    pub teams: BTreeSet<id::Team>,
    /// Requests that one warm replica may run at the same time.
    pub slots: u32,
    /// Requests that a replica may run at the same time right after it has started.
    pub cold_slots: u32,
    /// Time over which a started replica's limit rises from `cold_slots` to `slots`.
    #[serde(rename = "warm_up_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warm_up: Duration,
}

/// A plain service: interchangeable hosts behind the engines.
#[serde_as]
#[record]
pub struct Plain {
    /// Name of the service; hosts with this label in the host list serve it.
    pub name: id::Service,
    /// Teams that may call the service.
    pub teams: BTreeSet<id::Team>,
    /// Requests that one warm host may run at the same time.
    pub slots: u32,
    /// Requests that a host may run at the same time right after it has started.
    pub cold_slots: u32,
    /// Time over which a started host's limit rises from `cold_slots` to `slots`.
    #[serde(rename = "warm_up_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warm_up: Duration,
    /// Longest time that one call may take.
    #[serde(rename = "timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// A team of callers.
#[record]
pub struct Team {
    /// Name of the team.
    pub name: id::Team,
    /// BLAKE3 hashes of the team's bearer keys, in hexadecimal.
    pub keys: BTreeSet<String>,
    /// Share of the capacity under load, relative to other teams.
    pub weight: u32,
    /// Requests that the team may have in flight at one node, queued ones included.
    pub in_flight: u32,
}

/// Declared traits of a host.
#[record]
pub struct Traits {
    /// Host that has the traits.
    pub host: id::Host,
    /// Whether the host refuses orders with an old fencing number.
    pub fencing: Fencing,
    /// Fabric domain of the host, where it differs from what the host list says.
    pub fabric: Option<id::Fabric>,
}

/// What a host does with an order that carries an old fencing number.
#[cuminward_derive::value]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The host refuses the order.
    Enforced,
    /// The host follows the order.
    Ignored,
}

/// A failure domain.
#[record]
pub struct Domain {
    /// Name of the failure domain.
    pub name: id::Domain,
    /// Region of the failure domain.
    pub region: id::Region,
    /// Whether the domain may receive new work.
    pub service: Availability,
}

/// Whether a failure domain may receive new work.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// The domain receives work.
    InService,
    /// Operators have taken the domain out.
    TakenOut,
}

/// Access
impl Catalog {
    /// Tells whether a failure domain may receive new work; undeclared domains may not.
    pub fn in_service(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|it| it.service == Availability::InService)
    }

    /// Tells whether a host refuses orders with old fencing numbers; undeclared hosts are taken to
    /// ignore them.
    pub fn fencing(&self, host: &str) -> Fencing {
        self.hosts.get(host).map_or(Fencing::Ignored, |it| it.fencing)
    }
}
