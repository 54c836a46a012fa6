//! Checks a change against the configuration that it would change.

use std::collections::BTreeSet;

use cuminward_core::{
    catalog::{Catalog, Domain, Model, Plain, Team, Traits},
    change::{self, Action},
    id,
};

use crate::limit;

/// What is wrong with a change.
pub type Error = String;

/// Checks what surrounds the action, whatever the configuration is.
pub fn envelope(change: &change::Record) -> Result<(), Error> {
    name("change id", &change.change)?;
    text("operator", &change.operator)
}

/// Checks that the expected revision exists already.
pub fn expected(change: &change::Record, revision: id::Revision) -> Result<(), Error> {
    match change.expected {
        Some(expected) if expected > revision => {
            Err(format!("revision {expected} doesn't exist yet; the log is at {revision}"))
        }
        _ => Ok(()),
    }
}

/// Checks an action against the configuration in force.
pub fn action(catalog: &Catalog, action: &Action) -> Result<(), Error> {
    match action {
        Action::DeclareModel(it) => model(catalog, it),
        Action::RemoveModel(name) => {
            known("model service", catalog.models.contains_key(name), name)
        }
        Action::DeclarePlain(it) => plain(catalog, it),
        Action::RemovePlain(name) => {
            known("plain service", catalog.plains.contains_key(name), name)
        }
        Action::DeclareTeam(it) => team(catalog, it),
        Action::RemoveTeam(name) => remove_team(catalog, name),
        Action::DeclareDomain(it) => domain(catalog, it),
        Action::TakeOut(name) | Action::BringBack(name) => {
            known("domain", catalog.domains.contains_key(name), name)
        }
        Action::DeclareHost(it) => host(catalog, it),
        Action::Drain(host) => drain(catalog, host),
        Action::Undrain(host) => {
            let is_known = catalog.drained.contains(host) || catalog.hosts.contains_key(host);
            unless(!is_known, || format!("host `{host}` is neither drained nor declared"))
        }
    }
}

fn model(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    name("service", &model.name)?;
    text("model", &model.model)?;
    unless(catalog.plains.contains_key(&model.name), || {
        format!("`{}` is a plain service", model.name)
    })?;
    room("services", services(catalog), limit::SERVICES, catalog.models.contains_key(&model.name))?;
    versions(model)?;
    range("hosts_per_replica", model.hosts_per_replica, 1, limit::HOSTS_PER_REPLICA)?;
    replicas(catalog, model)?;
    teams(catalog, &model.teams)?;
    slots(model.slots, model.cold_slots)?;
    at_most("warm_up_ms", model.warm_up, limit::WARM_UP)?;
    unambiguous(catalog, model)
}

fn versions(model: &Model) -> Result<(), Error> {
    count("versions", model.versions.len(), 1, limit::VERSIONS)?;
    for version in &model.versions {
        text("version", version)?;
    }
    let distinct: BTreeSet<_> = model.versions.iter().collect();
    unless(distinct.len() < model.versions.len(), || "a version stands twice".to_owned())
}

fn replicas(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    count("replicas", model.replicas.len(), 1, limit::DOMAINS)?;
    for (domain, &replicas) in &model.replicas {
        known("domain", catalog.domains.contains_key(domain), domain)?;
        range("replicas", replicas, 1, limit::REPLICAS)?;
    }
    Ok(())
}

/// A caller names a model, not a service; so a team finds one service for each model.
fn unambiguous(catalog: &Catalog, model: &Model) -> Result<(), Error> {
    let clash = catalog.models.values().find(|it| {
        it.name != model.name && it.model == model.model && !it.teams.is_disjoint(&model.teams)
    });
    match clash {
        Some(it) => Err(format!(
            "service `{}` serves model `{}` to one of the teams already",
            it.name, it.model
        )),
        None => Ok(()),
    }
}

fn plain(catalog: &Catalog, plain: &Plain) -> Result<(), Error> {
    name("service", &plain.name)?;
    unless(catalog.models.contains_key(&plain.name), || {
        format!("`{}` is a model service", plain.name)
    })?;
    room("services", services(catalog), limit::SERVICES, catalog.plains.contains_key(&plain.name))?;
    teams(catalog, &plain.teams)?;
    slots(plain.slots, plain.cold_slots)?;
    at_most("warm_up_ms", plain.warm_up, limit::WARM_UP)?;
    unless(plain.timeout.is_zero(), || "timeout_ms is zero".to_owned())?;
    at_most("timeout_ms", plain.timeout, limit::TIMEOUT)
}

