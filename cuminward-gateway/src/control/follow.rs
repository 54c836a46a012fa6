//! Follows the declarations and the list of hosts in the store.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use cuminward_adapter::{store, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{id, scaling, table::Record};
use tokio::time;

use crate::state::State;

/// Shortest and longest time that a read of the declarations waits for a change. A read may miss a
/// change while it waits, so it ends well before a change has to be in force; different times keep the
/// reads of the nodes apart, as they tell each other.
const DECLARATION_WAIT_MS: RangeInclusive<u64> = 800..=1400;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which nodes read the list of hosts, if they are few and if they are many.
const LISTING_INTERVAL: Duration = Duration::from_millis(600);
const MAX_LISTING_INTERVAL: Duration = Duration::from_millis(1200);

/// The same for a steward, and for one whose orders are under way.
const STEWARD_INTERVAL: Duration = Duration::from_millis(300);
const BUSY_STEWARD_INTERVAL: Duration = Duration::from_millis(120);

/// Interval at which a node reads the list for which others read it, as they may keep to themselves that a
/// host is gone.
const OWN_LISTING_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which such a node looks whether they still do.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Failures of the store after which lapsed entries may come back.
const OUTAGE: Duration = Duration::from_millis(800);

/// Time after an outage within which hosts that live are back in the list.
const LAPSE_GRACE: Duration = Duration::from_millis(2500);

