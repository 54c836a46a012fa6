//! Follows the configuration log and appends operators' changes to it.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use cuminward_config::{fold, record};
use cuminward_core::{catalog, change, id};
use cuminward_event::kind::Kind;
use cuminward_operator::{server, status};
use cuminward_peer::message;
use cuminward_platform::{call, journal};
use serde_json::Value;

use crate::{control::outage, state, view};

/// Records of one read.
const PAGE: usize = 500;

/// Time that a read waits for a new record.
const WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Time that an operator's call waits until its record was read back.
const READ_BACK: Duration = Duration::from_secs(5);

/// Records that are kept for other nodes.
const RECENT: usize = 4_096;

/// The configuration as this node has folded it.
#[derive(Debug, Default)]
pub struct Config {
    fold: Mutex<fold::Fold>,
    recent: Mutex<VecDeque<message::ConfigRecord>>,
}

/// Access
impl Config {
    /// The folded state.
    pub fn fold(&self) -> MutexGuard<'_, fold::Fold> {
        self.fold.lock().expect("no code panics while it has the lock")
    }

    /// The newest records, in offset order.
    fn recent(&self) -> MutexGuard<'_, VecDeque<message::ConfigRecord>> {
        self.recent.lock().expect("no code panics while it has the lock")
    }
}

