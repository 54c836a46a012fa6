//! Conversion between the schema's messages and the types of `cuminward-core`.

use std::{collections::BTreeSet, fmt, time::Duration};

use cuminward_core::{catalog, change, host};

use crate::proto;

/// A message that doesn't stand for a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Field that is missing or wrong.
    pub field: &'static str,
    /// What is wrong with the field.
    pub reason: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field `{}` {}", self.field, self.reason)
    }
}

impl std::error::Error for Error {}

/// Makes a change's record for the log, in the name of the authenticated operator.
pub fn to_record(request: proto::ApplyRequest, operator: String) -> Result<change::Record, Error> {
    let action = request.action.and_then(|it| it.action).ok_or(missing("action"))?;
    if request.change.is_empty() {
        return Err(missing("change"));
    }
    Ok(change::Record {
        change: request.change,
        operator,
        expected: request.expected_revision,
        action: to_action(action)?,
    })
}

/// Reads an action.
pub fn to_action(action: proto::action::Action) -> Result<change::Action, Error> {
    use proto::action::Action as From;
    Ok(match action {
        From::DeclareModel(it) => change::Action::DeclareModel(to_model(it)?),
        From::RemoveModel(it) => change::Action::RemoveModel(it),
        From::DeclarePlain(it) => change::Action::DeclarePlain(to_plain(it)?),
        From::RemovePlain(it) => change::Action::RemovePlain(it),
        From::DeclareTeam(it) => change::Action::DeclareTeam(to_team(it)?),
        From::RemoveTeam(it) => change::Action::RemoveTeam(it),
        From::DeclareDomain(it) => change::Action::DeclareDomain(to_domain(it)?),
        From::TakeOut(it) => change::Action::TakeOut(it),
        From::BringBack(it) => change::Action::BringBack(it),
        From::DeclareHost(it) => change::Action::DeclareHost(to_traits(it)?),
        From::Drain(it) => change::Action::Drain(it),
        From::Undrain(it) => change::Action::Undrain(it),
    })
}

/// Writes an action.
pub fn from_action(action: change::Action) -> proto::Action {
    use proto::action::Action as To;
    let action = match action {
        change::Action::DeclareModel(it) => To::DeclareModel(from_model(it)),
        change::Action::RemoveModel(it) => To::RemoveModel(it),
        change::Action::DeclarePlain(it) => To::DeclarePlain(from_plain(it)),
        change::Action::RemovePlain(it) => To::RemovePlain(it),
        change::Action::DeclareTeam(it) => To::DeclareTeam(from_team(it)),
        change::Action::RemoveTeam(it) => To::RemoveTeam(it),
        change::Action::DeclareDomain(it) => To::DeclareDomain(from_domain(it)),
        change::Action::TakeOut(it) => To::TakeOut(it),
        change::Action::BringBack(it) => To::BringBack(it),
        change::Action::DeclareHost(it) => To::DeclareHost(from_traits(it)),
        change::Action::Drain(it) => To::Drain(it),
        change::Action::Undrain(it) => To::Undrain(it),
    };
    proto::Action { action: Some(action) }
}

/// Reads a catalog.
pub fn to_catalog(response: proto::GetCatalogResponse) -> Result<catalog::Catalog, Error> {
    let mut catalog = catalog::Catalog { revision: response.revision, ..Default::default() };
    for model in response.models {
        catalog.models.insert(model.name.clone(), to_model(model)?);
    }
    for plain in response.plains {
        catalog.plains.insert(plain.name.clone(), to_plain(plain)?);
    }
    for team in response.teams {
        catalog.teams.insert(team.name.clone(), to_team(team)?);
    }
    for domain in response.domains {
        catalog.domains.insert(domain.name.clone(), to_domain(domain)?);
    }
    for host in response.hosts {
        catalog.hosts.insert(host.host.clone(), to_traits(host)?);
    }
    catalog.drained = response.drained.into_iter().collect();
    Ok(catalog)
}

/// Writes a catalog.
pub fn from_catalog(catalog: &catalog::Catalog) -> proto::GetCatalogResponse {
    proto::GetCatalogResponse {
        revision: catalog.revision,
        models: catalog.models.values().cloned().map(from_model).collect(),
        plains: catalog.plains.values().cloned().map(from_plain).collect(),
        teams: catalog.teams.values().cloned().map(from_team).collect(),
        domains: catalog.domains.values().cloned().map(from_domain).collect(),
        hosts: catalog.hosts.values().cloned().map(from_traits).collect(),
        drained: catalog.drained.iter().cloned().collect(),
    }
}