/// Follows the declarations until the task is dropped.
pub(crate) async fn declarations(state: Arc<State>) {
    let mut needs_all = true;
    let mut health = Health::new("declarations");
    loop {
        if state.duty.has_readers(state.now()) {
            time::sleep(LOOK_INTERVAL).await;
            continue;
        }
        let read = if needs_all { all_declarations(&state).await } else { next(&state).await };
        needs_all = match &read {
            Ok(()) => false,
            Err(store::Error::Trimmed) => true,
            Err(_) => needs_all,
        };
        health.note(&state.events, state.now(), read.as_ref().err());
        if read.is_err() {
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn all_declarations(state: &State) -> Result<(), store::Error> {
    let page = state.store.read_newest(topic::DECLARATIONS).await?;
    state.knowledge().declare_all(page.records, page.next_offset);
    state.publish();
    Ok(())
}

async fn next(state: &State) -> Result<(), store::Error> {
    let from = state.knowledge().declarations.end();
    let wait = Duration::from_millis(rand::random_range(DECLARATION_WAIT_MS));
    let page = state.store.read(topic::DECLARATIONS, from, wait).await?;
    let mut is_changed = false;
    for record in page.records {
        is_changed |= state.knowledge().declare(&record);
    }
    if is_changed {
        state.publish();
    }
    Ok(())
}

/// Follows the list of hosts until the task is dropped.
pub(crate) async fn listing(state: Arc<State>) {
    let mut follower = Follower::new();
    loop {
        let began = state.now();
        if state.duty.has_readers(began) && began < state.listing_read() + OWN_LISTING_INTERVAL {
            time::sleep(LOOK_INTERVAL).await;
            continue;
        }
        let read = follower.read(&state).await;
        if read.is_ok() {
            state.note_listing_read(began);
        }
        follower.note(&state, read.as_ref().err());
        // Either way the list is read again.
        let _ = time::timeout(follower.interval(&state), state.duty.began.notified()).await;
    }
}

/// Progress of the reader of the list of hosts.
struct Follower {
    needs_all: bool,
    /// Offset at which the next read begins; other nodes may have told of later entries.
    next: id::Offset,
    health: Health,
    /// Until when deletions are put off, as hosts may come back.
    lapses_until: Duration,
    /// Deletions that are put off.
    lapsed: Vec<Record>,
}

/// Life cycle
impl Follower {
    fn new() -> Follower {
        Follower {
            needs_all: true,
            next: 0,
            health: Health::new("list of hosts"),
            lapses_until: Duration::ZERO,
            lapsed: Vec::new(),
        }
    }
}

/// Mutation
impl Follower {
    async fn read(&mut self, state: &State) -> Result<(), store::Error> {
        let is_changed = if self.needs_all {
            self.read_all(state).await?
        } else {
            self.read_next(state).await?
        };
        if is_changed | self.apply_lapsed(state) {
            state.publish();
        }
        Ok(())
    }

    async fn read_all(&mut self, state: &State) -> Result<bool, store::Error> {
        let page = state.store.read_newest(topic::HOSTS).await?;
        let now = state.now();
        let mut knowledge = state.knowledge();
        if now < self.lapses_until {
            for record in page.records {
                knowledge.list(now, &record);
            }
            return Ok(true);
        }
        knowledge.list_all(now, page.records, page.next_offset);
        self.next = page.next_offset;
        self.needs_all = false;
        Ok(true)
    }

    async fn read_next(&mut self, state: &State) -> Result<bool, store::Error> {
        let page = state.store.read(topic::HOSTS, self.next, Duration::ZERO).await?;
        let now = state.now();
        let mut knowledge = state.knowledge();
        let mut is_changed = false;
        for record in page.records {
            if record.value.is_none() && now < self.lapses_until {
                knowledge.listing.advance(record.offset + 1);
                self.lapsed.push(record);
            } else {
                is_changed |= knowledge.list(now, &record);
            }
        }
        knowledge.listing.advance(page.next_offset);
        self.next = page.next_offset;
        Ok(is_changed)
    }

    /// Carries out deletions that were put off, unless the host has written since.
    fn apply_lapsed(&mut self, state: &State) -> bool {
        let now = state.now();
        if now < self.lapses_until || self.lapsed.is_empty() {
            return false;
        }
        let mut knowledge = state.knowledge();
        let lapsed = std::mem::take(&mut self.lapsed);
        lapsed.iter().fold(false, |changed, it| knowledge.list(now, it) | changed)
    }

    fn note(&mut self, state: &State, error: Option<&store::Error>) {
        let now = state.now();
        if error == Some(&store::Error::Trimmed) {
            self.needs_all = true;
        }
        let outage = self.health.note(&state.events, now, error);
        if outage > OUTAGE {
            self.lapses_until = now + LAPSE_GRACE;
        }
    }

    fn interval(&self, state: &State) -> Duration {
        if self.health.failing_since.is_some() {
            return RETRY_PAUSE;
        }
        match (state.duty.is_steward(), state.duty.is_busy()) {
            (true, true) => BUSY_STEWARD_INTERVAL,
            (true, false) => STEWARD_INTERVAL,
            (false, _) => {
                scaling::stretch_interval(LISTING_INTERVAL, MAX_LISTING_INTERVAL, state.nodes())
            }
        }
    }
}

/// Whether reads of a topic succeed; logs each change.
struct Health {
    topic: &'static str,
    failing_since: Option<Duration>,
}

/// Life cycle
impl Health {
    fn new(topic: &'static str) -> Health {
        Health { topic, failing_since: None }
    }
}

/// Mutation
impl Health {
    /// Notes the result of a read. Returns how long reads had failed if this one ends an outage.
    fn note(&mut self, events: &Sink, now: Duration, error: Option<&store::Error>) -> Duration {
        match (error, self.failing_since) {
            (None, Some(since)) => {
                let outage = now.saturating_sub(since);
                let (purpose, outage_ms) = (self.topic.to_owned(), outage.as_millis() as u64);
                events.emit(Kind::StoreRegained { purpose, outage_ms });
                self.failing_since = None;
                outage
            }
            (Some(error), None) => {
                let (purpose, cause) = (self.topic.to_owned(), error.to_string());
                events.emit(Kind::StoreLost { purpose, cause });
                self.failing_since = Some(now);
                Duration::ZERO
            }
            _ => Duration::ZERO,
        }
    }
}
