//! Batches of undecided claims.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    claim, key,
    ledger::{Number, Options},
    record,
};

/// Sequence number of a batch within its ledger.
type Index = u64;

/// Undecided claims, and the batches in which their keys are recorded.
#[derive(Debug, Default)]
pub(crate) struct Batcher {
    /// Undecided claims by key.
    claims: HashMap<key::Hash, Pending>,
    /// Number of undecided claims, followers included.
    count: usize,
    /// Keys that wait for a batch, in order of arrival.
    queue: VecDeque<key::Hash>,
    /// Keys in the order of their first claims, to find the claims that time out next.
    arrivals: VecDeque<Arrival>,
    /// Written batches that may be read back, in order.
    sent: VecDeque<Sent>,
    /// Sequence number of the next batch.
    next: Index,
    /// Number of appends without a response.
    in_flight: usize,
}

/// An undecided key with its claims.
#[derive(Debug)]
pub(crate) struct Pending {
    /// First claim, whose issuer is recorded.
    pub(crate) leader: Claimant,
    /// Later claims of the same key.
    pub(crate) followers: Vec<Claimant>,
    /// Batch in which the key is recorded; `None` while the key is queued.
    batch: Option<Index>,
}

/// An undecided claim. `at` is the time at which it was made.
#[derive(Debug)]
pub(crate) struct Claimant {
    pub(crate) number: Number,
    pub(crate) claim: claim::Claim,
    pub(crate) at: Duration,
}

/// Time of the first claim of a key.
#[derive(Debug)]
struct Arrival {
    at: Duration,
    hash: key::Hash,
}

/// A batch that was written at a time.
#[derive(Debug)]
struct Sent {
    batch: record::BatchId,
    index: Index,
    at: Duration,
}

/// Refers to a batch that this ledger has written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BatchRef(Index);

/// Access
impl Batcher {
    /// Returns the number of undecided claims.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Returns the time from which the next batch may be written.
    pub(crate) fn flush_at(&self, options: &Options) -> Duration {
        self.sent.back().map_or(Duration::ZERO, |it| it.at + options.batch_interval)
    }

    /// Returns whether keys are waiting for a batch.
    pub(crate) fn has_queued_keys(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns whether a batch may be written now.
    pub(crate) fn may_flush(&self, now: Duration, options: &Options) -> bool {
        now >= self.flush_at(options) && self.in_flight < options.max_in_flight
    }

    /// Returns the time of the oldest undecided claim.
    pub(crate) fn oldest(&self) -> Option<Duration> {
        self.arrivals.front().map(|it| it.at)
    }

    fn is_queued(&self, hash: &key::Hash) -> bool {
        self.claims.get(hash).is_some_and(|it| it.batch.is_none())
    }
}

/// Mutation
impl Batcher {
    /// Adds a claim. Its key is queued unless an earlier claim of the same key is undecided.
    pub(crate) fn add(&mut self, claimant: Claimant) {
        self.count += 1;
        let hash = claimant.claim.hash;
        if let Some(pending) = self.claims.get_mut(&hash) {
            pending.followers.push(claimant);
            return;
        }
        self.queue.push_back(hash);
        self.arrivals.push_back(Arrival { at: claimant.at, hash });
        let pending = Pending { leader: claimant, followers: Vec::new(), batch: None };
        self.claims.insert(hash, pending);
    }

    /// Moves up to `max_keys` keys from the queue to a new batch, which may be empty, and returns them.
    pub(crate) fn flush(
        &mut self,
        now: Duration,
        batch: &record::BatchId,
        max_keys: usize,
    ) -> Vec<record::Key> {
        let index = self.next;
        self.next += 1;
        self.in_flight += 1;
        self.sent.push_back(Sent { batch: batch.clone(), index, at: now });
        let count = self.queue.len().min(max_keys);
        let hashes: Vec<key::Hash> = self.queue.drain(..count).collect();
        hashes.into_iter().filter_map(|it| self.assign(it, index)).collect()
    }

    /// Assigns a queued key to a batch and returns its entry in the batch's record.
    fn assign(&mut self, hash: key::Hash, index: Index) -> Option<record::Key> {
        let pending = self.claims.get_mut(&hash).filter(|it| it.batch.is_none())?;
        pending.batch = Some(index);
        Some(record::Key { hash, issuer: pending.leader.claim.issuer.clone() })
    }

    /// Records that an append got a response or that its response is lost.
    pub(crate) fn finish_append(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Finds a batch by its id; `None` if this ledger has not written it or no longer tracks it.
    pub(crate) fn find(&mut self, batch: &record::BatchId) -> Option<BatchRef> {
        let sent = self.sent.iter().find(|it| it.batch == *batch)?;
        Some(BatchRef(sent.index))
    }

    /// Removes and returns the claims of a key, if the key is recorded in the batch.
    pub(crate) fn take(&mut self, hash: &key::Hash, found: BatchRef) -> Option<Pending> {
        let pending = self.claims.get(hash)?;
        if pending.batch != Some(found.0) {
            return None;
        }
        self.remove(hash)
    }

    /// Removes and returns all claims of a batch that will never be read back.
    pub(crate) fn take_all(&mut self, found: BatchRef) -> Vec<Pending> {
        let hashes = self.claims.iter().filter(|(_, it)| it.batch == Some(found.0));
        let hashes: Vec<key::Hash> = hashes.map(|(hash, _)| *hash).collect();
        hashes.iter().filter_map(|it| self.remove(it)).collect()
    }

    /// Removes and returns the claims of the keys whose first claim was made at `time` or earlier, and
    /// forgets the batches written until then, except the last one, which limits the rate of batches.
    pub(crate) fn take_until(&mut self, time: Duration) -> Vec<Pending> {
        let mut expired = Vec::new();
        while let Some(arrival) = self.arrivals.front().filter(|it| it.at <= time) {
            let hash = arrival.hash;
            expired.extend(self.remove(&hash));
        }
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue.into_iter().filter(|it| self.is_queued(it)).collect();
        let is_expired = |it: &mut Sent| it.at <= time;
        while self.sent.len() > 1 && self.sent.pop_front_if(is_expired).is_some() {}
        expired
    }

    /// Removes and returns the claims of a key.
    fn remove(&mut self, hash: &key::Hash) -> Option<Pending> {
        let pending = self.claims.remove(hash)?;
        self.count -= 1 + pending.followers.len();
        let claims = &self.claims;
        let is_decided = |it: &mut Arrival| {
            claims.get(&it.hash).is_none_or(|pending| pending.leader.at != it.at)
        };
        while self.arrivals.pop_front_if(is_decided).is_some() {}
        Some(pending)
    }
}
