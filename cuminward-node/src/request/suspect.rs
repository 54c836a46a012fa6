//! Tracks the requests in flight at each replica, detects crashes, and quarantines requests that
//! crash replicas.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_core::{host, id, replica};
use cuminward_event::kind::Kind;
use cuminward_route::{
    admission,
    quarantine::{self, Fingerprint, Isolation, Ledger, Permit, Record, Verdict},
};
use cuminward_upstream::error;
use tokio::sync::{Mutex as AsyncMutex, mpsc};

use crate::state;

/// Number of shards of the requests in flight; each has a lock of its own.
const SHARDS: usize = 16;

/// Number of probes of a host that decide whether its replica has crashed.
const CRASH_PROBES: u32 = 3;

/// Time between two of these probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the requests in flight at replicas, and the fingerprints of those suspected of crashing
/// one.
pub struct Tracker {
    ledger: ArcSwap<Ledger>,
    /// Serializes changes of the ledger.
    ledger_writes: Mutex<()>,
    isolation: Mutex<Isolation>,
    in_flight: [Mutex<HashMap<Instance, InFlight>>; SHARDS],
    sender: mpsc::UnboundedSender<Record>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Record>>>,
}

/// Identifies one run of a replica: a new formation or a restart is another instance.
type Instance = (admission::Upstream, id::Incarnation);

/// Requests of this node in flight at one instance of a replica.
#[derive(Default)]
struct InFlight {
    fingerprints: Vec<Fingerprint>,
    /// Whether the instance was found to have crashed.
    crashed: Arc<AsyncMutex<bool>>,
}

/// A request in flight at a replica. Dropping it ends the request without clearing it of suspicion.
pub struct Entry {
    tracker: Arc<Tracker>,
    instance: Instance,
    fingerprint: Fingerprint,
    permit: Option<Permit>,
}

