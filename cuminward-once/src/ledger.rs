//! Decides claims of idempotency keys.
//!
//! One node of each failure domain runs the ledger for the others. Claims are collected into
//! batches, a batch is appended as one record, and a claim is decided when its record is read back:
//! everything before it has then been folded, so that whether it is the first claim of its key
//! within the window can't change any more. A lost answer to an append needs no repeat: the record
//! is found by the id of its batch, or the claims are refused when their time is over.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

use crate::{
    batch::{Batcher, Claimant, Pending},
    claim::{self, Reason, Verdict},
    record,
    window::{Occurrence, Window},
};

/// Number of a claim, chosen by the caller of the ledger.
pub type Number = u64;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Time for which keys are remembered, in the log's time.
    pub window: Duration,
    /// Time for which the log keeps records at least.
    pub retention: Duration,
    /// Shortest time between two batches.
    pub batch_interval: Duration,
    /// Most keys of a batch.
    pub max_keys: usize,
    /// Most appends without an answer.
    pub max_in_flight: usize,
    /// Most claims that wait for a decision.
    pub max_claims: usize,
    /// Longest time for a decision; shorter than [`claim::START_TIMEOUT`].
    pub decision_timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            window: Duration::from_secs(600),
            retention: Duration::ZERO,
            batch_interval: Duration::from_millis(50),
            max_keys: 2000,
            max_in_flight: 8,
            max_claims: 20_000,
            decision_timeout: Duration::from_secs(4),
        }
    }
}

/// What happens to the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A node claims a key.
    Claim {
        /// Number by which the decision names the claim.
        number: Number,
        /// The claim.
        claim: claim::Claim,
    },
    /// An append was answered or its answer was lost.
    Appended(Answer),
    /// The log was read from [`Ledger::position`] on.
    Read(record::Page),
    /// The log doesn't keep the record at [`Ledger::position`] any more.
    Trimmed {
        /// Oldest offset that it keeps.
        oldest: id::Offset,
    },
    /// Time passed.
    Tick,
}

/// Answer to an append.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the batch.
    pub batch: record::BatchId,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The record stands in the log.
    Stored,
    /// The log refused the record, which will never stand in it.
    NotStored,
    /// The record may stand in the log, now or later.
    Unknown,
}

/// What the ledger wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append a record to the stream, once.
    Append(record::KeyBatch),
    /// A claim is decided.
    Decide {
        /// Number of the claim.
        number: Number,
        /// The decision.
        verdict: Verdict,
    },
}

/// Claims and started keys.
#[derive(Debug)]
pub struct Ledger {
    node: id::Node,
    incarnation: id::Incarnation,
    options: Options,
    window: Window,
    batcher: Batcher,
    /// Offset to read from; `None` before the first page.
    position: Option<id::Offset>,
    next_batch: u64,
    /// Whether a claim was refused for want of a complete window, so that the log's time is wanted.
    wants_time: bool,
}

/// Life cycle
impl Ledger {
    /// Makes a ledger that knows nothing yet.
    pub fn new(node: id::Node, incarnation: id::Incarnation, options: Options) -> Ledger {
        Ledger {
            node,
            incarnation,
            window: Window::new(options.window, options.retention),
            options,
            batcher: Batcher::default(),
            position: None,
            next_batch: 0,
            wants_time: false,
        }
    }
}

/// Access
impl Ledger {
    /// Offset to read from next; reading begins at 0, which the log may answer as trimmed.
    pub fn position(&self) -> id::Offset {
        self.position.unwrap_or(0)
    }

    /// Keys within the window.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Number of claims without a decision.
    pub fn pending_count(&self) -> usize {
        self.batcher.len()
    }

    /// When [`Input::Tick`] is due, or `None` if nothing waits for time.
    pub fn wake_at(&self) -> Option<Duration> {
        let flush = (self.batcher.has_queue() || self.wants_time)
            .then(|| self.batcher.flush_at(&self.options));
        let late = self.batcher.oldest().map(|it| it + self.options.decision_timeout);
        flush.into_iter().chain(late).min()
    }
}

