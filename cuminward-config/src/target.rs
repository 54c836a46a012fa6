//! What a change is about.

use std::collections::BTreeMap;

use cuminward_core::{change::Action, id};
use cuminward_derive::record;

use crate::{limit, ring::size};

/// What a change is about, as `kind/name`; changes of one target exclude each other.
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
    /// Operator who asked for it.
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
    /// Last accepted change of a target.
    pub fn last(&self, target: &str) -> Option<&Modification> {
        self.by_target.get(target)
    }

    /// Serialised size, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Mutation
impl Modifications {
    /// Records an accepted change; forgets the oldest removal beyond the bound.
    pub(crate) fn touch(&mut self, target: Target, touch: Modification) {
        let removed = touch.removed;
        self.insert(target, touch);
        if removed {
            self.forget();
        }
    }

    fn insert(&mut self, target: Target, touch: Modification) {
        self.remove(&target);
        self.bytes += size(&target) + size(&touch);
        self.by_target.insert(target, touch);
    }

    fn remove(&mut self, target: &str) {
        if let Some((target, touch)) = self.by_target.remove_entry(target) {
            self.bytes -= size(&target) + size(&touch);
        }
    }

    fn forget(&mut self) {
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
        let mut touches = Modifications::default();
        for (target, touch) in by_target {
            touches.insert(target, touch);
        }
        touches
    }
}

impl From<Modifications> for BTreeMap<Target, Modification> {
    fn from(touches: Modifications) -> BTreeMap<Target, Modification> {
        touches.by_target
    }
}

/// The target of an action. Model and plain services share one name space.
pub fn of(action: &Action) -> Target {
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

/// Name of an action's kind, as the log has it.
pub fn kind(action: &Action) -> &'static str {
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
