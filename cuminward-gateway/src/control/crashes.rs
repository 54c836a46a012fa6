//! Stores the crashes for which requests are blamed, so that a crashing request stays refused although all nodes
//! were killed.
//!
//! Each crash of a subject has a key of its own, so that nodes don't overwrite what others stored. A record is JSON
//! with named fields; readers ignore fields that they don't know, and records that they can't read.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cuminward_adapter::{store, topic};
use cuminward_derive::record;
use cuminward_event::kind::Kind;
use cuminward_serving::{
    id,
    quarantine::{QUARANTINE, Sighting, Subject},
};
use tokio::time;

use crate::state::State;

/// Pause after a failed read, for which the configuration waits.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a failed write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which records are deleted that no longer count.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(15);

/// A crash of a host while a request with a subject was in flight there, as it is stored.
#[record]
struct Entry {
    /// Subject of the request.
    subject: Subject,
    /// The crash.
    crash: id::Crash,
    /// Time of the crash by the clock of the node that saw it, in milliseconds since the Unix epoch.
    at_unix_ms: u64,
    /// Other parts that all suspect requests with the subject have had.
    #[serde(default)]
    companions: BTreeSet<Subject>,
}

/// Life cycle
impl Entry {
    fn new(sighting: &Sighting, now_unix: Duration) -> Entry {
        Entry {
            subject: sighting.subject,
            crash: sighting.crash,
            at_unix_ms: now_unix.saturating_sub(sighting.age).as_millis() as u64,
            companions: sighting.companions.clone(),
        }
    }
}

/// Access
impl Entry {
    /// Returns the crash with its age. A clock that was set back makes it no younger than new.
    fn sighting(&self, now_unix: Duration) -> Sighting {
        Sighting {
            subject: self.subject,
            crash: self.crash,
            age: now_unix.saturating_sub(Duration::from_millis(self.at_unix_ms)),
            companions: self.companions.clone(),
        }
    }
}

/// Identity of a stored crash.
type Id = (Subject, id::Crash);

/// Stored crashes that this node deletes once they no longer count.
#[derive(Debug, Default)]
struct Stored {
    /// Stored by this node.
    own: BTreeSet<Id>,
    /// Stored before the node's start, by any node.
    former: BTreeSet<Id>,
}

/// Stores crashes, and deletes those that no longer count, until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let mut eras = state.store.era();
    let mut stored = Stored { former: restore_first(&state).await, ..Stored::default() };
    loop {
        // Whether the interval passed, a crash was recorded or the store came back, all is checked again.
        let _ = time::timeout(CLEANUP_INTERVAL, state.quarantine.unstored.notified()).await;
        if eras.has_changed().unwrap_or(false) {
            eras.borrow_and_update();
            state.quarantine.clear_stored();
        }
        let result = match store_new(&state, &mut stored).await {
            Ok(()) => delete_old(&state, &mut stored).await,
            error => error,
        };
        if let Err(error) = result {
            log::warn!("can't store crashes of hosts: {error}");
            time::sleep(WRITE_RETRY_PAUSE).await;
            state.quarantine.unstored.notify_one();
        }
    }
}

/// Restores the crashes, again and again until it succeeds, and returns what is stored.
async fn restore_first(state: &State) -> BTreeSet<Id> {
    loop {
        match restore(state).await {
            Ok(stored) => return stored,
            Err(error) => log::debug!("can't read the crashes of hosts: {error}"),
        }
        time::sleep(READ_RETRY_PAUSE).await;
    }
}

/// Reads the stored crashes and records those that still count. Returns all of them.
///
/// # Errors
///
/// Any error of the store, but for a topic that doesn't exist yet.
async fn restore(state: &State) -> Result<BTreeSet<Id>, store::Error> {
    let records = match state.store.read_newest(topic::CRASHES).await {
        Ok(page) => page.records,
        Err(store::Error::Refused(_)) => Vec::new(),
        Err(error) => return Err(error),
    };
    let now_unix = unix_time();
    let values = records.iter().filter_map(|it| Some((&it.key, it.value.as_deref()?)));
    let entries: Vec<Entry> = values.filter_map(|(key, value)| decode(key, value)).collect();
    let all = entries.iter().map(|it| (it.subject, it.crash)).collect();
    let sightings = entries.iter().map(|it| it.sighting(now_unix));
    let current: Vec<Sighting> = sightings.filter(|it| it.age < QUARANTINE).collect();
    if !entries.is_empty() {
        let (crashes, outdated) = (current.len() as u64, (entries.len() - current.len()) as u64);
        state.events.emit(Kind::CrashesRestored { crashes, outdated });
    }
    state.quarantine.restore(state.now(), &current);
    state.update_quarantine();
    Ok(all)
}

fn decode(key: &str, value: &[u8]) -> Option<Entry> {
    let entry = serde_json::from_slice(value);
    entry.inspect_err(|error| log::warn!("stored crash {key} is malformed: {error}")).ok()
}

/// Stores the crashes that aren't stored yet.
async fn store_new(state: &State, stored: &mut Stored) -> Result<(), store::Error> {
    let new = state.quarantine.unstored(state.now());
    if new.is_empty() {
        return Ok(());
    }
    let now_unix = unix_time();
    let encoded: Vec<(String, Vec<u8>)> = new
        .iter()
        .map(|it| {
            let value = serde_json::to_vec(&Entry::new(it, now_unix));
            let value = value.expect("numbers and lists are valid JSON");
            (key((it.subject, it.crash)), value)
        })
        .collect();
    let entries: Vec<(&str, &[u8])> =
        encoded.iter().map(|(key, value)| (key.as_str(), value.as_slice())).collect();
    state.store.put_all(topic::CRASHES, &entries).await?;
    state.quarantine.record_stored(&new);
    stored.own.extend(new.iter().map(|it| (it.subject, it.crash)));
    state.events.emit(Kind::CrashesStored { crashes: new.len() as u64 });
    Ok(())
}

/// Deletes crashes that no longer count: those that this node stored, and its share of former ones.
async fn delete_old(state: &State, stored: &mut Stored) -> Result<(), store::Error> {
    let is_old = |it: &&Id| !state.quarantine.is_blamed(it.0, it.1);
    let own: Vec<Id> = stored.own.iter().filter(is_old).copied().collect();
    let former: Vec<Id> = stored.former.iter().filter(is_old).copied().collect();
    if own.is_empty() && former.is_empty() {
        return Ok(());
    }
    let keys = deletable_keys(state, &own, &former);
    if !keys.is_empty() {
        let entries: Vec<(&str, &[u8])> =
            keys.iter().map(|it| (it.as_str(), b"".as_slice())).collect();
        state.store.put_all(topic::CRASHES, &entries).await?;
    }
    own.iter().for_each(|it| {
        stored.own.remove(it);
    });
    former.iter().for_each(|it| {
        stored.former.remove(it);
    });
    Ok(())
}

/// Returns the keys of this node's crashes, and of those former ones that no other node deletes.
fn deletable_keys(state: &State, own: &[Id], former: &[Id]) -> BTreeSet<String> {
    let cluster = state.cluster();
    let share = former.iter().filter(|it| cluster.nodes.rank(it.1) == 0);
    own.iter().chain(share).map(|it| key(*it)).collect()
}

/// Returns the key of a crash.
fn key((subject, crash): Id) -> String {
    format!("{subject}/{crash:x}")
}

/// Returns the time of day. Before the epoch it counts as the epoch.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
