//! Conversions between the messages of the schema and the types of `cuminward-core`.

use std::{collections::BTreeSet, fmt, time::Duration};

use cuminward_core::{catalog, change, host};

use crate::proto;

/// A message has a missing or invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Name of the field.
    pub field: &'static str,
    /// Why the field is invalid.
    pub reason: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field `{}` {}", self.field, self.reason)
    }
}

impl std::error::Error for Error {}

/// Converts a request into a log record of the change by the authenticated operator.
///
/// # Errors
///
/// A field of the request is missing or invalid.
pub fn to_record(request: proto::ApplyRequest, operator: String) -> Result<change::Record, Error> {
    let action = request.action.and_then(|it| it.action).ok_or(missing_field("action"))?;
    if request.change.is_empty() {
        return Err(missing_field("change"));
    }
    Ok(change::Record {
        change: request.change,
        operator,
        expected: request.expected_revision,
        action: to_action(action)?,
    })
}

/// Converts an action from its message.
///
/// # Errors
///
/// A field of the message is missing or invalid.
pub fn to_action(action: proto::action::Action) -> Result<change::Action, Error> {
    use proto::action::Action as ProtoAction;
    Ok(match action {
        ProtoAction::DeclareModel(it) => change::Action::DeclareModel(to_model(it)?),
        ProtoAction::RemoveModel(it) => change::Action::RemoveModel(it),
        ProtoAction::DeclarePlain(it) => change::Action::DeclarePlain(to_plain(it)?),
        ProtoAction::RemovePlain(it) => change::Action::RemovePlain(it),
        ProtoAction::DeclareTeam(it) => change::Action::DeclareTeam(to_team(it)?),
        ProtoAction::RemoveTeam(it) => change::Action::RemoveTeam(it),
        ProtoAction::DeclareDomain(it) => change::Action::DeclareDomain(to_domain(it)?),
        ProtoAction::TakeOut(it) => change::Action::TakeOut(it),
        ProtoAction::BringBack(it) => change::Action::BringBack(it),
        ProtoAction::DeclareHost(it) => change::Action::DeclareHost(to_traits(it)?),
        ProtoAction::Drain(it) => change::Action::Drain(it),
        ProtoAction::Undrain(it) => change::Action::Undrain(it),
    })
}

/// Converts an action into its message.
pub fn from_action(action: change::Action) -> proto::Action {
    use proto::action::Action as ProtoAction;
    let action = match action {
        change::Action::DeclareModel(it) => ProtoAction::DeclareModel(from_model(it)),
        change::Action::RemoveModel(it) => ProtoAction::RemoveModel(it),
        change::Action::DeclarePlain(it) => ProtoAction::DeclarePlain(from_plain(it)),
        change::Action::RemovePlain(it) => ProtoAction::RemovePlain(it),
        change::Action::DeclareTeam(it) => ProtoAction::DeclareTeam(from_team(it)),
        change::Action::RemoveTeam(it) => ProtoAction::RemoveTeam(it),
        change::Action::DeclareDomain(it) => ProtoAction::DeclareDomain(from_domain(it)),
        change::Action::TakeOut(it) => ProtoAction::TakeOut(it),
        change::Action::BringBack(it) => ProtoAction::BringBack(it),
        change::Action::DeclareHost(it) => ProtoAction::DeclareHost(from_traits(it)),
        change::Action::Drain(it) => ProtoAction::Drain(it),
        change::Action::Undrain(it) => ProtoAction::Undrain(it),
    };
    proto::Action { action: Some(action) }
}

/// Converts a catalog from its message.
///
/// # Errors
///
/// A field of the message is missing or invalid.
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

/// Converts a catalog into its message.
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

/// Converts the phase of a member; `None` means that the phase is unknown, as for a host that
/// doesn't respond.
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
        teams: to_set("declare_model.teams", it.teams)?,
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
        warm_up_ms: to_millis(it.warm_up),
    }
}

fn to_plain(it: proto::Plain) -> Result<catalog::Plain, Error> {
    Ok(catalog::Plain {
        teams: to_set("declare_plain.teams", it.teams)?,
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
        warm_up_ms: to_millis(it.warm_up),
        timeout_ms: to_millis(it.timeout),
    }
}

fn to_team(it: proto::Team) -> Result<catalog::Team, Error> {
    Ok(catalog::Team {
        name: it.name,
        keys: to_set("declare_team.keys", it.keys)?,
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

fn to_set(field: &'static str, values: Vec<String>) -> Result<BTreeSet<String>, Error> {
    let count = values.len();
    let set: BTreeSet<String> = values.into_iter().collect();
    match set.len() == count {
        true => Ok(set),
        false => Err(Error { field, reason: "has a value twice" }),
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn missing_field(field: &'static str) -> Error {
    Error { field, reason: "is missing" }
}

fn unspecified(field: &'static str) -> Error {
    Error { field, reason: "is missing or has an unknown value" }
}
