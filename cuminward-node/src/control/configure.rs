//! The node's configuration: reads records from the log and from other nodes, writes snapshots to
//! the log, and appends operators' changes.

pub mod change;
pub mod follow;
pub mod snapshot;
pub mod transfer;

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use cuminward_config::{fold, follow::Follower, follow::Input, follow::Outcome};
use cuminward_core::{catalog, id};
use cuminward_event::kind::Kind;

use crate::{state, view};

/// Delay before the log is called again after a failure.
const RETRY: Duration = Duration::from_millis(200);

/// The configuration that this node has folded from the records.
#[derive(Debug, Default)]
pub struct Config {
    follow: Mutex<Follower>,
}

/// Access
impl Config {
    /// Locks the follower, which holds the folded state.
    pub fn follow(&self) -> MutexGuard<'_, Follower> {
        self.follow.lock().expect("no code panics while it has the lock")
    }
}

/// Folds records or a snapshot into the configuration and puts the result in force once the
/// follower is ready.
///
/// Until then the catalog stays empty, since the node would otherwise serve an older configuration
/// than other nodes. `source` is `log` or the name of the node that the input came from.
fn apply(state: &state::State, input: Input, source: &str) -> Outcome {
    let (outcome, published, restored) = {
        let mut follow = state.config.follow();
        let before = follow.revision();
        let outcome = follow.step(input);
        let revision = follow.revision();
        let is_restored = before + (outcome.folded.len() as id::Revision) < revision;
        (outcome, publish(state, &follow), is_restored.then_some(revision))
    };
    if let Some(revision) = restored {
        state.events.emit(Kind::ConfigRestored { revision, source: source.to_owned() });
    }
    for (offset, folded) in &outcome.folded {
        emit_outcome(state, *offset, folded);
    }
    if published {
        view::refresh(state);
    }
    outcome
}

/// Puts the folded state in force if it is newer; returns whether it was.
fn publish(state: &state::State, follow: &Follower) -> bool {
    let Some(fold) = follow.fold().filter(|_| follow.is_ready()) else { return false };
    let is_first = !state.configured.swap(true, Ordering::AcqRel);
    let is_newer = *state.revision.borrow() < fold.revision();
    if !is_first && !is_newer {
        return false;
    }
    let old = state.catalog.swap(Arc::new(fold.catalog().clone()));
    if !is_first {
        emit_domain_changes(state, &old, fold.catalog());
    }
    state.revision.send_replace(fold.revision());
    true
}

/// Emits events for the domains that were taken out of service or brought back.
fn emit_domain_changes(state: &state::State, old: &catalog::Catalog, new: &catalog::Catalog) {
    let revision = new.revision;
    for domain in new.domains.keys().cloned() {
        match (old.in_service(&domain), new.in_service(&domain)) {
            (true, false) => state.events.emit(Kind::DomainTakenOut { domain, revision }),
            (false, true) => state.events.emit(Kind::DomainBroughtBack { domain, revision }),
            _ => {}
        }
    }
}

/// Emits the outcome of the change at an offset, if the recent history still has it.
fn emit_outcome(state: &state::State, offset: id::Offset, outcome: &fold::Outcome) {
    if matches!(outcome, fold::Outcome::Repeated { .. } | fold::Outcome::Skipped { .. }) {
        return;
    }
    let follow = state.config.follow();
    let mut recent = follow.fold().into_iter().flat_map(|it| it.history().iter().rev());
    let Some(entry) = recent.find(|it| it.offset <= offset).filter(|it| it.offset == offset) else {
        return;
    };
    let (revision, change, operator) = (offset + 1, entry.change.clone(), entry.operator.clone());
    let kind = match cuminward_operator::outcome::to_result(outcome.clone()) {
        Ok(_) => {
            let action = entry.action.clone();
            Kind::ConfigAccepted { revision, change, operator, action }
        }
        Err(error) => {
            Kind::ConfigRejected { revision, change, operator, reason: error.to_string() }
        }
    };
    state.events.emit(kind);
}
