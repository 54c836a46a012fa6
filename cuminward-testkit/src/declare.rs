//! Declarations that examples and tests share.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::{catalog, change, id};

/// Model that the assistant serves.
pub const MODEL: &str = "pattern-writer";

/// Version of the assistant's model.
pub const VERSION: &str = "v1";

/// Name of the service that the replicas provide.
pub const ASSISTANT: &str = "assistant";

/// Name of the plain service that takes reservations.
pub const DESK: &str = "desk";

/// Teams, with their bearer keys.
pub const TEAMS: [Team; 2] = [
    Team { name: "committees", key: "committees-key", weight: 3 },
    Team { name: "schools", key: "schools-key", weight: 1 },
];

/// Limit of requests that each team may have in flight at one node.
const TEAM_LIMIT: u32 = 200;

/// A team of the examples.
#[derive(Debug, Clone, Copy)]
pub struct Team {
    /// Name of the team.
    pub name: &'static str,
    /// Bearer key of the team.
    pub key: &'static str,
    /// Weight of the team in the division of slots between teams.
    pub weight: u32,
}

/// Returns the declaration of a failure domain that is in service.
pub fn domain(name: &str, region: &str) -> change::Action {
    change::Action::DeclareDomain(catalog::Domain {
        name: name.to_owned(),
        region: region.to_owned(),
        service: catalog::Availability::InService,
    })
}

/// Returns the declaration of a team with its key.
pub fn team(team: &Team) -> change::Action {
    change::Action::DeclareTeam(catalog::Team {
        name: team.name.to_owned(),
        keys: BTreeSet::from([blake3::hash(team.key.as_bytes()).to_hex().to_string()]),
        weight: team.weight,
        in_flight: TEAM_LIMIT,
    })
}

/// Returns the declaration of the assistant with a number of replicas in each of the failure
/// domains.
pub fn assistant(
    domains: &[id::Domain],
    replicas: u32,
    hosts_per_replica: u32,
    limits: &Limits,
) -> change::Action {
    change::Action::DeclareModel(catalog::Model {
        name: ASSISTANT.to_owned(),
        model: MODEL.to_owned(),
        versions: vec![VERSION.to_owned()],
        hosts_per_replica,
        replicas: domains.iter().map(|it| (it.clone(), replicas)).collect::<BTreeMap<_, _>>(),
        teams: team_names(),
        slots: limits.slots,
        cold_slots: limits.cold_slots,
        warm_up: limits.warm_up,
    })
}

/// Returns the declaration of the order desk.
pub fn desk(limits: &Limits) -> change::Action {
    change::Action::DeclarePlain(catalog::Plain {
        name: DESK.to_owned(),
        teams: team_names(),
        slots: limits.slots,
        cold_slots: limits.cold_slots,
        warm_up: limits.warm_up,
        timeout: Duration::from_secs(2),
    })
}

/// Declared concurrency limits of an upstream. The default equals the defaults of the stand-ins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent requests after the warm-up.
    pub slots: u32,
    /// Concurrent requests right after a start.
    pub cold_slots: u32,
    /// Time over which the limit rises from `cold_slots` to `slots`.
    pub warm_up: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { slots: 16, cold_slots: 2, warm_up: Duration::from_secs(3) }
    }
}

fn team_names() -> BTreeSet<id::Team> {
    TEAMS.iter().map(|it| it.name.to_owned()).collect()
}