/// Mutation
impl Ledger {
    /// Takes an input at a time since the start of the process.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Claim { number, claim } => {
                outputs.extend(self.claim(Claimant { number, claim, at: now }));
            }
            Input::Appended(answer) => self.appended(&answer, &mut outputs),
            Input::Read(page) => self.read(now, &page, &mut outputs),
            Input::Trimmed { oldest } => self.begin(oldest),
            Input::Tick => {}
        }
        self.expire(now, &mut outputs);
        outputs.extend(self.flush(now));
        outputs
    }

    /// Takes a claim; decides it at once if that needs no record.
    fn claim(&mut self, claimant: Claimant) -> Option<Output> {
        let verdict = if let Some(issuer) = self.window.issuer(&claimant.claim.hash) {
            Verdict::Repeated { by: issuer.as_ref().to_owned() }
        } else if self.batcher.len() >= self.options.max_claims {
            Verdict::Refused(Reason::Overloaded)
        } else if !self.window.is_complete() {
            self.wants_time = true;
            Verdict::Refused(Reason::WindowIncomplete)
        } else {
            self.batcher.add(claimant);
            return None;
        };
        Some(Output::Decide { number: claimant.number, verdict })
    }

    /// Begins to read at the oldest record.
    fn begin(&mut self, oldest: id::Offset) {
        self.position = Some(oldest);
        self.window.start_at(oldest);
    }

    fn appended(&mut self, answer: &Answer, outputs: &mut Vec<Output>) {
        self.batcher.answered();
        if answer.outcome != Outcome::NotStored {
            return;
        }
        let Some(found) = self.batcher.find(&answer.batch) else { return };
        for pending in self.batcher.take_all(found) {
            refuse(pending, Reason::LogUnavailable, outputs);
        }
    }

    fn read(&mut self, now: Duration, page: &record::Page, outputs: &mut Vec<Output>) {
        if self.position.is_none() && page.oldest == 0 {
            self.begin(0);
        }
        for entry in &page.entries {
            if self.position != Some(entry.offset) {
                return;
            }
            self.position = Some(entry.offset + 1);
            match &entry.record {
                record::Record::Started(started) => self.fold(now, entry, started, outputs),
                record::Record::Other => self.window.advance_to(entry.at_ms),
            }
        }
    }

    fn fold(
        &mut self,
        now: Duration,
        entry: &record::Entry,
        started: &record::KeyBatch,
        outputs: &mut Vec<Output>,
    ) {
        let places = self.window.apply(entry.at_ms, started);
        let Some(found) = self.batcher.find(&started.batch) else { return };
        for (key, place) in started.keys.iter().zip(places) {
            if let Some(pending) = self.batcher.take(&key.hash, found) {
                self.decide(now, entry.offset, place, pending, outputs);
            }
        }
    }

    /// Decides the claims of a key whose record was read back.
    fn decide(
        &self,
        now: Duration,
        offset: id::Offset,
        place: Occurrence,
        pending: Pending,
        outputs: &mut Vec<Output>,
    ) {
        let Pending { leader, followers, .. } = pending;
        let is_late = now.saturating_sub(leader.at) >= self.options.decision_timeout;
        let (verdict, by) = match place {
            Occurrence::Repeated { by } => {
                let by = by.as_ref().to_owned();
                (Verdict::Repeated { by: by.clone() }, by)
            }
            Occurrence::First if is_late || !self.window.is_complete() => {
                (Verdict::Refused(Reason::TimedOut), leader.claim.issuer)
            }
            Occurrence::First => (Verdict::First { offset }, leader.claim.issuer),
        };
        outputs.push(Output::Decide { number: leader.number, verdict });
        for follower in followers {
            let verdict = Verdict::Repeated { by: by.clone() };
            outputs.push(Output::Decide { number: follower.number, verdict });
        }
    }

    /// Refuses the claims whose time is over.
    fn expire(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let Some(until) = now.checked_sub(self.options.decision_timeout) else { return };
        if self.batcher.oldest().is_none_or(|it| it > until) {
            return;
        }
        for pending in self.batcher.take_until(until) {
            refuse(pending, Reason::TimedOut, outputs);
        }
    }

    /// Writes the next batch, if it is time and there is something to write.
    fn flush(&mut self, now: Duration) -> Option<Output> {
        let is_wanted = self.batcher.has_queue() || self.wants_time;
        if !is_wanted || !self.batcher.may_flush(now, &self.options) {
            return None;
        }
        self.wants_time = false;
        let batch = format!("{}-{}-{}", self.node, self.incarnation, self.next_batch);
        self.next_batch += 1;
        let keys = self.batcher.flush(now, &batch, self.options.max_keys);
        Some(Output::Append(record::KeyBatch { node: self.node.clone(), batch, keys }))
    }
}

fn refuse(pending: Pending, reason: Reason, outputs: &mut Vec<Output>) {
    let claimants = std::iter::once(pending.leader).chain(pending.followers);
    outputs.extend(
        claimants.map(|it| Output::Decide { number: it.number, verdict: Verdict::Refused(reason) }),
    );
}
