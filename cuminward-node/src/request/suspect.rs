//! Requests in flight at each replica, and which of them may have crashed it.

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

/// Parts of the requests in flight that have locks of their own.
const PARTS: usize = 16;

/// Questions to a host that decide whether its replica has crashed.
const TRIES: u32 = 3;

/// Time between two questions to a host.
const PAUSE: Duration = Duration::from_millis(50);

/// What a node knows about requests that crash replicas.
pub struct Tracker {
    ledger: ArcSwap<Ledger>,
    changing: Mutex<()>,
    isolation: Mutex<Isolation>,
    in_flight: [Mutex<HashMap<Start, Replica>>; PARTS],
    sender: mpsc::UnboundedSender<Record>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Record>>>,
}

/// One start of a replica.
type Start = (admission::Upstream, id::Incarnation);

/// Requests of this node at one start of a replica.
#[derive(Default)]
struct Replica {
    fingerprints: Vec<Fingerprint>,
    /// Whether the replica was found to have crashed, once that was looked into.
    crashed: Arc<AsyncMutex<bool>>,
}

/// A request in flight at a replica; dropping it ends it without clearing it.
pub struct Entry {
    suspects: Arc<Tracker>,
    start: Start,
    fingerprint: Fingerprint,
    token: Option<Permit>,
}

