//! Follows the topics of the store that hold the declarations and the host list.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use cuminward_adapter::{store, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    freshness,
    position::Position,
    scaling,
    table::{Batch, Record},
};
use tokio::time;

use crate::state::State;

/// Range of the time in milliseconds that a read of the declarations waits for a change. A read may
/// miss a change while it waits, so it ends well before a change has to be in force. The time is random
/// so that the nodes read at different moments: a node that has read a change passes it on to the
/// others.
const DECLARATION_WAIT_MS: RangeInclusive<u64> = 800..=1400;

/// The same for a node that reads them for others as well, which take them from it some time later.
const SHARED_DECLARATION_WAIT_MS: RangeInclusive<u64> = 500..=900;

/// Longest time for which the configuration waits for the stored crashes, which may be unreadable by themselves.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a node reads the host list, in a small and in a large system.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(600);
const MAX_HOST_LIST_INTERVAL: Duration = Duration::from_millis(1200);

/// Longest interval of a node that reads it for others as well, which take it from this node some time later.
const MAX_SHARED_HOST_LIST_INTERVAL: Duration = Duration::from_millis(1000);

/// The same, and the range of the time that a read of the declarations waits, where others take it from those in turn.
const MAX_DEEP_HOST_LIST_INTERVAL: Duration = Duration::from_millis(700);
const DEEP_DECLARATION_WAIT_MS: RangeInclusive<u64> = 350..=650;

/// Time per node over which the nodes that leave reading to others spread their own reads, when what they have from the
/// others is too old: if all of a large system read at once, the store would answer none of them in time.
const SPREAD_PER_NODE: Duration = Duration::from_millis(2);

/// Longest pause of such a node after its reads failed. It is less than the time without disturbance after which bounds
/// on the age of what a node has apply.
const MAX_OBSERVER_PAUSE: Duration = Duration::from_millis(1600);

/// Interval at which a steward reads the host list, without and with orders or formations in progress.
const STEWARD_INTERVAL: Duration = Duration::from_millis(300);
const BUSY_STEWARD_INTERVAL: Duration = Duration::from_millis(120);

/// Longest time after which a node that leaves reading the store to others checks how fresh what it has from them
/// is.
const READERS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Duration of a store outage after which records that expired during the outage may reappear.
const MIN_OUTAGE: Duration = Duration::from_millis(800);

/// Time after such an outage for which deletions are deferred: hosts that are alive write their records again
/// within about this time. Together with the timeout by which a node may notice that it reaches the store again, it
/// is less than the time after which the node counts as in touch.
const DEFERRAL: Duration = Duration::from_millis(2000);

/// Follows the declarations until the task is dropped.
pub(crate) async fn follow_declarations(state: Arc<State>) {
    // Requests are forwarded once the catalog is known, and then none may be that crashed hosts before.
    let _ = time::timeout(RESTORE_TIMEOUT, state.quarantine.wait_until_restored()).await;
    let mut needs_all = true;
    let mut health = Health::new("declarations");
    loop {
        let fresh_for = || state.cluster().freshness.declarations.fresh_for(state.now());
        if wait_for_others(&state, fresh_for).await {
            continue;
        }
        let read = if needs_all {
            read_all_declarations(&state).await
        } else {
            read_next_declarations(&state).await
        };
        if read == Err(store::Error::EraEnded) {
            needs_all = true;
            continue;
        }
        needs_all = match &read {
            Ok(()) => false,
            Err(store::Error::Missing { .. }) => true,
            Err(_) => needs_all,
        };
        health.record(&state.events, state.now(), read.as_ref().err());
        if read.is_err() {
            time::sleep(health.retry_pause(&state)).await;
        }
    }
}

/// Leaves reading to others, if this node does and what it has from them is fresh or becomes so within a random time.
/// Returns whether the node needn't read the store now.
async fn wait_for_others(state: &State, fresh_for: impl Fn() -> Duration) -> bool {
    if !state.election.is_observer() {
        return false;
    }
    let remaining = fresh_for();
    if !remaining.is_zero() {
        time::sleep(remaining.min(READERS_CHECK_INTERVAL)).await;
        return true;
    }
    time::sleep((SPREAD_PER_NODE * state.node_count() as u32).mul_f64(rand::random())).await;
    !fresh_for().is_zero()
}