fn team(catalog: &Catalog, team: &Team) -> Result<(), Error> {
    name("team", &team.name)?;
    room("teams", catalog.teams.len(), limit::TEAMS, catalog.teams.contains_key(&team.name))?;
    count("keys", team.keys.len(), 0, limit::KEYS)?;
    for key in &team.keys {
        self::key(catalog, team, key)?;
    }
    range("weight", team.weight, 1, u32::MAX)?;
    range("in_flight", team.in_flight, 1, u32::MAX)
}

fn key(catalog: &Catalog, team: &Team, key: &str) -> Result<(), Error> {
    let is_hash = key.len() == 64 && key.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
    unless(!is_hash, || {
        "a key isn't a BLAKE3 hash in 64 lower-case hexadecimal digits".to_owned()
    })?;
    let owner = catalog.teams.values().find(|it| it.name != team.name && it.keys.contains(key));
    match owner {
        Some(it) => Err(format!("team `{}` has one of the keys already", it.name)),
        None => Ok(()),
    }
}

fn remove_team(catalog: &Catalog, team: &str) -> Result<(), Error> {
    known("team", catalog.teams.contains_key(team), team)?;
    let models = catalog.models.values().map(|it| (&it.name, &it.teams));
    let plains = catalog.plains.values().map(|it| (&it.name, &it.teams));
    match models.chain(plains).find(|(_, teams)| teams.contains(team)) {
        Some((service, _)) => Err(format!("service `{service}` still serves team `{team}`")),
        None => Ok(()),
    }
}

fn domain(catalog: &Catalog, domain: &Domain) -> Result<(), Error> {
    name("domain", &domain.name)?;
    name("region", &domain.region)?;
    let replaces = catalog.domains.contains_key(&domain.name);
    room("domains", catalog.domains.len(), limit::DOMAINS, replaces)
}

fn host(catalog: &Catalog, traits: &Traits) -> Result<(), Error> {
    name("host", &traits.host)?;
    if let Some(fabric) = &traits.fabric {
        name("fabric", fabric)?;
    }
    let replaces = catalog.hosts.contains_key(&traits.host);
    room("hosts", catalog.hosts.len(), limit::HOSTS, replaces)
}

fn drain(catalog: &Catalog, host: &str) -> Result<(), Error> {
    name("host", host)?;
    room("drained hosts", catalog.drained.len(), limit::HOSTS, catalog.drained.contains(host))
}

fn services(catalog: &Catalog) -> usize {
    catalog.models.len() + catalog.plains.len()
}

fn teams(catalog: &Catalog, teams: &BTreeSet<id::Team>) -> Result<(), Error> {
    for team in teams {
        known("team", catalog.teams.contains_key(team), team)?;
    }
    Ok(())
}

fn slots(slots: u32, cold_slots: u32) -> Result<(), Error> {
    range("slots", slots, 1, limit::SLOTS)?;
    range("cold_slots", cold_slots, 1, slots)
}

/// Names are parts of URLs and of the log's stream names.
fn name(what: &str, name: &str) -> Result<(), Error> {
    text(what, name)?;
    let is_name = name.bytes().all(|it| it.is_ascii_alphanumeric() || b"-_.".contains(&it));
    unless(!is_name, || format!("{what} `{name}` may hold letters, digits, `-`, `_` and `.` only"))
}

fn text(what: &str, text: &str) -> Result<(), Error> {
    count(&format!("bytes of {what}"), text.len(), 1, limit::NAME_BYTES)?;
    let is_clean = text.chars().all(|it| !it.is_control());
    unless(!is_clean, || format!("{what} has control characters"))
}

fn known(what: &str, known: bool, name: &str) -> Result<(), Error> {
    unless(!known, || format!("{what} `{name}` isn't declared"))
}

fn room(what: &str, present: usize, limit: usize, replaces: bool) -> Result<(), Error> {
    unless(present >= limit && !replaces, || format!("there are {limit} {what} already"))
}

fn range(what: &str, value: u32, least: u32, most: u32) -> Result<(), Error> {
    unless(value < least || value > most, || format!("{what} is {value}, not in {least}..={most}"))
}

fn count(what: &str, value: usize, least: usize, most: usize) -> Result<(), Error> {
    unless(value < least || value > most, || {
        format!("number of {what} is {value}, not in {least}..={most}")
    })
}

fn at_most(what: &str, value: std::time::Duration, most: std::time::Duration) -> Result<(), Error> {
    unless(value > most, || format!("{what} is over {}", most.as_millis()))
}

fn unless(wrong: bool, error: impl FnOnce() -> Error) -> Result<(), Error> {
    if wrong { Err(error()) } else { Ok(()) }
}
