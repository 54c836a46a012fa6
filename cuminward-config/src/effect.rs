//! The effect of an accepted change on the catalog.

use cuminward_core::{
    catalog::{Availability, Catalog},
    change::Action,
};

use crate::{limit, ring::size};

/// Performs an action that was checked.
pub fn perform(catalog: &mut Catalog, action: Action) {
    match action {
        Action::DeclareModel(it) => {
            catalog.models.insert(it.name.clone(), it);
        }
        Action::RemoveModel(name) => {
            catalog.models.remove(&name);
        }
        Action::DeclarePlain(it) => {
            catalog.plains.insert(it.name.clone(), it);
        }
        Action::RemovePlain(name) => {
            catalog.plains.remove(&name);
        }
        Action::DeclareTeam(it) => {
            catalog.teams.insert(it.name.clone(), it);
        }
        Action::RemoveTeam(name) => {
            catalog.teams.remove(&name);
        }
        Action::DeclareDomain(it) => {
            catalog.domains.insert(it.name.clone(), it);
        }
        Action::TakeOut(name) => set_service(catalog, &name, Availability::TakenOut),
        Action::BringBack(name) => set_service(catalog, &name, Availability::InService),
        Action::DeclareHost(it) => {
            catalog.hosts.insert(it.host.clone(), it);
        }
        Action::Drain(name) => {
            catalog.drained.insert(name);
        }
        Action::Undrain(name) => {
            catalog.drained.remove(&name);
        }
    }
}

/// Tells whether nothing of the target is left after an action.
pub fn removes(catalog: &Catalog, action: &Action) -> bool {
    match action {
        Action::RemoveModel(_) | Action::RemovePlain(_) | Action::RemoveTeam(_) => true,
        Action::Undrain(host) => !catalog.hosts.contains_key(host),
        _ => false,
    }
}

/// Serialised size in the catalog of what an action is about, before the action.
pub fn weight(catalog: &Catalog, action: &Action) -> usize {
    match action {
        Action::DeclareModel(it) => entry(catalog.models.get(&it.name)),
        Action::RemoveModel(name) => entry(catalog.models.get(name)),
        Action::DeclarePlain(it) => entry(catalog.plains.get(&it.name)),
        Action::RemovePlain(name) => entry(catalog.plains.get(name)),
        Action::DeclareTeam(it) => entry(catalog.teams.get(&it.name)),
        Action::RemoveTeam(name) => entry(catalog.teams.get(name)),
        Action::DeclareDomain(it) => entry(catalog.domains.get(&it.name)),
        Action::TakeOut(name) | Action::BringBack(name) => entry(catalog.domains.get(name)),
        Action::DeclareHost(it) => entry(catalog.hosts.get(&it.host)),
        Action::Drain(name) | Action::Undrain(name) => entry(catalog.drained.get(name)),
    }
}

/// Serialised size of what an action declares; 0 for one that declares nothing new.
pub fn growth(action: &Action) -> usize {
    match action {
        Action::DeclareModel(it) => entry(Some(it)),
        Action::DeclarePlain(it) => entry(Some(it)),
        Action::DeclareTeam(it) => entry(Some(it)),
        Action::DeclareDomain(it) => entry(Some(it)),
        Action::DeclareHost(it) => entry(Some(it)),
        Action::Drain(name) => entry(Some(name)),
        _ => 0,
    }
}

/// Size of a value with its key.
fn entry<T: serde::Serialize>(value: Option<&T>) -> usize {
    value.map_or(0, |it| size(it) + KEY_BYTES)
}

/// Largest size of a key with its quotes and colon, in bytes.
const KEY_BYTES: usize = limit::NAME_BYTES + 3;

fn set_service(catalog: &mut Catalog, domain: &str, service: Availability) {
    if let Some(domain) = catalog.domains.get_mut(domain) {
        domain.service = service;
    }
}
