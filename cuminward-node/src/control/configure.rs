//! The node's configuration: follows the log and the peers, keeps snapshots in the log, and appends
//! operators' changes.

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

/// Pause after a failed call of the log.
const RETRY: Duration = Duration::from_millis(200);

/// The configuration as this node has folded it.
#[derive(Debug, Default)]
pub struct Config {
    follow: Mutex<Follower>,
}

/// Access
impl Config {
    /// The folded state and what waits for it.
    pub fn follow(&self) -> MutexGuard<'_, Follower> {
        self.follow.lock().expect("no code panics while it has the lock")
    }
}

/// Takes what was read or heard, and puts it in force once the node is ready.
///
/// Before that the catalog stays empty: the node would serve by an older configuration than others.
///
/// `source` is where the input comes from: `log` or the name of a node.
fn take(state: &state::State, input: Input, source: &str) -> Outcome {
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
        report(state, *offset, folded);
    }
    if published {
        view::refresh(state);
    }
    outcome
}

/// Puts the state in force if it is newer than what is in force; tells whether it is.
fn publish(state: &state::State, follow: &Follower) -> bool {
    let Some(fold) = follow.fold().filter(|_| follow.is_ready()) else { return false };
    let is_first = !state.configured.swap(true, Ordering::AcqRel);
    let is_newer = *state.revision.borrow() < fold.revision();
    if !is_first && !is_newer {
        return false;
    }
    let old = state.catalog.swap(Arc::new(fold.catalog().clone()));
    if !is_first {
        report_domains(state, &old, fold.catalog());
    }
    state.revision.send_replace(fold.revision());
    true
}

/// Says which domains were taken out or brought back.
fn report_domains(state: &state::State, old: &catalog::Catalog, new: &catalog::Catalog) {
    let revision = new.revision;
    for domain in new.domains.keys().cloned() {
        match (old.in_service(&domain), new.in_service(&domain)) {
            (true, false) => state.events.emit(Kind::DomainTakenOut { domain, revision }),
            (false, true) => state.events.emit(Kind::DomainBroughtBack { domain, revision }),
            _ => {}
        }
    }
}

/// Says what became of the change at an offset, if it is among the recent ones.
fn report(state: &state::State, offset: id::Offset, outcome: &fold::Outcome) {
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