/// Life cycle
impl Default for Tracker {
    fn default() -> Tracker {
        let (sender, receiver) = mpsc::unbounded_channel();
        Tracker {
            ledger: ArcSwap::default(),
            changing: Mutex::default(),
            isolation: Mutex::default(),
            in_flight: Default::default(),
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

/// Access
impl Tracker {
    /// What may be done with a request.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        self.ledger.load().verdict(now, fingerprint)
    }

    /// Fingerprints that are refused now.
    pub fn refused(&self, now: Duration) -> Vec<Fingerprint> {
        self.ledger.load().refused(now).collect()
    }

    fn part(&self, start: &Start) -> MutexGuard<'_, HashMap<Start, Replica>> {
        let hash = quarantine::fingerprint(&start.0, &[]) as usize;
        self.in_flight[hash % PARTS].lock().expect("no code panics while it has the lock")
    }

    fn isolation(&self) -> MutexGuard<'_, Isolation> {
        self.isolation.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Tracker {
    /// Lets a request begin at a replica; `None` when it is suspected and the replica runs a suspect
    /// already, or another node may begin one there.
    pub fn enter(
        self: &Arc<Self>,
        state: &state::State,
        replica: &replica::Replica,
        fingerprint: Fingerprint,
        verdict: Verdict,
    ) -> Option<Entry> {
        let start = start(replica);
        let token = match verdict {
            Verdict::Suspect => self.isolate(state, &start, fingerprint)?,
            Verdict::Clear | Verdict::Refused => None,
        };
        let mut part = self.part(&start);
        part.entry(start.clone()).or_default().fingerprints.push(fingerprint);
        drop(part);
        Some(Entry { suspects: Arc::clone(self), start, fingerprint, token })
    }

    fn isolate(
        &self,
        state: &state::State,
        start: &Start,
        fingerprint: Fingerprint,
    ) -> Option<Option<Permit>> {
        let (node, nodes) = (&state.settings.node, state.peers.live_nodes(state));
        if !quarantine::is_turn(node, &nodes, &start.0, state::unix_time()) {
            return None;
        }
        self.isolation().begin(&start.0, fingerprint, Verdict::Suspect).ok()
    }

    /// Takes a record of any node over that was appended `age` ago.
    pub fn apply(&self, now: Duration, age: Duration, record: &Record) {
        let _changing = self.changing.lock().expect("no code panics while it has the lock");
        let mut ledger = Ledger::clone(&self.ledger.load());
        ledger.apply(now, age, record);
        self.ledger.store(Arc::new(ledger));
    }

    /// Records of this node that are to be appended to the log; to be taken once.
    pub fn take_records(&self) -> Option<mpsc::UnboundedReceiver<Record>> {
        self.receiver.lock().expect("no code panics while it has the lock").take()
    }

    /// Takes a record of this node over, for all nodes.
    fn publish(&self, now: Duration, record: Record) {
        self.apply(now, Duration::ZERO, &record);
        // The receiver is gone only while the node stops.
        let _ = self.sender.send(record);
    }
}

/// Life cycle
impl Entry {
    /// Notes how many tokens the attempt has had; a suspect that goes on is cleared everywhere.
    pub fn progress(&mut self, state: &state::State, tokens: u64) {
        if tokens >= quarantine::HARMLESS_TOKENS {
            self.clear(state);
        }
    }

    /// Ends a request that ran to its end; a suspected one is cleared everywhere.
    pub fn complete(mut self, state: &state::State) {
        self.clear(state);
    }

    fn clear(&mut self, state: &state::State) {
        if let Some(token) = self.token.take() {
            let record = self.suspects.isolation().complete(token);
            self.suspects.publish(state.now(), record);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.suspects.isolation().abandon(token);
        }
        let mut part = self.suspects.part(&self.start);
        let Some(replica) = part.get_mut(&self.start) else { return };
        if let Some(at) = replica.fingerprints.iter().position(|it| *it == self.fingerprint) {
            replica.fingerprints.swap_remove(at);
        }
        if replica.fingerprints.is_empty() {
            part.remove(&self.start);
        }
    }
}

/// Finds out whether a replica crashed whose connection was lost; the first request that asks looks
/// into it, the others wait for the result. After a crash everything in flight there is suspected.
pub async fn investigate(state: &Arc<state::State>, replica: &replica::Replica) {
    let start = start(replica);
    let known = state.suspects.part(&start).get(&start).map(|it| Arc::clone(&it.crashed));
    let Some(crashed) = known else { return };
    let mut crashed = crashed.lock().await;
    if *crashed || !has_crashed(state, replica).await {
        return;
    }
    *crashed = true;
    let in_flight = state.suspects.part(&start).get(&start).map(|it| it.fingerprints.clone());
    let (node, fingerprints) = (&state.settings.node, in_flight.unwrap_or_default());
    let record = state.suspects.isolation().record_crash(node, &start.0, start.1, &fingerprints);
    if let Some(record) = record {
        let refused = state.suspects.refused(state.now());
        state.suspects.publish(state.now(), record);
        report(state, &refused);
    }
}

/// Says which requests are refused from now on.
fn report(state: &state::State, former: &[Fingerprint]) {
    for fingerprint in state.suspects.refused(state.now()) {
        if !former.contains(&fingerprint) {
            let fingerprint = quarantine::to_hex(fingerprint);
            state.events.emit(Kind::RequestQuarantined { fingerprint, crashes: CRASHES });
        }
    }
}

/// Tells whether the replica isn't there any more: its host can't be reached, has started anew, or
/// serves no such formation. A host that is silent has not crashed. A stream may end a little before
/// its host does, so the last of some answers counts.
async fn has_crashed(state: &state::State, replica: &replica::Replica) -> bool {
    let mut crashed = false;
    for _ in 0..TRIES {
        match state.engines.report(&replica.address).await {
            Ok(report) if is_serving(&report, replica) => crashed = false,
            Ok(_) => return true,
            Err(error::Error::Silent { .. }) => return false,
            Err(_) => crashed = true,
        }
        tokio::time::sleep(PAUSE).await;
    }
    crashed
}

/// Tells whether a head reports the formation of a replica.
pub fn is_serving(report: &host::Report, replica: &replica::Replica) -> bool {
    let formation = report.membership.as_ref();
    let same =
        |it: &host::Membership| it.group == replica.group && it.generation == replica.generation;
    report.incarnation == replica.incarnation && formation.is_some_and(same)
}

fn start(replica: &replica::Replica) -> Start {
    (admission::replica_upstream(&replica.group, replica.generation), replica.incarnation)
}

/// Crashes after which a request is refused: one while it was suspected of nothing, one while it was
/// isolated.
const CRASHES: u64 = 2;
