//! Declarations, as YAML files and command line arguments state them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clap::Args;
use cuminward_core::{
    catalog::{self, Availability, Fencing},
    change::Action,
    id,
};
use serde::{Deserialize, Deserializer};

mod document;

/// A declaration in a file. Its first key has to be `kind`, so that errors can be reported with their line.
#[derive(Debug, Clone, PartialEq)]
pub enum Declaration {
    /// A failure domain.
    Domain(Domain),
    /// A team.
    Team(Team),
    /// Traits of a host.
    Host(Host),
    /// A plain service.
    Plain(Plain),
    /// A model service.
    Model(Model),
}

/// A model service.
#[derive(Debug, Clone, PartialEq, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the service.
    pub name: id::Service,
    /// Model that callers ask for.
    #[arg(long)]
    pub model: id::Model,
    /// Versions in force, the preferred one first.
    #[arg(long, value_delimiter = ',', required = true)]
    pub versions: Vec<id::Version>,
    /// Hosts of one fabric domain that form one replica.
    #[arg(long)]
    pub hosts_per_replica: u32,
    /// Replicas of each version by failure domain, as DOMAIN=COUNT.
    #[arg(long, value_delimiter = ',', value_parser = parse_replicas, required = true)]
    #[serde(deserialize_with = "deserialize_replicas")]
    pub replicas: Vec<(id::Domain, u32)>,
    /// Teams that may call the service.
    #[arg(long, value_delimiter = ',')]
    pub teams: Vec<id::Team>,
    /// Requests that a warm replica may run at the same time.
    #[arg(long)]
    pub slots: u32,
    /// Requests that a replica may run at the same time right after its start.
    #[arg(long)]
    pub cold_slots: u32,
    /// Milliseconds over which the limit rises from the cold to the warm one.
    #[arg(long)]
    pub warm_up_ms: u64,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Name of the service.
    pub name: id::Service,
    /// Teams that may call the service.
    #[arg(long, value_delimiter = ',')]
    pub teams: Vec<id::Team>,
    /// Requests that a warm host may run at the same time.
    #[arg(long)]
    pub slots: u32,
    /// Requests that a host may run at the same time right after its start.
    #[arg(long)]
    pub cold_slots: u32,
    /// Milliseconds over which the limit rises from the cold to the warm one.
    #[arg(long)]
    pub warm_up_ms: u64,
    /// Milliseconds that one call may take.
    #[arg(long)]
    pub timeout_ms: u64,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: id::Team,
    /// BLAKE3 hashes of the team's keys, as `cuminctl key hash` prints them.
    #[arg(long, value_delimiter = ',')]
    #[serde(default)]
    pub keys: Vec<String>,
    /// Share of the capacity under load, relative to other teams.
    #[arg(long)]
    pub weight: u32,
    /// Requests that the team may have in flight at one node.
    #[arg(long)]
    pub in_flight: u32,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: id::Domain,
    /// Region of the failure domain.
    #[arg(long)]
    pub region: id::Region,
    /// Declare the failure domain as taken out.
    #[arg(long)]
    #[serde(default)]
    pub taken_out: bool,
}

/// Traits of a host.
#[derive(Debug, Clone, PartialEq, Deserialize, Args)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host.
    pub name: id::Host,
    /// Whether the host refuses orders with an old fencing number: `enforced` or `ignored`.
    #[arg(long, value_parser = parse_fencing)]
    pub fencing: Fencing,
    /// Fabric domain, where it differs from what the platform's host list says.
    #[arg(long)]
    #[serde(default)]
    pub fabric: Option<id::Fabric>,
}

/// Parses the declarations of a file and sorts them so that each comes after those it refers to.
///
/// # Errors
///
/// Fails if the text isn't valid YAML or contains an invalid declaration; the report shows the place in
/// the file `name`.
pub fn parse(name: &str, text: &str) -> Result<Vec<Declaration>, miette::Report> {
    let documents: Vec<document::Document> = serde_saphyr::from_multiple(text)
        .map_err(|error| serde_saphyr::miette::to_miette_report(&error, text, name))?;
    let mut declarations: Vec<_> = documents.into_iter().flat_map(|it| it.0).collect();
    declarations.sort_by_key(Declaration::rank);
    Ok(declarations)
}

/// Access
impl Declaration {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        match self {
            Declaration::Domain(it) => it.into_action(),
            Declaration::Team(it) => it.into_action(),
            Declaration::Host(it) => it.into_action(),
            Declaration::Plain(it) => it.into_action(),
            Declaration::Model(it) => it.into_action(),
        }
    }

    /// Returns the position of the declaration's kind in the order of application.
    fn rank(&self) -> u8 {
        match self {
            Declaration::Domain(_) => 0,
            Declaration::Team(_) => 1,
            Declaration::Host(_) => 2,
            Declaration::Plain(_) => 3,
            Declaration::Model(_) => 4,
        }
    }
}

impl Model {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        Action::DeclareModel(catalog::Model {
            name: self.name,
            model: self.model,
            versions: self.versions,
            hosts_per_replica: self.hosts_per_replica,
            replicas: self.replicas.into_iter().collect(),
            teams: self.teams.into_iter().collect(),
            slots: self.slots,
            cold_slots: self.cold_slots,
            warm_up: Duration::from_millis(self.warm_up_ms),
        })
    }
}

impl Plain {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        Action::DeclarePlain(catalog::Plain {
            name: self.name,
            teams: self.teams.into_iter().collect(),
            slots: self.slots,
            cold_slots: self.cold_slots,
            warm_up: Duration::from_millis(self.warm_up_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        })
    }
}

impl Team {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        let keys: BTreeSet<String> = self.keys.into_iter().collect();
        let Team { name, weight, in_flight, .. } = self;
        Action::DeclareTeam(catalog::Team { name, keys, weight, in_flight })
    }
}

impl Domain {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        let service = if self.taken_out { Availability::TakenOut } else { Availability::InService };
        Action::DeclareDomain(catalog::Domain { name: self.name, region: self.region, service })
    }
}

impl Host {
    /// Converts the declaration to the action that makes it.
    pub fn into_action(self) -> Action {
        let Host { name: host, fencing, fabric } = self;
        Action::DeclareHost(catalog::Traits { host, fencing, fabric })
    }
}

/// Deserializes a map of replica counts by failure domain.
fn deserialize_replicas<'de, D>(deserializer: D) -> Result<Vec<(id::Domain, u32)>, D::Error>
where
    D: Deserializer<'de>,
{
    let map = BTreeMap::<id::Domain, u32>::deserialize(deserializer)?;
    Ok(map.into_iter().collect())
}

/// Parses `DOMAIN=COUNT`.
fn parse_replicas(text: &str) -> Result<(id::Domain, u32), String> {
    let (domain, count) = text.split_once('=').ok_or("expected DOMAIN=COUNT")?;
    let count = count.parse().map_err(|_| "expected a whole number after `=`")?;
    Ok((domain.to_owned(), count))
}

/// Parses the value of `--fencing`.
fn parse_fencing(text: &str) -> Result<Fencing, String> {
    match text {
        "enforced" => Ok(Fencing::Enforced),
        "ignored" => Ok(Fencing::Ignored),
        _ => Err("expected `enforced` or `ignored`".to_owned()),
    }
}
