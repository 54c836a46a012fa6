//! Targets of changes: the configuration objects that changes declare, modify or remove.

use std::collections::BTreeMap;

use cuminward_core::{change::Action, id};
use cuminward_derive::record;

use crate::{limit, ring::encoded_size};

/// The object that a change modifies, as `kind/name`. Only changes of the same target can conflict.
pub type Target = String;

/// The last accepted change of a target.
#[record]
#[derive(Eq)]
pub struct Modification {
    /// Revision that the change made.
    #[serde(rename = "r")]
    pub revision: id::Revision,
    /// Id of the change.
    #[serde(rename = "c")]
    pub change: id::Change,
    /// Operator who requested the change.
    #[serde(rename = "o")]
    pub operator: String,
    /// Whether the change removed the target.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub removed: bool,
}

/// The last accepted change of each target.
#[record]
#[derive(Default)]
#[serde(from = "BTreeMap<Target, Modification>", into = "BTreeMap<Target, Modification>")]
pub struct Modifications {
    by_target: BTreeMap<Target, Modification>,
    bytes: usize,
}

/// Access
impl Modifications {
    /// Returns the last accepted change of a target.
    pub fn last(&self, target: &str) -> Option<&Modification> {
        self.by_target.get(target)
    }

    /// Returns the serialised size, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Mutation
impl Modifications {
    /// Records an accepted change. Evicts the oldest removal if there are more than
    /// [`limit::TOMBSTONES`].
    pub(crate) fn record(&mut self, target: Target, modification: Modification) {
        let removed = modification.removed;
        self.insert(target, modification);
        if removed {
            self.evict_oldest_removal();
        }
    }

    fn insert(&mut self, target: Target, modification: Modification) {
        self.remove(&target);
        self.bytes += encoded_size(&target) + encoded_size(&modification);
        self.by_target.insert(target, modification);
    }

    fn remove(&mut self, target: &str) {
        if let Some((target, modification)) = self.by_target.remove_entry(target) {
            self.bytes -= encoded_size(&target) + encoded_size(&modification);
        }
    }

    fn evict_oldest_removal(&mut self) {
        let removals = || self.by_target.iter().filter(|(_, it)| it.removed);
        if removals().count() <= limit::TOMBSTONES {
            return;
        }
        let oldest = removals().min_by_key(|(_, it)| it.revision).map(|(it, _)| it.clone());
        if let Some(target) = oldest {
            self.remove(&target);
        }
    }
}

impl From<BTreeMap<Target, Modification>> for Modifications {
    fn from(by_target: BTreeMap<Target, Modification>) -> Modifications {
        let mut modifications = Modifications::default();
        for (target, modification) in by_target {
            modifications.insert(target, modification);
        }
        modifications
    }
}

impl From<Modifications> for BTreeMap<Target, Modification> {
    fn from(modifications: Modifications) -> BTreeMap<Target, Modification> {
        modifications.by_target
    }
}

/// Returns the target of an action. Model services and plain services share one namespace.
pub fn from_action(action: &Action) -> Target {
    match action {
        Action::DeclareModel(it) => format!("service/{}", it.name),
        Action::DeclarePlain(it) => format!("service/{}", it.name),
        Action::RemoveModel(name) | Action::RemovePlain(name) => format!("service/{name}"),
        Action::DeclareTeam(it) => format!("team/{}", it.name),
        Action::RemoveTeam(name) => format!("team/{name}"),
        Action::DeclareDomain(it) => format!("domain/{}", it.name),
        Action::TakeOut(name) | Action::BringBack(name) => format!("domain/{name}"),
        Action::DeclareHost(it) => format!("host/{}", it.host),
        Action::Drain(name) | Action::Undrain(name) => format!("host/{name}"),
    }
}

/// Returns the name of an action's kind, as stored in the log.
pub fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::DeclareModel(_) => "declare-model",
        Action::RemoveModel(_) => "remove-model",
        Action::DeclarePlain(_) => "declare-plain",
        Action::RemovePlain(_) => "remove-plain",
        Action::DeclareTeam(_) => "declare-team",
        Action::RemoveTeam(_) => "remove-team",
        Action::DeclareDomain(_) => "declare-domain",
        Action::TakeOut(_) => "take-out",
        Action::BringBack(_) => "bring-back",
        Action::DeclareHost(_) => "declare-host",
        Action::Drain(_) => "drain",
        Action::Undrain(_) => "undrain",
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}