/// Follows the log until the node stops; the last configuration stays in force while it is away.
pub async fn run(state: Arc<state::State>) {
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let mut outage = outage::Outage::default();
    while !state.stop.is_cancelled() {
        let from = state.config.fold().revision();
        let read = tokio::select! {
            read = stream.read::<Value>(from, PAGE, WAIT) => read,
            () = state.stop.cancelled() => return,
        };
        match read {
            Ok(read) => {
                if let Some(after_ms) = outage.answered(state.now()) {
                    state.log_away.store(false, Ordering::Release);
                    let stream = record::STREAM.to_owned();
                    state.events.emit(Kind::LogBack { stream, after_ms });
                }
                take(&state, &stream, read).await;
            }
            Err(error) => {
                if outage.failed(state.now()) {
                    state.log_away.store(true, Ordering::Release);
                    let stream = record::STREAM.to_owned();
                    state.events.emit(Kind::LogAway { stream, message: error.to_string() });
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Folds what was read.
async fn take(state: &state::State, stream: &journal::Stream, read: journal::Read<Value>) {
    match read {
        journal::Read::Page(page) => {
            let records = page.records.iter().map(|it| message::ConfigRecord {
                offset: it.offset,
                at_ms: it.at_ms,
                text: it.value.to_string(),
            });
            apply(state, records);
            state.configured.store(true, Ordering::Release);
        }
        journal::Read::Trimmed { oldest } => restore(state, stream, oldest).await,
    }
}

/// Folds records in offset order; records that were folded before are skipped.
fn apply(state: &state::State, records: impl Iterator<Item = message::ConfigRecord>) {
    let mut changed = false;
    {
        let mut fold = state.config.fold();
        for record in records.filter(|it| fold.revision() <= it.offset).collect::<Vec<_>>() {
            let Ok(value) = serde_json::from_str(&record.text) else { break };
            let outcome = fold.apply(record.offset, &value);
            if outcome == (fold::Outcome::Skipped { reason: fold::Skip::Gap }) {
                break;
            }
            changed |= matches!(outcome, fold::Outcome::Accepted { .. });
            report(state, &fold, &value, &outcome);
            remember(state, record);
        }
        if changed {
            publish(state, fold.catalog());
        }
        state.revision.send_replace(fold.revision());
    }
    if changed {
        view::refresh(state);
    }
}

/// Keeps a record for other nodes.
fn remember(state: &state::State, record: message::ConfigRecord) {
    let mut recent = state.config.recent();
    recent.push_back(record);
    let excess = recent.len().saturating_sub(RECENT);
    recent.drain(..excess);
}

/// Records from a revision on for another node, or a snapshot where they aren't kept any more.
pub fn since(state: &state::State, from: id::Revision, max: u32) -> message::Config {
    let fold = state.config.fold();
    let recent = state.config.recent();
    let revision = fold.revision();
    let kept = recent.front().is_some_and(|it| it.offset <= from);
    let snapshot = (!kept && from < revision).then(|| {
        let snapshot = record::Record::Snapshot(Box::new(fold.snapshot()));
        record::to_value(&snapshot).to_string()
    });
    let wanted = recent.iter().filter(|it| kept && from <= it.offset);
    let records = wanted.take(max as usize).cloned().collect();
    message::Config { records, snapshot, revision }
}

/// Takes over what another node has folded already.
pub fn take_over(state: &state::State, config: message::Config) {
    let snapshot = config.snapshot.and_then(|it| serde_json::from_str(&it).ok());
    if let Some(snapshot) = snapshot.as_ref().and_then(self::snapshot) {
        adopt(state, &snapshot);
    }
    apply(state, config.records.into_iter());
    state.configured.store(true, Ordering::Release);
}

/// Says what became of a change.
fn report(state: &state::State, fold: &fold::Fold, value: &Value, outcome: &fold::Outcome) {
    let record::Parsed::Known(record::Record::Change(change)) = record::parse(value) else {
        return;
    };
    let (change, operator) = (change.change, change.operator);
    match outcome {
        fold::Outcome::Accepted { revision } => state.events.emit(Kind::ConfigAccepted {
            revision: *revision,
            change,
            operator,
            action: fold
                .history()
                .iter()
                .next_back()
                .map(|it| it.action.clone())
                .unwrap_or_default(),
        }),
        fold::Outcome::Conflict { with } => {
            let reason = format!("change {} came first", with.change);
            let revision = fold.revision();
            state.events.emit(Kind::ConfigRejected { revision, change, operator, reason });
        }
        fold::Outcome::Invalid { reason } => {
            let (revision, reason) = (fold.revision(), reason.clone());
            state.events.emit(Kind::ConfigRejected { revision, change, operator, reason });
        }
        fold::Outcome::Repeated { .. } | fold::Outcome::Skipped { .. } => {}
    }
}

/// Puts a configuration in force, and says which domains it takes out or brings back.
fn publish(state: &state::State, catalog: &catalog::Catalog) {
    let old = state.catalog.swap(Arc::new(catalog.clone()));
    let revision = catalog.revision;
    for domain in catalog.domains.keys().cloned() {
        match (old.in_service(&domain), catalog.in_service(&domain)) {
            (true, false) => state.events.emit(Kind::DomainTakenOut { domain, revision }),
            (false, true) => state.events.emit(Kind::DomainBroughtBack { domain, revision }),
            _ => {}
        }
    }
}

/// Restores the newest snapshot of a log that was trimmed.
async fn restore(state: &state::State, stream: &journal::Stream, oldest: id::Offset) {
    let mut from = oldest;
    let mut newest: Option<fold::Snapshot> = None;
    while let Ok(journal::Read::Page(page)) = stream.read::<Value>(from, PAGE, Duration::ZERO).await
    {
        let snapshots = page.records.iter().filter_map(|it| snapshot(&it.value));
        newest = snapshots.chain(newest).max_by_key(|it| it.at);
        from += page.records.len() as id::Offset;
        if page.next <= from {
            break;
        }
    }
    let Some(snapshot) = newest else {
        tokio::time::sleep(RETRY).await;
        return;
    };
    adopt(state, &snapshot);
}

/// Puts a snapshot in force, unless it is older than what is in force.
fn adopt(state: &state::State, snapshot: &fold::Snapshot) {
    {
        let mut fold = state.config.fold();
        if snapshot.at <= fold.revision() {
            return;
        }
        *fold = fold::Fold::restore(snapshot);
        state.config.recent().clear();
        publish(state, fold.catalog());
        state.revision.send_replace(fold.revision());
    }
    view::refresh(state);
}

fn snapshot(value: &Value) -> Option<fold::Snapshot> {
    match record::parse(value) {
        record::Parsed::Known(record::Record::Snapshot(snapshot)) => Some(*snapshot),
        _ => None,
    }
}

/// Appends a change and waits until this node has read it back.
///
/// # Errors
///
/// [`status::Error::Conflict`], [`status::Error::Invalid`] or [`status::Error::Unavailable`] if the
/// change is provably not in force; [`status::Error::Unknown`] if it may be.
pub async fn change(
    state: &state::State,
    change: change::Record,
) -> Result<server::Applied, status::Error> {
    if let Some(outcome) = state.config.fold().foresee(&change) {
        return answer(outcome);
    }
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let appended = stream.append(&record::from_change(change.clone())).await;
    let until = match appended {
        Ok(offset) => Some(offset + 1),
        Err(call::Error::Unknown(_)) => None,
        Err(error) => return Err(status::Error::Unavailable(error.to_string())),
    };
    let read_back = tokio::time::timeout(READ_BACK, resolved(state, &change, until)).await;
    let unknown = "the log did not answer; ask again with the same change id";
    let outcome = read_back.map_err(|_| status::Error::Unknown(unknown.to_owned()))?;
    answer(outcome)
}

/// Waits until a change is folded. `until` is the revision that has it, if that is known.
async fn resolved(
    state: &state::State,
    change: &change::Record,
    until: Option<id::Revision>,
) -> fold::Outcome {
    let mut revision = state.revision.subscribe();
    loop {
        if let Some(outcome) = state.config.fold().resolve(change) {
            return outcome;
        }
        if until.is_some_and(|it| it <= *revision.borrow_and_update()) {
            let reason = "the change's record isn't well formed".to_owned();
            return fold::Outcome::Invalid { reason };
        }
        if revision.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn answer(outcome: fold::Outcome) -> Result<server::Applied, status::Error> {
    match outcome {
        fold::Outcome::Accepted { revision } => Ok(server::Applied { revision, repeated: false }),
        fold::Outcome::Repeated { revision, first } => match answer(*first) {
            Ok(_) => Ok(server::Applied { revision, repeated: true }),
            Err(error) => Err(error),
        },
        fold::Outcome::Conflict { with } => Err(status::Error::Conflict {
            revision: with.revision,
            change: with.change,
            operator: with.operator,
        }),
        fold::Outcome::Invalid { reason } => Err(status::Error::Invalid(reason)),
        fold::Outcome::Skipped { .. } => {
            Err(status::Error::Unknown("the change's record was skipped".to_owned()))
        }
    }
}
