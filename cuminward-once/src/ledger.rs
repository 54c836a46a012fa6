//! Decides claims of idempotency keys.
//!
//! One node of each failure domain runs the ledger for the others. Claims are collected in batches, a
//! batch is appended to the log as one record, and a claim is decided when its record is read back.
//! All earlier records have been applied by then, so it is final whether the claim is the first one of
//! its key within the window. An append whose response is lost is not retried: its record is recognized
//! by the id of the batch when it is read back, or the claims are refused after the decision timeout.

use std::time::Duration;

use cuminward_core::id;
use derive_builder::Builder;

use crate::{
    batch::{Batcher, Claimant, Pending},
    claim::{self, Reason, Verdict},
    record,
    window::{Occurrence, Window},
};

/// Number of a claim, chosen by the caller of [`Ledger::step`], to which the decision refers.
pub type Number = u64;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Length of the deduplication window, in the log's time.
    pub window: Duration,
    /// Minimum time for which the log keeps records.
    pub retention: Duration,
    /// Minimum time between two batches.
    pub batch_interval: Duration,
    /// Maximum number of keys in a batch.
    pub max_keys: usize,
    /// Maximum number of appends without a response.
    pub max_in_flight: usize,
    /// Maximum number of undecided claims.
    pub max_claims: usize,
    /// Time after which an undecided claim is refused; shorter than [`claim::START_TIMEOUT`].
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

/// Input of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A node claims a key.
    Claim {
        /// Number of the claim, to which the decision refers.
        number: Number,
        /// The claim.
        claim: claim::Claim,
    },
    /// An append got a response, or its response was lost.
    Appended(Answer),
    /// Records were read from the log, starting at [`Ledger::position`].
    Read(record::Page),
    /// The log no longer keeps the record at [`Ledger::position`].
    Trimmed {
        /// Offset of the oldest record that the log keeps.
        oldest: id::Offset,
    },
    /// Time passed: due batches are written and overdue claims are refused.
    Tick,
}

/// An append that has ended, with its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the batch.
    pub batch: record::BatchId,
    /// Outcome of the append.
    pub outcome: Outcome,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The record is stored in the log.
    Stored,
    /// The log rejected the record, which will never be stored.
    NotStored,
    /// The record may be stored in the log, now or later.
    Unknown,
}

/// Action that the ledger requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Append a record to the stream, without retries.
    Append(record::KeyBatch),
    /// Deliver the decision of a claim.
    Decide {
        /// Number of the claim.
        number: Number,
        /// The decision.
        verdict: Verdict,
    },
}

/// State machine that records claims and decides them.
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
    /// Whether a claim was refused because the window is incomplete. The next batch is then written even
    /// if it is empty, since its record shows the log's time, by which the window becomes complete.
    wants_time: bool,
}

/// Life cycle
impl Ledger {
    /// Creates a ledger that has read no records yet.
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
    /// Returns the offset to read from next. It starts at 0, which the log may report as trimmed.
    pub fn position(&self) -> id::Offset {
        self.position.unwrap_or(0)
    }

    /// Returns the deduplication window.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Returns the number of undecided claims.
    pub fn pending_count(&self) -> usize {
        self.batcher.len()
    }

    /// Returns the time at which [`Input::Tick`] is due, or `None` if nothing depends on time.
    pub fn wake_at(&self) -> Option<Duration> {
        let flush = (self.batcher.has_queued_keys() || self.wants_time)
            .then(|| self.batcher.flush_at(&self.options));
        let timeout = self.batcher.oldest().map(|it| it + self.options.decision_timeout);
        flush.into_iter().chain(timeout).min()
    }
}

