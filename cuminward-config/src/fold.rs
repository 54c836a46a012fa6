//! Applies the records of the configuration stream, in offset order, to the configuration state.

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

/// The configuration state as a record.
pub type Snapshot = snapshot::Snapshot;

/// Outcome of applying a record.
#[record]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The change was accepted and is part of the configuration from this revision on.
    Accepted {
        /// Revision that the change made.
        revision: id::Revision,
    },
    /// A record with the same change was applied before; the state is unchanged.
    Repeated {
        /// Revision that the change's first record made.
        revision: id::Revision,
        /// Outcome of the change's first record.
        first: Box<Outcome>,
    },
    /// Another change of the same target was accepted after the revision that the operator
    /// expected.
    Conflict {
        /// The accepted change.
        with: Modification,
    },
    /// The change is invalid, whichever operator requests it.
    Invalid {
        /// Why the change is invalid.
        reason: String,
    },
    /// The record isn't a change that this version can apply.
    Skipped {
        /// Why the record was skipped.
        reason: Skip,
    },
}

/// Why a record was skipped.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum Skip {
    /// The record was applied before.
    Folded,
    /// Records before this one are missing; the record was not applied.
    Gap,
    /// The record is a snapshot.
    Snapshot,
    /// The record's kind is unknown; the record is kept unchanged.
    Unknown,
}

/// The configuration state: the result of applying all records before [`Fold::revision`].
///
/// Applying is deterministic, so that all nodes reach the same state from the same records. The
/// state is stored in snapshots.
#[record]
#[derive(Default)]
pub struct Fold {
    catalog: Catalog,
    #[serde(rename = "touches")]
    modifications: Modifications,
    window: Window,
    history: History,
    unknown: Unknown,
    newest_snapshot: Option<snapshot::Header>,
    /// Size of the catalog's entries with their keys, as computed by [`effect`], in bytes.
    bytes: usize,
}

/// Life cycle
impl Fold {
    /// Restores the state from a snapshot.
    pub fn restore(snapshot: &Snapshot) -> Fold {
        snapshot.state.clone()
    }

    /// Returns the state as a snapshot for a peer, without a time. For a snapshot in the log, use
    /// [`Snapshot::new`].
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(self, 0)
    }
}

/// Access
impl Fold {
    /// Returns the current configuration.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the number of applied records, which is the offset of the next record to apply.
    pub fn revision(&self) -> id::Revision {
        self.catalog.revision
    }

    /// Returns the recent changes, the oldest first.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the kept records of unknown kinds, the oldest first.
    pub fn unknown(&self) -> impl Iterator<Item = &(id::Offset, Value)> {
        self.unknown.iter()
    }

    /// Returns the header of the newest snapshot among the applied records.
    pub fn newest_snapshot(&self) -> Option<snapshot::Header> {
        self.newest_snapshot
    }

    /// Returns the last accepted change of a target.
    pub fn last(&self, target: &str) -> Option<&Modification> {
        self.modifications.last(target)
    }

    /// Returns the outcome of a change whose record was applied. Returns `None` if no record of the
    /// change was applied, or the change is no longer in the deduplication window, and
    /// [`Outcome::Invalid`] if another change has the same id.
    pub fn recorded_outcome(&self, change: &change::Record) -> Option<Outcome> {
        let entry = self.window.find(&change.change)?;
        if entry.fingerprint == fingerprint(change) {
            return Some(entry.outcome());
        }
        Some(reused_id(&change.change))
    }

    /// Returns the outcome of a change before it is appended to the log, if no later record can
    /// alter that outcome; otherwise `None`.
    pub fn final_outcome(&self, change: &change::Record) -> Option<Outcome> {
        if let Err(reason) = validate::envelope(change) {
            return Some(invalid(reason));
        }
        if self.window.find(&change.change).is_some() {
            return Some(self.evaluate(change));
        }
        self.find_conflict(change).map(|it| Outcome::Conflict { with: it.clone() })
    }

    /// Returns the outcome that a change would have if its record were applied next.
    pub fn evaluate(&self, change: &change::Record) -> Outcome {
        if let Some(first) = self.window.find(&change.change) {
            return match first.fingerprint == fingerprint(change) {
                true => Outcome::Repeated {
                    revision: first.offset + 1,
                    first: Box::new(first.outcome()),
                },
                false => reused_id(&change.change),
            };
        }
        let checked =
            validate::envelope(change).and_then(|()| validate::expected(change, self.revision()));
        if let Err(reason) = checked {
            return invalid(reason);
        }
        if let Some(with) = self.find_conflict(change) {
            return Outcome::Conflict { with: with.clone() };
        }
        let checked = validate::action(&self.catalog, &change.action)
            .and_then(|()| self.check_size(&change.action));
        match checked {
            Ok(()) => Outcome::Accepted { revision: self.revision() + 1 },
            Err(reason) => invalid(reason),
        }
    }

