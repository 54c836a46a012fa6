//! Records started idempotency keys in the platform's log.
//!
//! The nodes of a failure domain are ranked by rendezvous hash. The first [`LEDGERS`] live ones
//! read the stream of started keys: the first one accepts the claims of all nodes, the second one
//! is a hot standby. The order of the log decides which claim wins, so it is safe if two nodes
//! accept claims at the same time.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_core::{id, rendezvous};
use cuminward_once::{
    claim,
    ledger::{self, Input, Ledger, Output},
    record,
};
use cuminward_platform::{call, journal};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::state;

/// Number of nodes of a failure domain that read the stream.
pub const LEDGERS: usize = 2;

/// Item that the rendezvous hash ranks the nodes for.
const RANKED_ITEM: &str = "keys";

/// Capacity of the queue of events for the ledger.
const EVENT_CAPACITY: usize = 1_024;

/// Maximum number of records in one read.
const PAGE: usize = 500;

/// Maximum time that a read waits for a new record.
const WAIT: Duration = Duration::from_secs(2);

/// Delay between two reads while the log is unavailable.
const RETRY: Duration = Duration::from_millis(200);

/// Interval at which the node checks its rank.
const RANK_INTERVAL: Duration = Duration::from_millis(200);

/// Handle that sends claims to the ledger task.
pub struct Handle {
    sender: mpsc::Sender<Event>,
    receiver: Mutex<Option<mpsc::Receiver<Event>>>,
    /// Offset of the next read.
    position: AtomicU64,
}

/// Event for the ledger task.
enum Event {
    Claim { claim: claim::Claim, answer: oneshot::Sender<claim::Verdict> },
    Appended(ledger::Answer),
    Read { epoch: u64, read: journal::Read<Value> },
}

/// The ledger and the calls that wait for its decisions.
struct Task {
    state: Arc<state::State>,
    stream: journal::Stream,
    ledger: Ledger,
    /// Calls that wait for a verdict, by the number of their claim.
    waiting: std::collections::HashMap<ledger::Number, oneshot::Sender<claim::Verdict>>,
    next_number: ledger::Number,
    /// Whether the stream was read up to its end.
    caught_up: bool,
    /// Stops the reader when it is dropped; `None` while this node does not read.
    active_reader: Option<DropGuard>,
    /// Number of the current reader; pages of earlier readers are skipped.
    epoch: u64,
}

/// Reader of the stream.
struct Reader {
    state: Arc<state::State>,
    stream: journal::Stream,
    /// Offset of the next read.
    from: id::Offset,
    epoch: u64,
}

/// Life cycle
impl Default for Handle {
    fn default() -> Handle {
        let (sender, receiver) = mpsc::channel(EVENT_CAPACITY);
        let receiver = Mutex::new(Some(receiver));
        Handle { sender, receiver, position: AtomicU64::new(0) }
    }
}

/// Access
impl Handle {
    /// Claims a key at this node's ledger and returns its verdict. Refuses the claim if the queue
    /// is full or the node stops.
    pub async fn claim(&self, claim: claim::Claim) -> claim::Verdict {
        let (answer, verdict) = oneshot::channel();
        if self.sender.try_send(Event::Claim { claim, answer }).is_err() {
            return claim::Verdict::Refused(claim::Reason::Overloaded);
        }
        verdict.await.unwrap_or(claim::Verdict::Refused(claim::Reason::TimedOut))
    }

    /// Returns the offset of the next read of the stream; 0 on nodes that do not read it.
    pub fn position(&self) -> id::Offset {
        self.position.load(Ordering::Relaxed)
    }
}

/// Returns the nodes of the failure domain that run a ledger, in the order of their rank.
pub fn ledger_nodes(state: &state::State) -> Vec<id::Node> {
    let live = state.peers.live_nodes(state);
    let ranked = rendezvous::owners(live.iter().map(String::as_str), RANKED_ITEM, LEDGERS);
    ranked.into_iter().map(ToOwned::to_owned).collect()
}

/// Runs the ledger until the node stops.
pub async fn run(state: Arc<state::State>) {
    let receiver = state.keys.receiver.lock().expect("no code panics while it has the lock").take();
    let mut receiver = receiver.expect("the task is started once");
    let mut task = Task::new(Arc::clone(&state));
    let mut interval = tokio::time::interval(RANK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let wake = task.until_wake();
        tokio::select! {
            Some(event) = receiver.recv() => task.handle(event),
            _ = interval.tick() => task.check_rank(),
            () = tokio::time::sleep(wake) => task.step(Input::Tick),
            () = state.stop.cancelled() => return,
        }
    }
}

/// Life cycle
impl Task {
    fn new(state: Arc<state::State>) -> Task {
        let options = ledger::Options {
            retention: state.settings.platform.retention,
            ..ledger::Options::default()
        };
        Task {
            stream: journal::Stream::new(&state.settings.platform.log, record::STREAM),
            ledger: Ledger::new(state.settings.node.clone(), state.incarnation, options),
            state,
            waiting: std::collections::HashMap::new(),
            next_number: 0,
            caught_up: false,
            active_reader: None,
            epoch: 0,
        }
    }
}

