//! Validates changes, by themselves and against the current configuration.

use std::collections::BTreeSet;

use cuminward_core::{
    catalog::{Catalog, Domain, Model, Plain, Team, Traits},
    change::{self, Action},
    id,
};

use crate::limit;

/// Human-readable reason why a change is invalid. Reasons are stored in the state and sent to
/// operators, so a different text changes the state.
pub type Error = String;

/// Checks the fields around the action, independently of the configuration.
///
/// # Errors
///
/// Fails if the change id is not a valid name or the operator is not a valid text.
pub fn envelope(change: &change::Record) -> Result<(), Error> {
    check_name("change id", &change.change)?;
    check_text("operator", &change.operator)
}

/// Checks that the expected revision exists.
///
/// # Errors
///
/// Fails if the change expects a revision after `revision`, the current one.
pub fn expected(change: &change::Record, revision: id::Revision) -> Result<(), Error> {
    match change.expected {
        Some(expected) if expected > revision => {
            Err(format!("revision {expected} doesn't exist yet; the log is at {revision}"))
        }
        _ => Ok(()),
    }
}

/// Checks an action against the current configuration.
///
/// # Errors
///
/// Fails if a field of the action is out of its range, the action refers to something undeclared or
/// conflicts with another declaration, or a bound in [`limit`] would be exceeded.
pub fn action(catalog: &Catalog, action: &Action) -> Result<(), Error> {
    match action {
        Action::DeclareModel(it) => check_model(catalog, it),
        Action::RemoveModel(name) => {
            check_declared("model service", catalog.models.contains_key(name), name)
        }
        Action::DeclarePlain(it) => check_plain(catalog, it),
        Action::RemovePlain(name) => {
            check_declared("plain service", catalog.plains.contains_key(name), name)
        }
        Action::DeclareTeam(it) => check_team(catalog, it),
        Action::RemoveTeam(name) => check_team_removal(catalog, name),
        Action::DeclareDomain(it) => check_domain(catalog, it),
        Action::TakeOut(name) | Action::BringBack(name) => {
            check_declared("domain", catalog.domains.contains_key(name), name)
        }
        Action::DeclareHost(it) => check_host(catalog, it),
        Action::Drain(host) => check_drain(catalog, host),
        Action::Undrain(host) => {
            let is_known = catalog.drained.contains(host) || catalog.hosts.contains_key(host);
            fail_if(!is_known, || format!("host `{host}` is neither drained nor declared"))
        }
    }
}

fn check_model(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    check_name("service", &model.name)?;
    check_text("model", &model.model)?;
    fail_if(catalog.plains.contains_key(&model.name), || {
        format!("`{}` is a plain service", model.name)
    })?;
    check_capacity(
        "services",
        count_services(catalog),
        limit::SERVICES,
        catalog.models.contains_key(&model.name),
    )?;
    check_versions(model)?;
    check_range("hosts_per_replica", model.hosts_per_replica, 1, limit::HOSTS_PER_REPLICA)?;
    check_replicas(catalog, model)?;
    check_teams(catalog, &model.teams)?;
    check_slots(model.slots, model.cold_slots)?;
    check_duration("warm_up_ms", model.warm_up, limit::WARM_UP)?;
    check_unambiguous(catalog, model)
}

fn check_versions(model: &Model) -> Result<(), Error> {
    check_count("versions", model.versions.len(), 1, limit::VERSIONS)?;
    for version in &model.versions {
        check_text("version", version)?;
    }
    let distinct: BTreeSet<_> = model.versions.iter().collect();
    fail_if(distinct.len() < model.versions.len(), || "a version stands twice".to_owned())
}

fn check_replicas(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    check_count("replicas", model.replicas.len(), 1, limit::DOMAINS)?;
    for (domain, &replicas) in &model.replicas {
        check_declared("domain", catalog.domains.contains_key(domain), domain)?;
        check_range("replicas", replicas, 1, limit::REPLICAS)?;
    }
    Ok(())
}

/// Checks that no team would have two services for the same model: callers name the model only, so
/// the team and the model must determine the service.
fn check_unambiguous(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    let conflicting = catalog.models.values().find(|it| {
        it.name != model.name && it.model == model.model && !it.teams.is_disjoint(&model.teams)
    });
    match conflicting {
        Some(it) => Err(format!(
            "service `{}` serves model `{}` to one of the teams already",
            it.name, it.model
        )),
        None => Ok(()),
    }
}

fn check_plain(catalog: &Catalog, plain: &Plain) -> Result<(), Error> {
    check_name("service", &plain.name)?;
    fail_if(catalog.models.contains_key(&plain.name), || {
        format!("`{}` is a model service", plain.name)
    })?;
    check_capacity(
        "services",
        count_services(catalog),
        limit::SERVICES,
        catalog.plains.contains_key(&plain.name),
    )?;
    check_teams(catalog, &plain.teams)?;
    check_slots(plain.slots, plain.cold_slots)?;
    check_duration("warm_up_ms", plain.warm_up, limit::WARM_UP)?;
    fail_if(plain.timeout.is_zero(), || "timeout_ms is zero".to_owned())?;
    check_duration("timeout_ms", plain.timeout, limit::TIMEOUT)
}