/// Mutation
impl Ledger {
    /// Processes an input and returns the requested actions. `now` is the time since the start of the
    /// process.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Claim { number, claim } => {
                outputs.extend(self.claim(Claimant { number, claim, at: now }));
            }
            Input::Appended(answer) => self.handle_append(&answer, &mut outputs),
            Input::Read(page) => self.handle_page(now, &page, &mut outputs),
            Input::Trimmed { oldest } => self.start_at(oldest),
            Input::Tick => {}
        }
        self.expire(now, &mut outputs);
        outputs.extend(self.flush(now));
        outputs
    }

    /// Adds a claim, or returns its decision if that needs no record.
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

    /// Starts reading at the oldest record of the log.
    fn start_at(&mut self, oldest: id::Offset) {
        self.position = Some(oldest);
        self.window.start_at(oldest);
    }

    /// Refuses the claims of a batch that was not stored.
    fn handle_append(&mut self, answer: &Answer, outputs: &mut Vec<Output>) {
        self.batcher.finish_append();
        if answer.outcome != Outcome::NotStored {
            return;
        }
        let Some(found) = self.batcher.find(&answer.batch) else { return };
        for pending in self.batcher.take_all(found) {
            refuse(pending, Reason::LogUnavailable, outputs);
        }
    }

    /// Applies the records of a page up to the first gap.
    fn handle_page(&mut self, now: Duration, page: &record::Page, outputs: &mut Vec<Output>) {
        if self.position.is_none() && page.oldest == 0 {
            self.start_at(0);
        }
        for entry in &page.entries {
            if self.position != Some(entry.offset) {
                return;
            }
            self.position = Some(entry.offset + 1);
            match &entry.record {
                record::Record::Started(started) => self.apply(now, entry, started, outputs),
                record::Record::Other => self.window.advance_to(entry.at_ms),
            }
        }
    }

    /// Applies a batch of keys to the window and decides the claims that it contains, if this ledger has
    /// written it.
    fn apply(
        &mut self,
        now: Duration,
        entry: &record::Entry,
        started: &record::KeyBatch,
        outputs: &mut Vec<Output>,
    ) {
        let occurrences = self.window.apply(entry.at_ms, started);
        let Some(found) = self.batcher.find(&started.batch) else { return };
        for (key, occurrence) in started.keys.iter().zip(occurrences) {
            if let Some(pending) = self.batcher.take(&key.hash, found) {
                self.decide(now, entry.offset, occurrence, pending, outputs);
            }
        }
    }

    /// Decides the claims of a key whose record was read back. A first claim is refused if the decision
    /// timeout has passed or the window is incomplete; later claims of the key are repeats.
    fn decide(
        &self,
        now: Duration,
        offset: id::Offset,
        occurrence: Occurrence,
        pending: Pending,
        outputs: &mut Vec<Output>,
    ) {
        let Pending { leader, followers, .. } = pending;
        let is_timed_out = now.saturating_sub(leader.at) >= self.options.decision_timeout;
        let (verdict, by) = match occurrence {
            Occurrence::Repeated { by } => {
                let by = by.as_ref().to_owned();
                (Verdict::Repeated { by: by.clone() }, by)
            }
            Occurrence::First if is_timed_out || !self.window.is_complete() => {
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

    /// Refuses the claims whose decision timeout has passed.
    fn expire(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let Some(until) = now.checked_sub(self.options.decision_timeout) else { return };
        if self.batcher.oldest().is_none_or(|it| it > until) {
            return;
        }
        for pending in self.batcher.take_until(until) {
            refuse(pending, Reason::TimedOut, outputs);
        }
    }

    /// Writes the next batch if one is due and there is something to write.
    fn flush(&mut self, now: Duration) -> Option<Output> {
        let is_needed = self.batcher.has_queued_keys() || self.wants_time;
        if !is_needed || !self.batcher.may_flush(now, &self.options) {
            return None;
        }
        self.wants_time = false;
        let batch = format!("{}-{}-{}", self.node, self.incarnation, self.next_batch);
        self.next_batch += 1;
        let keys = self.batcher.flush(now, &batch, self.options.max_keys);
        Some(Output::Append(record::KeyBatch { node: self.node.clone(), batch, keys }))
    }
}

/// Refuses all claims of a key.
fn refuse(pending: Pending, reason: Reason, outputs: &mut Vec<Output>) {
    let claimants = std::iter::once(pending.leader).chain(pending.followers);
    outputs.extend(
        claimants.map(|it| Output::Decide { number: it.number, verdict: Verdict::Refused(reason) }),
    );
}
