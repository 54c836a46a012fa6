//! Effects of accepted changes on the catalog and on its size.

use cuminward_core::{
    catalog::{Availability, Catalog},
    change::Action,
};

use crate::{limit, ring::encoded_size};

/// Applies an action to the catalog. The action must have passed [`validate::action`].
///
/// [`validate::action`]: crate::validate::action
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
        Action::TakeOut(name) => set_availability(catalog, &name, Availability::TakenOut),
        Action::BringBack(name) => set_availability(catalog, &name, Availability::InService),
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

/// Returns whether an action removes its target from the catalog completely.
pub fn is_removal(catalog: &Catalog, action: &Action) -> bool {
    match action {
        Action::RemoveModel(_) | Action::RemovePlain(_) | Action::RemoveTeam(_) => true,
        Action::Undrain(host) => !catalog.hosts.contains_key(host),
        _ => false,
    }
}

/// Returns the serialised size of the catalog entry that an action modifies, as it is in the
/// catalog, in bytes; 0 if there is no such entry.
pub fn stored_size(catalog: &Catalog, action: &Action) -> usize {
    match action {
        Action::DeclareModel(it) => entry_size(catalog.models.get(&it.name)),
        Action::RemoveModel(name) => entry_size(catalog.models.get(name)),
        Action::DeclarePlain(it) => entry_size(catalog.plains.get(&it.name)),
        Action::RemovePlain(name) => entry_size(catalog.plains.get(name)),
        Action::DeclareTeam(it) => entry_size(catalog.teams.get(&it.name)),
        Action::RemoveTeam(name) => entry_size(catalog.teams.get(name)),
        Action::DeclareDomain(it) => entry_size(catalog.domains.get(&it.name)),
        Action::TakeOut(name) | Action::BringBack(name) => entry_size(catalog.domains.get(name)),
        Action::DeclareHost(it) => entry_size(catalog.hosts.get(&it.host)),
        Action::Drain(name) | Action::Undrain(name) => entry_size(catalog.drained.get(name)),
    }
}

/// Returns the serialised size of the catalog entry that an action declares, in bytes; 0 for other
/// actions.
pub fn declared_size(action: &Action) -> usize {
    match action {
        Action::DeclareModel(it) => entry_size(Some(it)),
        Action::DeclarePlain(it) => entry_size(Some(it)),
        Action::DeclareTeam(it) => entry_size(Some(it)),
        Action::DeclareDomain(it) => entry_size(Some(it)),
        Action::DeclareHost(it) => entry_size(Some(it)),
        Action::Drain(name) => entry_size(Some(name)),
        _ => 0,
    }
}

/// Returns the serialised size of a catalog entry with its key, in bytes; 0 for `None`.
fn entry_size<T: serde::Serialize>(value: Option<&T>) -> usize {
    value.map_or(0, |it| encoded_size(it) + KEY_BYTES)
}

/// Largest size of a catalog key with its quotes and colon, in bytes.
const KEY_BYTES: usize = limit::NAME_BYTES + 3;

fn set_availability(catalog: &mut Catalog, domain: &str, service: Availability) {
    if let Some(domain) = catalog.domains.get_mut(domain) {
        domain.service = service;
    }
}