fn check_team(catalog: &Catalog, team: &Team) -> Result<(), Error> {
    check_name("team", &team.name)?;
    check_capacity(
        "teams",
        catalog.teams.len(),
        limit::TEAMS,
        catalog.teams.contains_key(&team.name),
    )?;
    check_count("keys", team.keys.len(), 0, limit::KEYS)?;
    for key in &team.keys {
        self::check_key(catalog, team, key)?;
    }
    check_range("weight", team.weight, 1, u32::MAX)?;
    check_range("in_flight", team.in_flight, 1, u32::MAX)
}

fn check_key(catalog: &Catalog, team: &Team, key: &str) -> Result<(), Error> {
    let is_hash = key.len() == 64 && key.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
    fail_if(!is_hash, || {
        "a key isn't a BLAKE3 hash in 64 lower-case hexadecimal digits".to_owned()
    })?;
    let owner = catalog.teams.values().find(|it| it.name != team.name && it.keys.contains(key));
    match owner {
        Some(it) => Err(format!("team `{}` has one of the keys already", it.name)),
        None => Ok(()),
    }
}

fn check_team_removal(catalog: &Catalog, team: &str) -> Result<(), Error> {
    check_declared("team", catalog.teams.contains_key(team), team)?;
    let models = catalog.models.values().map(|it| (&it.name, &it.teams));
    let plains = catalog.plains.values().map(|it| (&it.name, &it.teams));
    match models.chain(plains).find(|(_, teams)| teams.contains(team)) {
        Some((service, _)) => Err(format!("service `{service}` still serves team `{team}`")),
        None => Ok(()),
    }
}

fn check_domain(catalog: &Catalog, domain: &Domain) -> Result<(), Error> {
    check_name("domain", &domain.name)?;
    check_name("region", &domain.region)?;
    let replaces = catalog.domains.contains_key(&domain.name);
    check_capacity("domains", catalog.domains.len(), limit::DOMAINS, replaces)
}

fn check_host(catalog: &Catalog, traits: &Traits) -> Result<(), Error> {
    check_name("host", &traits.host)?;
    if let Some(fabric) = &traits.fabric {
        check_name("fabric", fabric)?;
    }
    let replaces = catalog.hosts.contains_key(&traits.host);
    check_capacity("hosts", catalog.hosts.len(), limit::HOSTS, replaces)
}

fn check_drain(catalog: &Catalog, host: &str) -> Result<(), Error> {
    check_name("host", host)?;
    check_capacity(
        "drained hosts",
        catalog.drained.len(),
        limit::HOSTS,
        catalog.drained.contains(host),
    )
}

fn count_services(catalog: &Catalog) -> usize {
    catalog.models.len() + catalog.plains.len()
}

fn check_teams(catalog: &Catalog, teams: &BTreeSet<id::Team>) -> Result<(), Error> {
    for team in teams {
        check_declared("team", catalog.teams.contains_key(team), team)?;
    }
    Ok(())
}

fn check_slots(slots: u32, cold_slots: u32) -> Result<(), Error> {
    check_range("slots", slots, 1, limit::SLOTS)?;
    check_range("cold_slots", cold_slots, 1, slots)
}

/// Checks that a name contains only characters that are safe in URLs and in the log's stream names.
fn check_name(what: &str, name: &str) -> Result<(), Error> {
    check_text(what, name)?;
    let is_name = name.bytes().all(|it| it.is_ascii_alphanumeric() || b"-_.".contains(&it));
    fail_if(!is_name, || format!("{what} `{name}` may hold letters, digits, `-`, `_` and `.` only"))
}

fn check_text(what: &str, text: &str) -> Result<(), Error> {
    check_count(&format!("bytes of {what}"), text.len(), 1, limit::NAME_BYTES)?;
    let is_clean = text.chars().all(|it| !it.is_control());
    fail_if(!is_clean, || format!("{what} has control characters"))
}

fn check_declared(what: &str, is_declared: bool, name: &str) -> Result<(), Error> {
    fail_if(!is_declared, || format!("{what} `{name}` isn't declared"))
}

fn check_capacity(what: &str, present: usize, limit: usize, replaces: bool) -> Result<(), Error> {
    fail_if(present >= limit && !replaces, || format!("there are {limit} {what} already"))
}

fn check_range(what: &str, value: u32, least: u32, most: u32) -> Result<(), Error> {
    fail_if(value < least || value > most, || format!("{what} is {value}, not in {least}..={most}"))
}

fn check_count(what: &str, value: usize, least: usize, most: usize) -> Result<(), Error> {
    fail_if(value < least || value > most, || {
        format!("number of {what} is {value}, not in {least}..={most}")
    })
}

fn check_duration(
    what: &str,
    value: std::time::Duration,
    most: std::time::Duration,
) -> Result<(), Error> {
    fail_if(value > most, || format!("{what} is over {}", most.as_millis()))
}

/// Returns the error if a value is invalid.
fn fail_if(is_invalid: bool, error: impl FnOnce() -> Error) -> Result<(), Error> {
    if is_invalid { Err(error()) } else { Ok(()) }
}