/// Writes a member's phase; `None` stands for a host that doesn't answer.
pub fn from_phase(phase: Option<host::Phase>) -> proto::Phase {
    match phase {
        None => proto::Phase::Unspecified,
        Some(host::Phase::Loading) => proto::Phase::Loading,
        Some(host::Phase::Ready) => proto::Phase::Ready,
        Some(host::Phase::Broken) => proto::Phase::Broken,
    }
}

fn to_model(it: proto::Model) -> Result<catalog::Model, Error> {
    Ok(catalog::Model {
        teams: distinct("declare_model.teams", it.teams)?,
        name: it.name,
        model: it.model,
        versions: it.versions,
        hosts_per_replica: it.hosts_per_replica,
        replicas: it.replicas,
        slots: it.slots,
        cold_slots: it.cold_slots,
        warm_up: Duration::from_millis(it.warm_up_ms),
    })
}

fn from_model(it: catalog::Model) -> proto::Model {
    proto::Model {
        name: it.name,
        model: it.model,
        versions: it.versions,
        hosts_per_replica: it.hosts_per_replica,
        replicas: it.replicas,
        teams: it.teams.into_iter().collect(),
        slots: it.slots,
        cold_slots: it.cold_slots,
        warm_up_ms: millis(it.warm_up),
    }
}

fn to_plain(it: proto::Plain) -> Result<catalog::Plain, Error> {
    Ok(catalog::Plain {
        teams: distinct("declare_plain.teams", it.teams)?,
        name: it.name,
        slots: it.slots,
        cold_slots: it.cold_slots,
        warm_up: Duration::from_millis(it.warm_up_ms),
        timeout: Duration::from_millis(it.timeout_ms),
    })
}

fn from_plain(it: catalog::Plain) -> proto::Plain {
    proto::Plain {
        name: it.name,
        teams: it.teams.into_iter().collect(),
        slots: it.slots,
        cold_slots: it.cold_slots,
        warm_up_ms: millis(it.warm_up),
        timeout_ms: millis(it.timeout),
    }
}

fn to_team(it: proto::Team) -> Result<catalog::Team, Error> {
    Ok(catalog::Team {
        name: it.name,
        keys: distinct("declare_team.keys", it.keys)?,
        weight: it.weight,
        in_flight: it.in_flight,
    })
}

fn from_team(it: catalog::Team) -> proto::Team {
    proto::Team {
        name: it.name,
        keys: it.keys.into_iter().collect(),
        weight: it.weight,
        in_flight: it.in_flight,
    }
}

fn to_domain(it: proto::Domain) -> Result<catalog::Domain, Error> {
    let service = match it.service() {
        proto::DomainService::InService => catalog::Availability::InService,
        proto::DomainService::TakenOut => catalog::Availability::TakenOut,
        proto::DomainService::Unspecified => return Err(unspecified("declare_domain.service")),
    };
    Ok(catalog::Domain { name: it.name, region: it.region, service })
}

fn from_domain(it: catalog::Domain) -> proto::Domain {
    let service = match it.service {
        catalog::Availability::InService => proto::DomainService::InService,
        catalog::Availability::TakenOut => proto::DomainService::TakenOut,
    };
    proto::Domain { name: it.name, region: it.region, service: service.into() }
}

fn to_traits(it: proto::HostTraits) -> Result<catalog::Traits, Error> {
    let fencing = match it.fencing() {
        proto::Fencing::Enforced => catalog::Fencing::Enforced,
        proto::Fencing::Ignored => catalog::Fencing::Ignored,
        proto::Fencing::Unspecified => return Err(unspecified("declare_host.fencing")),
    };
    Ok(catalog::Traits { host: it.host, fencing, fabric: it.fabric })
}

fn from_traits(it: catalog::Traits) -> proto::HostTraits {
    let fencing = match it.fencing {
        catalog::Fencing::Enforced => proto::Fencing::Enforced,
        catalog::Fencing::Ignored => proto::Fencing::Ignored,
    };
    proto::HostTraits { host: it.host, fencing: fencing.into(), fabric: it.fabric }
}

fn distinct(field: &'static str, values: Vec<String>) -> Result<BTreeSet<String>, Error> {
    let count = values.len();
    let set: BTreeSet<String> = values.into_iter().collect();
    match set.len() == count {
        true => Ok(set),
        false => Err(Error { field, reason: "has a value twice" }),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn missing(field: &'static str) -> Error {
    Error { field, reason: "is missing" }
}

fn unspecified(field: &'static str) -> Error {
    Error { field, reason: "is missing or has an unknown value" }
}
