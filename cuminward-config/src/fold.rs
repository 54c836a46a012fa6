//! Folds records of the configuration stream into a catalog.

use cuminward_core::{
    catalog::Catalog,
    change::{self, Action},
    id,
};
use cuminward_derive::record;
use serde_json::Value;

use crate::{
    effect,
    history::{self, History},
    limit,
    record::{self, Parsed, Record},
    snapshot,
    target::{self, Modification, Modifications},
    unknown::Unknown,
    validate,
    window::{self, Window},
};

/// The folded state as a record.
pub type Snapshot = snapshot::Snapshot;

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
        with: Modification,
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

/// The state that follows from the records read so far.
#[record]
#[derive(Default)]
pub struct Fold {
    catalog: Catalog,
    touches: Modifications,
    window: Window,
    history: History,
    unknown: Unknown,
    newest_snapshot: Option<snapshot::Mark>,
    bytes: usize,
}

/// Life cycle
impl Fold {
    /// Restores the state from a snapshot.
    pub fn restore(snapshot: &Snapshot) -> Fold {
        snapshot.state.clone()
    }

    /// The state as a snapshot for a peer. The log gets one with its time: [`Snapshot::new`].
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(self, 0)
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

    /// Newest snapshot among the folded records.
    pub fn newest_snapshot(&self) -> Option<snapshot::Mark> {
        self.newest_snapshot
    }

    /// Last accepted change of a target.
    pub fn last(&self, target: &str) -> Option<&Modification> {
        self.touches.last(target)
    }

    /// What became of a change; `None` while no record of it was folded.
    pub fn recorded_outcome(&self, change: &change::Record) -> Option<Outcome> {
        let entry = self.window.find(&change.change)?;
        if entry.fingerprint == fingerprint(change) {
            return Some(entry.outcome());
        }
        Some(reused(&change.change))
    }

    /// What will become of a change, where later records can't alter that; `None` when only its
    /// record in the log can tell.
    pub fn final_outcome(&self, change: &change::Record) -> Option<Outcome> {
        if let Err(reason) = validate::envelope(change) {
            return Some(invalid(reason));
        }
        if self.window.find(&change.change).is_some() {
            return Some(self.judge(change));
        }
        self.conflict(change).map(|it| Outcome::Conflict { with: it.clone() })
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
            return invalid(reason);
        }
        if let Some(with) = self.conflict(change) {
            return Outcome::Conflict { with: with.clone() };
        }
        let checked = validate::action(&self.catalog, &change.action)
            .and_then(|()| self.room(&change.action));
        match checked {
            Ok(()) => Outcome::Accepted { revision: self.revision() + 1 },
            Err(reason) => invalid(reason),
        }
    }

    /// Checks that the state with the change would still fit into a snapshot.
    fn room(&self, action: &Action) -> Result<(), validate::Error> {
        let growth = effect::growth(action);
        let grown = self.bytes + growth - effect::weight(&self.catalog, action).min(self.bytes);
        if growth > 0 && grown + self.touches.bytes() > limit::STATE_BYTES {
            return Err(format!("the configuration would exceed {} bytes", limit::STATE_BYTES));
        }
        Ok(())
    }

    fn conflict(&self, change: &change::Record) -> Option<&Modification> {
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
        let outcome = self.record(offset, value);
        self.catalog.revision = offset + 1;
        outcome
    }

    fn record(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        if record::is_snapshot(value) {
            return self.mark(offset, value);
        }
        match record::parse(value) {
            Parsed::Known(Record::Change(change)) => self.change(offset, &change),
            Parsed::Known(Record::Snapshot(_)) => self.mark(offset, value),
            Parsed::Malformed(reason) => invalid(reason),
            Parsed::Unknown => self.keep(offset, value),
        }
    }

    fn change(&mut self, offset: id::Offset, change: &change::Record) -> Outcome {
        let outcome = self.judge(change);
        let is_repeated = self.window.find(&change.change).is_some();
        if is_repeated || validate::envelope(change).is_err() {
            return outcome;
        }
        if let Outcome::Accepted { revision } = outcome {
            self.touch(revision, change);
            self.perform(&change.action);
        }
        self.window.push(offset, change.change.clone(), fingerprint(change), &outcome);
        self.history.push(history::Entry {
            offset,
            change: change.change.clone(),
            operator: change.operator.clone(),
            action: target::kind(&change.action).to_owned(),
            target: limit::text(target::of(&change.action)),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn perform(&mut self, action: &Action) {
        let before = effect::weight(&self.catalog, action);
        effect::perform(&mut self.catalog, action.clone());
        let after = effect::weight(&self.catalog, action);
        self.bytes = self.bytes + after - before;
    }

    fn touch(&mut self, revision: id::Revision, change: &change::Record) {
        let touch = Modification {
            revision,
            change: change.change.clone(),
            operator: change.operator.clone(),
            removed: effect::removes(&self.catalog, &change.action),
        };
        self.touches.touch(target::of(&change.action), touch);
    }

    fn mark(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        let mark = record::mark(value).filter(|it| it.at <= offset);
        self.newest_snapshot = self.newest_snapshot.max(mark);
        Outcome::Skipped { reason: Skip::Snapshot }
    }

    fn keep(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        self.unknown.push((offset, value.clone()));
        Outcome::Skipped { reason: Skip::Unknown }
    }
}

fn fingerprint(change: &change::Record) -> u64 {
    let action = serde_json::to_value(&change.action).expect("actions have string keys only");
    window::fingerprint(&change.operator, &action)
}

fn reused(change: &str) -> Outcome {
    invalid(format!("the change id `{change}` stands for another change"))
}

fn invalid(reason: String) -> Outcome {
    Outcome::Invalid { reason: limit::text(reason) }
}
