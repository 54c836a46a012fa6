//! Folds records of the configuration stream into a catalog.

use std::collections::VecDeque;

use cuminward_core::{
    catalog::{Catalog, Service},
    change::{self, Action},
    id,
};
use cuminward_derive::record;
use serde_json::Value;

use crate::{
    history::{self, History},
    limit,
    record::{self, Parsed, Record},
    target::{self, Touch, Touches},
    validate,
    window::{self, Window},
};

/// Version of the format of snapshots.
pub const FORMAT: u32 = 1;

/// What became of a record.
#[record]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The change is in force from this revision on.
    Accepted {
        /// Revision that the change made.
        revision: id::Revision,
    },
    /// The change was folded before; nothing changed.
    Repeated {
        /// Revision that the change's first record made.
        revision: id::Revision,
        /// What became of the first record.
        first: Box<Outcome>,
    },
    /// Another change of the same target came first.
    Conflict {
        /// The change that came first.
        with: Touch,
    },
    /// The change can't be accepted, whoever asks.
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// The record isn't a change that this version knows.
    Skipped {
        /// Why the record was skipped.
        reason: Skip,
    },
}

/// Why a record was skipped.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum Skip {
    /// The record was folded before.
    Folded,
    /// Records before this one are missing; the record was not folded.
    Gap,
    /// The record is a snapshot.
    Snapshot,
    /// The record's kind is unknown; it is kept as it is.
    Unknown,
}

/// The folded state as a record: a node restores it instead of reading older records.
#[record]
pub struct Snapshot {
    /// Version of the format.
    pub format: u32,
    /// Offset of the first record that isn't part of the state.
    pub at: id::Offset,
    /// The state.
    pub state: Fold,
}

/// The state that follows from the records read so far.
#[record]
#[derive(Default)]
pub struct Fold {
    catalog: Catalog,
    touches: Touches,
    window: Window,
    history: History,
    unknown: VecDeque<(id::Offset, Value)>,
}

/// Life cycle
impl Fold {
    /// Restores the state from a snapshot.
    pub fn restore(snapshot: &Snapshot) -> Fold {
        let mut fold = snapshot.state.clone();
        fold.catalog.revision = snapshot.at;
        fold
    }

    /// The state as a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { format: FORMAT, at: self.revision(), state: self.clone() }
    }
}

/// Access
impl Fold {
    /// The configuration in force.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Offset of the next record to fold.
    pub fn revision(&self) -> id::Revision {
        self.catalog.revision
    }

    /// Recent changes, the oldest first.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Records of unknown kinds, the oldest first.
    pub fn unknown(&self) -> impl Iterator<Item = &(id::Offset, Value)> {
        self.unknown.iter()
    }

    /// Last accepted change of a target.
    pub fn last(&self, target: &str) -> Option<&Touch> {
        self.touches.last(target)
    }

    /// What became of a change; `None` while no record of it was folded.
    pub fn resolve(&self, change: &change::Record) -> Option<Outcome> {
        let entry = self.window.find(&change.change)?;
        if entry.fingerprint == fingerprint(change) {
            return Some(entry.outcome());
        }
        Some(reused(&change.change))
    }

    /// What will become of a change, where later records can't alter that; `None` when only its
    /// record in the log can tell.
    pub fn foresee(&self, change: &change::Record) -> Option<Outcome> {
        if let Err(reason) = validate::envelope(change) {
            return Some(Outcome::Invalid { reason });
        }
        self.resolve(change)
            .or_else(|| self.conflict(change).map(|it| Outcome::Conflict { with: it.clone() }))
    }

    /// What would become of a change if its record were folded next.
    pub fn judge(&self, change: &change::Record) -> Outcome {
        if let Some(first) = self.window.find(&change.change) {
            return match first.fingerprint == fingerprint(change) {
                true => Outcome::Repeated {
                    revision: first.offset + 1,
                    first: Box::new(first.outcome()),
                },
                false => reused(&change.change),
            };
        }
        let checked =
            validate::envelope(change).and_then(|()| validate::expected(change, self.revision()));
        if let Err(reason) = checked {
            return Outcome::Invalid { reason };
        }
        if let Some(with) = self.conflict(change) {
            return Outcome::Conflict { with: with.clone() };
        }
        match validate::action(&self.catalog, &change.action) {
            Ok(()) => Outcome::Accepted { revision: self.revision() + 1 },
            Err(reason) => Outcome::Invalid { reason },
        }
    }

    fn conflict(&self, change: &change::Record) -> Option<&Touch> {
        let expected = change.expected?;
        self.touches.last(&target::of(&change.action)).filter(|it| it.revision > expected)
    }
}

/// Mutation
impl Fold {
    /// Folds the record at an offset. Records come in offset order without gaps.
    pub fn apply(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        if offset < self.revision() {
            return Outcome::Skipped { reason: Skip::Folded };
        }
        if offset > self.revision() {
            return Outcome::Skipped { reason: Skip::Gap };
        }
        let outcome = match record::parse(value) {
            Parsed::Known(Record::Change(change)) => self.change(offset, &change),
            Parsed::Known(Record::Snapshot(_)) => Outcome::Skipped { reason: Skip::Snapshot },
            Parsed::Malformed(reason) => Outcome::Invalid { reason },
            Parsed::Unknown => self.keep(offset, value),
        };
        self.catalog.revision = offset + 1;
        outcome
    }

    fn change(&mut self, offset: id::Offset, change: &change::Record) -> Outcome {
        let outcome = self.judge(change);
        let is_repeated = self.window.find(&change.change).is_some();
        if is_repeated || validate::envelope(change).is_err() {
            return outcome;
        }
        if let Outcome::Accepted { revision } = outcome {
            self.touch(revision, change);
            perform(&mut self.catalog, change.action.clone());
        }
        self.window.push(offset, change.change.clone(), fingerprint(change), &outcome);
        self.history.push(history::Entry {
            offset,
            change: change.change.clone(),
            operator: change.operator.clone(),
            action: target::kind(&change.action).to_owned(),
            target: target::of(&change.action),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn touch(&mut self, revision: id::Revision, change: &change::Record) {
        let touch = Touch {
            revision,
            change: change.change.clone(),
            operator: change.operator.clone(),
            removed: target::removes(&change.action),
        };
        self.touches.touch(target::of(&change.action), touch);
    }

    fn keep(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        self.unknown.push_back((offset, value.clone()));
        if self.unknown.len() > limit::UNKNOWN {
            self.unknown.pop_front();
        }
        Outcome::Skipped { reason: Skip::Unknown }
    }
}

fn perform(catalog: &mut Catalog, action: Action) {
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
        Action::TakeOut(name) => set_service(catalog, &name, Service::TakenOut),
        Action::BringBack(name) => set_service(catalog, &name, Service::InService),
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

fn set_service(catalog: &mut Catalog, domain: &str, service: Service) {
    if let Some(domain) = catalog.domains.get_mut(domain) {
        domain.service = service;
    }
}

fn fingerprint(change: &change::Record) -> u64 {
    let action = serde_json::to_value(&change.action).expect("actions have string keys only");
    window::fingerprint(&change.operator, &action)
}

fn reused(change: &str) -> Outcome {
    Outcome::Invalid { reason: format!("the change id `{change}` stands for another change") }
}