async fn read_all_declarations(state: &State) -> Result<(), store::Error> {
    let sent_at = state.now();
    let page = state.store.read_newest(topic::DECLARATIONS).await?;
    let mut cluster = state.cluster();
    cluster.replace_declarations(state.now(), page.records, page.next);
    cluster.declarations.release();
    cluster.confirm_declarations(sent_at);
    drop(cluster);
    state.publish();
    Ok(())
}

async fn read_next_declarations(state: &State) -> Result<(), store::Error> {
    let from = state.cluster().declarations.end();
    let range = match (state.election.has_observers(), state.election.depth()) {
        (true, 2..) => DEEP_DECLARATION_WAIT_MS,
        (true, _) => SHARED_DECLARATION_WAIT_MS,
        (false, _) => DECLARATION_WAIT_MS,
    };
    let wait = Duration::from_millis(rand::random_range(range));
    let sent_at = state.now();
    let page = state.store.read(topic::DECLARATIONS, from, wait).await?;
    let now = state.now();
    let complete_at = freshness::read_moment(sent_at, now, wait, page.records.is_empty());
    let batch = Batch { records: page.records, whole_before: None };
    let mut cluster = state.cluster();
    cluster.declarations.release_since(from);
    let is_changed = cluster.apply_declarations(now, batch);
    cluster.confirm_declarations(complete_at);
    drop(cluster);
    if is_changed {
        state.publish();
    }
    Ok(())
}

/// Follows the host list until the task is dropped.
pub(crate) async fn follow_host_list(state: Arc<State>) {
    let mut reader = HostListReader::new();
    loop {
        let fresh_for = || state.cluster().freshness.listing.fresh_for(state.now());
        if wait_for_others(&state, fresh_for).await {
            continue;
        }
        let read_at = state.now();
        let read = reader.read(&state).await;
        if read.is_ok() {
            state.record_host_list_read(read_at);
            state.cluster().confirm_listing(read_at);
        }
        reader.record(&state, read.as_ref().err());
        // Whether the interval passed, deletions are due or this node became a steward, the list is read again.
        let _ = time::timeout(reader.pause(&state), state.election.won.notified()).await;
    }
}

/// Reader of the host list.
struct HostListReader {
    /// Whether the next read fetches the newest record of every key.
    needs_all: bool,
    /// Position at which the next read begins. Later records may already be known from other nodes.
    next: Position,
    health: Health,
    /// Until when deletions are deferred, since the node's start, as the hosts may write their records
    /// again.
    deferred_until: Duration,
    /// Deferred deletions.
    deferred: Vec<Record>,
}

/// Life cycle
impl HostListReader {
    fn new() -> HostListReader {
        HostListReader {
            needs_all: true,
            next: Position::default(),
            health: Health::new("list of hosts"),
            deferred_until: Duration::ZERO,
            deferred: Vec::new(),
        }
    }
}

/// Mutation
impl HostListReader {
    async fn read(&mut self, state: &State) -> Result<(), store::Error> {
        let mut is_changed = false;
        if !self.needs_all {
            match self.read_next(state).await {
                Err(store::Error::EraEnded) => self.needs_all = true,
                read => is_changed = read?,
            }
        }
        if self.needs_all {
            is_changed = self.read_all(state).await?;
        }
        if is_changed | self.apply_deferred(state) {
            state.publish();
        }
        Ok(())
    }

    async fn read_all(&mut self, state: &State) -> Result<bool, store::Error> {
        let page = state.store.read_newest(topic::HOSTS).await?;
        let now = state.now();
        let mut cluster = state.cluster();
        // If the list is of a newer era, what it lacks isn't removed at once anyway.
        let is_same_era = page.next.era == cluster.host_list.end().era;
        if now < self.deferred_until && is_same_era {
            // Which keys were deleted since isn't known.
            let end = cluster.host_list.end();
            cluster.host_list.withhold(end);
            for record in page.records {
                cluster.apply_host_record(now, &record);
            }
            return Ok(true);
        }
        cluster.replace_host_list(now, page.records, page.next);
        cluster.host_list.release();
        self.deferred.clear();
        self.next = page.next;
        self.needs_all = false;
        Ok(true)
    }