/// Life cycle
impl Default for Tracker {
    fn default() -> Tracker {
        let (sender, receiver) = mpsc::unbounded_channel();
        Tracker {
            ledger: ArcSwap::default(),
            ledger_writes: Mutex::default(),
            isolation: Mutex::default(),
            in_flight: Default::default(),
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

/// Access
impl Tracker {
    /// Returns whether a request is unsuspected, suspected of crashing replicas, or refused.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        self.ledger.load().verdict(now, fingerprint)
    }

    /// Returns the fingerprints that are refused now.
    pub fn refused(&self, now: Duration) -> Vec<Fingerprint> {
        self.ledger.load().refused(now).collect()
    }

    fn shard(&self, instance: &Instance) -> MutexGuard<'_, HashMap<Instance, InFlight>> {
        let hash = quarantine::fingerprint(&instance.0, &[]) as usize;
        self.in_flight[hash % SHARDS].lock().expect("no code panics while it has the lock")
    }

    fn isolation(&self) -> MutexGuard<'_, Isolation> {
        self.isolation.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Tracker {
    /// Adds a request to those in flight at a replica. Returns `None` if the request is suspected
    /// and the replica already runs a suspect, or if it is another node's turn to run a suspect
    /// there.
    pub fn begin(
        self: &Arc<Self>,
        state: &state::State,
        replica: &replica::Replica,
        fingerprint: Fingerprint,
        verdict: Verdict,
    ) -> Option<Entry> {
        let instance = instance_of(replica);
        let permit = match verdict {
            Verdict::Suspect => self.begin_isolated(state, &instance, fingerprint)?,
            Verdict::Clear | Verdict::Refused => None,
        };
        let mut shard = self.shard(&instance);
        shard.entry(instance.clone()).or_default().fingerprints.push(fingerprint);
        drop(shard);
        Some(Entry { tracker: Arc::clone(self), instance, fingerprint, permit })
    }

    /// Reserves a replica for a suspected request, so that it runs no other suspect at the same
    /// time.
    fn begin_isolated(
        &self,
        state: &state::State,
        instance: &Instance,
        fingerprint: Fingerprint,
    ) -> Option<Option<Permit>> {
        let (node, nodes) = (&state.settings.node, state.peers.live_nodes(state));
        if !quarantine::is_turn(node, &nodes, &instance.0, state::unix_time()) {
            return None;
        }
        self.isolation().begin(&instance.0, fingerprint, Verdict::Suspect).ok()
    }

    /// Applies a record of any node, which was appended to the log `age` ago.
    pub fn apply(&self, now: Duration, age: Duration, record: &Record) {
        let _guard = self.ledger_writes.lock().expect("no code panics while it has the lock");
        let mut ledger = Ledger::clone(&self.ledger.load());
        ledger.apply(now, age, record);
        self.ledger.store(Arc::new(ledger));
    }

    /// Takes the receiver of this node's records, which are to be appended to the log; returns
    /// `None` from the second call on.
    pub fn take_records(&self) -> Option<mpsc::UnboundedReceiver<Record>> {
        self.receiver.lock().expect("no code panics while it has the lock").take()
    }

    /// Applies a record of this node and sends it to be appended to the log, for the other nodes.
    fn publish(&self, now: Duration, record: Record) {
        self.apply(now, Duration::ZERO, &record);
        // The receiver is dropped only while the node shuts down.
        let _ = self.sender.send(record);
    }
}

/// Life cycle
impl Entry {
    /// Records how many tokens the attempt has produced. A suspected request is cleared on all
    /// nodes after [`quarantine::HARMLESS_TOKENS`] tokens.
    pub fn record_progress(&mut self, state: &state::State, tokens: u64) {
        if tokens >= quarantine::HARMLESS_TOKENS {
            self.clear(state);
        }
    }

    /// Ends a request that is complete; a suspected one is cleared on all nodes.
    pub fn complete(mut self, state: &state::State) {
        self.clear(state);
    }

    fn clear(&mut self, state: &state::State) {
        if let Some(permit) = self.permit.take() {
            let record = self.tracker.isolation().complete(permit);
            self.tracker.publish(state.now(), record);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.tracker.isolation().abandon(permit);
        }
        let mut shard = self.tracker.shard(&self.instance);
        let Some(in_flight) = shard.get_mut(&self.instance) else { return };
        if let Some(at) = in_flight.fingerprints.iter().position(|it| *it == self.fingerprint) {
            in_flight.fingerprints.swap_remove(at);
        }
        if in_flight.fingerprints.is_empty() {
            shard.remove(&self.instance);
        }
    }
}

/// Checks whether a replica crashed after a connection to it was lost. The first caller probes the
/// host and concurrent callers wait for the result. After a crash, all requests of this node in
/// flight there are suspected.
pub async fn check_for_crash(state: &Arc<state::State>, replica: &replica::Replica) {
    let instance = instance_of(replica);
    let result = state.suspects.shard(&instance).get(&instance).map(|it| Arc::clone(&it.crashed));
    let Some(crashed) = result else { return };
    let mut crashed = crashed.lock().await;
    if *crashed || !has_crashed(state, replica).await {
        return;
    }
    *crashed = true;
    let in_flight =
        state.suspects.shard(&instance).get(&instance).map(|it| it.fingerprints.clone());
    let (node, fingerprints) = (&state.settings.node, in_flight.unwrap_or_default());
    let record =
        state.suspects.isolation().record_crash(node, &instance.0, instance.1, &fingerprints);
    if let Some(record) = record {
        let refused = state.suspects.refused(state.now());
        state.suspects.publish(state.now(), record);
        emit_quarantined(state, &refused);
    }
}

/// Emits an event for each fingerprint that is refused now and wasn't among `previous`.
fn emit_quarantined(state: &state::State, previous: &[Fingerprint]) {
    for fingerprint in state.suspects.refused(state.now()) {
        if !previous.contains(&fingerprint) {
            let fingerprint = quarantine::to_hex(fingerprint);
            state
                .events
                .emit(Kind::RequestQuarantined { fingerprint, crashes: QUARANTINE_CRASHES });
        }
    }
}

/// Returns whether a replica has crashed: its host can't be reached, has restarted, or doesn't
/// report its formation. A host that accepts connections but doesn't answer has not crashed. A
/// stream may break shortly before its host exits, so the host is probed several times and the last
/// result counts.
async fn has_crashed(state: &state::State, replica: &replica::Replica) -> bool {
    let mut crashed = false;
    for _ in 0..CRASH_PROBES {
        match state.engines.fetch_report(&replica.address).await {
            Ok(report) if is_serving(&report, replica) => crashed = false,
            Ok(_) => return true,
            Err(error::Error::Timeout { .. }) => return false,
            Err(_) => crashed = true,
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    crashed
}

/// Returns whether a report of the head host shows that the host hasn't restarted and still serves
/// the formation of the replica.
pub fn is_serving(report: &host::Report, replica: &replica::Replica) -> bool {
    let formation = report.membership.as_ref();
    let is_same =
        |it: &host::Membership| it.group == replica.group && it.generation == replica.generation;
    report.incarnation == replica.incarnation && formation.is_some_and(is_same)
}

fn instance_of(replica: &replica::Replica) -> Instance {
    (admission::replica_upstream(&replica.group, replica.generation), replica.incarnation)
}

/// Number of crashes after which a request is refused: one that made it a suspect, and one while it
/// ran in isolation.
const QUARANTINE_CRASHES: u64 = 2;