    /// Checks that the state would still fit into a snapshot after the action.
    fn check_size(&self, action: &Action) -> Result<(), validate::Error> {
        let declared = effect::declared_size(action);
        let grown =
            self.bytes + declared - effect::stored_size(&self.catalog, action).min(self.bytes);
        if declared > 0 && grown + self.modifications.bytes() > limit::STATE_BYTES {
            return Err(format!("the configuration would exceed {} bytes", limit::STATE_BYTES));
        }
        Ok(())
    }

    /// Returns the accepted change of the same target that the operator hadn't seen, if there is
    /// one.
    fn find_conflict(&self, change: &change::Record) -> Option<&Modification> {
        let expected = change.expected?;
        self.modifications
            .last(&target::from_action(&change.action))
            .filter(|it| it.revision > expected)
    }
}

/// Mutation
impl Fold {
    /// Applies the record at an offset. Records before or after [`Fold::revision`] are skipped, so
    /// that records are applied in offset order, once and without gaps.
    pub fn apply(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        if offset < self.revision() {
            return Outcome::Skipped { reason: Skip::Folded };
        }
        if offset > self.revision() {
            return Outcome::Skipped { reason: Skip::Gap };
        }
        let outcome = self.apply_record(offset, value);
        self.catalog.revision = offset + 1;
        outcome
    }

    fn apply_record(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        if record::is_snapshot(value) {
            return self.record_snapshot(offset, value);
        }
        match record::parse(value) {
            Parsed::Known(Record::Change(change)) => self.apply_change(offset, &change),
            Parsed::Known(Record::Snapshot(_)) => self.record_snapshot(offset, value),
            Parsed::Malformed(reason) => invalid(reason),
            Parsed::Unknown => self.keep_unknown(offset, value),
        }
    }

    fn apply_change(&mut self, offset: id::Offset, change: &change::Record) -> Outcome {
        let outcome = self.evaluate(change);
        let is_repeated = self.window.find(&change.change).is_some();
        if is_repeated || validate::envelope(change).is_err() {
            return outcome;
        }
        if let Outcome::Accepted { revision } = outcome {
            self.record_modification(revision, change);
            self.perform(&change.action);
        }
        self.window.push(offset, change.change.clone(), fingerprint(change), &outcome);
        self.history.push(history::Entry {
            offset,
            change: change.change.clone(),
            operator: change.operator.clone(),
            action: target::action_kind(&change.action).to_owned(),
            target: limit::truncate(target::from_action(&change.action)),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn perform(&mut self, action: &Action) {
        let before = effect::stored_size(&self.catalog, action);
        effect::perform(&mut self.catalog, action.clone());
        let after = effect::stored_size(&self.catalog, action);
        self.bytes = self.bytes + after - before;
    }

    fn record_modification(&mut self, revision: id::Revision, change: &change::Record) {
        let modification = Modification {
            revision,
            change: change.change.clone(),
            operator: change.operator.clone(),
            removed: effect::is_removal(&self.catalog, &change.action),
        };
        self.modifications.record(target::from_action(&change.action), modification);
    }

    fn record_snapshot(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        let header = record::snapshot_header(value).filter(|it| it.at <= offset);
        self.newest_snapshot = self.newest_snapshot.max(header);
        Outcome::Skipped { reason: Skip::Snapshot }
    }

    fn keep_unknown(&mut self, offset: id::Offset, value: &Value) -> Outcome {
        self.unknown.push((offset, value.clone()));
        Outcome::Skipped { reason: Skip::Unknown }
    }
}

fn fingerprint(change: &change::Record) -> u64 {
    let action = serde_json::to_value(&change.action).expect("actions have string keys only");
    window::fingerprint(&change.operator, &action)
}

/// Returns the outcome of a change whose id belongs to another change.
fn reused_id(change: &str) -> Outcome {
    invalid(format!("the change id `{change}` stands for another change"))
}

fn invalid(reason: String) -> Outcome {
    Outcome::Invalid { reason: limit::truncate(reason) }
}