    async fn read_next(&mut self, state: &State) -> Result<bool, store::Error> {
        // What other nodes have read meanwhile needn't be read again.
        let from = self.next.max(state.cluster().freshness.listing.end());
        let page = state.store.read(topic::HOSTS, from, Duration::ZERO).await?;
        let now = state.now();
        let mut cluster = state.cluster();
        let mut is_changed = false;
        for record in page.records {
            if record.value.is_none() && now < self.deferred_until {
                cluster.host_list.withhold(record.position);
                self.deferred.push(record);
            } else {
                is_changed |= cluster.apply_host_record(now, &record);
            }
        }
        cluster.host_list.advance(page.next);
        if self.deferred.is_empty() {
            cluster.host_list.release();
        }
        self.next = page.next;
        Ok(is_changed)
    }

    /// Applies deferred deletions of hosts that wrote no newer record. Returns whether anything changed.
    fn apply_deferred(&mut self, state: &State) -> bool {
        let now = state.now();
        if now < self.deferred_until || self.deferred.is_empty() {
            return false;
        }
        let mut cluster = state.cluster();
        let deferred = std::mem::take(&mut self.deferred);
        let is_changed =
            deferred.iter().fold(false, |changed, it| cluster.apply_host_record(now, it) | changed);
        cluster.host_list.release();
        is_changed
    }

    fn record(&mut self, state: &State, error: Option<&store::Error>) {
        let now = state.now();
        if matches!(error, Some(store::Error::Missing { .. })) {
            self.needs_all = true;
        }
        let outage = self.health.record(&state.events, now, error);
        if outage > MIN_OUTAGE {
            self.deferred_until = now + DEFERRAL;
        }
    }

    /// Returns the time until the next read.
    fn pause(&self, state: &State) -> Duration {
        let interval = self.interval(state);
        let now = state.now();
        if self.deferred.is_empty() || now >= self.deferred_until {
            return interval;
        }
        interval.min(self.deferred_until - now)
    }

    fn interval(&self, state: &State) -> Duration {
        if self.health.failing_since.is_some() {
            return self.health.retry_pause(state);
        }
        match (state.election.is_steward(), state.election.has_pending_changes()) {
            (true, true) => BUSY_STEWARD_INTERVAL,
            (true, false) => STEWARD_INTERVAL,
            (false, _) => {
                let max = match (state.election.has_observers(), state.election.depth()) {
                    (true, 2..) => MAX_DEEP_HOST_LIST_INTERVAL,
                    (true, _) => MAX_SHARED_HOST_LIST_INTERVAL,
                    (false, _) => MAX_HOST_LIST_INTERVAL,
                };
                scaling::stretch_interval(HOST_LIST_INTERVAL, max, state.node_count())
            }
        }
    }
}

/// Tracks whether reads of a topic succeed, and records an event at each change.
struct Health {
    topic: &'static str,
    failing_since: Option<Duration>,
    /// Number of reads that failed since the last one that succeeded.
    failures: u32,
}

/// Life cycle
impl Health {
    fn new(topic: &'static str) -> Health {
        Health { topic, failing_since: None, failures: 0 }
    }
}

/// Access
impl Health {
    /// Returns the pause after a failed read. It grows at nodes that leave reading to others.
    fn retry_pause(&self, state: &State) -> Duration {
        if !state.election.is_observer() {
            return RETRY_PAUSE;
        }
        let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        pause.min(MAX_OBSERVER_PAUSE).mul_f64(0.5 + 0.5 * rand::random::<f64>())
    }
}

/// Mutation
impl Health {
    /// Records the result of a read. Returns the duration of the outage that this read ends, or zero.
    fn record(&mut self, events: &Sink, now: Duration, error: Option<&store::Error>) -> Duration {
        self.failures = if error.is_some() { self.failures.saturating_add(1) } else { 0 };
        match (error, self.failing_since) {
            (None, Some(since)) => {
                let outage = now.saturating_sub(since);
                let (purpose, outage_ms) = (self.topic.to_owned(), outage.as_millis() as u64);
                events.emit(Kind::StoreRecovered { purpose, outage_ms });
                self.failing_since = None;
                outage
            }
            (Some(error), None) => {
                let (purpose, cause) = (self.topic.to_owned(), error.to_string());
                events.emit(Kind::StoreUnavailable { purpose, cause });
                self.failing_since = Some(now);
                Duration::ZERO
            }
            _ => Duration::ZERO,
        }
    }
}