/// Access
impl Task {
    /// Returns the time until the ledger has to be woken, at most [`RANK_INTERVAL`].
    fn until_wake(&self) -> Duration {
        let wake = self.ledger.wake_at().map(|it| it.saturating_sub(self.state.now()));
        wake.unwrap_or(RANK_INTERVAL).min(RANK_INTERVAL)
    }
}

/// Mutation
impl Task {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Claim { claim, answer } => self.claim(claim, answer),
            Event::Appended(answer) => self.step(Input::Appended(answer)),
            Event::Read { epoch, read } if epoch == self.epoch => self.read(read),
            Event::Read { .. } => {}
        }
    }

    /// Passes a claim to the ledger; refuses it unless the stream was read up to its end.
    fn claim(&mut self, claim: claim::Claim, answer: oneshot::Sender<claim::Verdict>) {
        if !self.caught_up {
            let _ = answer.send(claim::Verdict::Refused(claim::Reason::WindowIncomplete));
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.insert(number, answer);
        self.step(Input::Claim { number, claim });
    }

    fn read(&mut self, read: journal::Read<Value>) {
        match read {
            journal::Read::Trimmed { oldest } => {
                self.caught_up = false;
                self.step(Input::Trimmed { oldest });
            }
            journal::Read::Page(page) => {
                let next = page.next;
                self.step(Input::Read(decode(page)));
                self.caught_up |= next <= self.ledger.position();
            }
        }
        self.state.keys.position.store(self.ledger.position(), Ordering::Relaxed);
    }

    fn step(&mut self, input: Input) {
        for output in self.ledger.step(self.state.now(), input) {
            match output {
                Output::Append(started) => self.append(started),
                Output::Decide { number, verdict } => {
                    if let Some(answer) = self.waiting.remove(&number) {
                        let _ = answer.send(verdict);
                    }
                }
            }
        }
    }

    /// Appends a record in a task of its own, which sends the outcome back to the ledger.
    fn append(&self, started: record::KeyBatch) {
        let stream = self.stream.clone();
        let sender = self.state.keys.sender.clone();
        tokio::spawn(async move {
            let batch = started.batch.clone();
            let outcome = match stream.append(&record::Record::Started(started)).await {
                Ok(_) => ledger::Outcome::Stored,
                Err(error) => outcome(&error),
            };
            let _ = sender.send(Event::Appended(ledger::Answer { batch, outcome })).await;
        });
    }

    /// Starts or stops the reader as the node's rank requires. A node with pending claims reads on.
    fn check_rank(&mut self) {
        let wanted = ledger_nodes(&self.state).contains(&self.state.settings.node);
        if wanted && self.active_reader.is_none() {
            let stop = CancellationToken::new();
            let (state, stream) = (Arc::clone(&self.state), self.stream.clone());
            self.epoch += 1;
            let reader = Reader { state, stream, from: self.ledger.position(), epoch: self.epoch };
            tokio::spawn(reader.run(stop.clone()));
            self.active_reader = Some(stop.drop_guard());
        } else if !wanted && self.active_reader.is_some() && self.waiting.is_empty() {
            self.active_reader = None;
            self.epoch += 1;
            self.caught_up = false;
        }
        self.step(Input::Tick);
    }
}

/// Returns whether the record of a failed append may be stored. After a server error other than
/// unavailability that is unknown.
fn outcome(error: &call::Error) -> ledger::Outcome {
    match error {
        call::Error::Refused(refusal) if refusal.status < 500 => ledger::Outcome::NotStored,
        call::Error::Unavailable(_) => ledger::Outcome::NotStored,
        call::Error::Refused(_) | call::Error::Unknown(_) => ledger::Outcome::Unknown,
    }
}

fn decode(page: journal::Page<Value>) -> record::Page {
    let entry = |it: journal::Record<Value>| record::Entry {
        offset: it.offset,
        at_ms: it.at_ms,
        record: record::Record::from_json(it.value),
    };
    record::Page {
        oldest: page.oldest,
        next: page.next,
        entries: page.records.into_iter().map(entry).collect(),
    }
}

/// Life cycle
impl Reader {
    /// Reads the stream until it is cancelled.
    async fn run(mut self, stop: CancellationToken) {
        loop {
            let read = tokio::select! {
                read = self.stream.read::<Value>(self.from, PAGE, WAIT) => read,
                () = stop.cancelled() => return,
                () = self.state.stop.cancelled() => return,
            };
            let Ok(read) = read else {
                tokio::time::sleep(RETRY).await;
                continue;
            };
            self.from = match &read {
                journal::Read::Trimmed { oldest } => *oldest,
                journal::Read::Page(page) => {
                    page.records.last().map_or(self.from, |it| it.offset + 1)
                }
            };
            let event = Event::Read { epoch: self.epoch, read };
            if self.state.keys.sender.send(event).await.is_err() {
                return;
            }
        }
    }
}
