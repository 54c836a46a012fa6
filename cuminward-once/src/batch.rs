//! Claims on their way into the log.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    claim, key,
    ledger::{Number, Options},
    record,
};

/// Number of a batch within its ledger.
type Index = u64;

/// Claims that are not decided yet.
#[derive(Debug, Default)]
pub(crate) struct Batcher {
    /// Claims by key.
    claims: HashMap<key::Hash, Pending>,
    /// Number of claims, followers included.
    count: usize,
    /// Keys for the next batches, in order.
    queue: VecDeque<key::Hash>,
    /// Keys in the order of their claims.
    order: VecDeque<Due>,
    /// Batches that may be read back, in order.
    sent: VecDeque<Sent>,
    next: Index,
    /// Appends without an answer.
    in_flight: usize,
}

/// A key that is not decided yet.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Claim that is recorded.
    pub(crate) leader: Claimant,
    /// Later claims of the same key.
    pub(crate) followers: Vec<Claimant>,
    /// Batch of the record.
    batch: Option<Index>,
}

/// A claim that is not decided yet.
#[derive(Debug)]
pub(crate) struct Claimant {
    pub(crate) number: Number,
    pub(crate) claim: claim::Claim,
    pub(crate) at: Duration,
}

#[derive(Debug)]
struct Due {
    at: Duration,
    hash: key::Hash,
}

#[derive(Debug)]
struct Sent {
    batch: record::BatchId,
    index: Index,
    at: Duration,
}

/// Claims of a batch that was found in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Found(Index);

/// Access
impl Batcher {
    /// Number of claims that are not decided.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// When the next batch may be written.
    pub(crate) fn flush_at(&self, options: &Options) -> Duration {
        self.sent.back().map_or(Duration::ZERO, |it| it.at + options.batch_interval)
    }

    /// Tells whether keys wait for a batch.
    pub(crate) fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Tells whether a batch may be written.
    pub(crate) fn may_flush(&self, now: Duration, options: &Options) -> bool {
        now >= self.flush_at(options) && self.in_flight < options.max_in_flight
    }

    /// When the oldest claim was made.
    pub(crate) fn oldest(&self) -> Option<Duration> {
        self.order.front().map(|it| it.at)
    }

    fn is_queued(&self, hash: &key::Hash) -> bool {
        self.claims.get(hash).is_some_and(|it| it.batch.is_none())
    }
}

/// Mutation
impl Batcher {
    /// Adds a claim: to the queue, or behind another claim of the same key.
    pub(crate) fn add(&mut self, claimant: Claimant) {
        self.count += 1;
        let hash = claimant.claim.hash;
        if let Some(pending) = self.claims.get_mut(&hash) {
            pending.followers.push(claimant);
            return;
        }
        self.queue.push_back(hash);
        self.order.push_back(Due { at: claimant.at, hash });
        let pending = Pending { leader: claimant, followers: Vec::new(), batch: None };
        self.claims.insert(hash, pending);
    }

    /// Takes the queue's first keys as a batch; there may be none.
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
        hashes.into_iter().filter_map(|it| self.record(it, index)).collect()
    }

    fn record(&mut self, hash: key::Hash, index: Index) -> Option<record::Key> {
        let pending = self.claims.get_mut(&hash).filter(|it| it.batch.is_none())?;
        pending.batch = Some(index);
        Some(record::Key { hash, issuer: pending.leader.claim.issuer.clone() })
    }

    /// The append of a batch was answered, or its answer is lost.
    pub(crate) fn answered(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Looks for a batch that is read back for the first time.
    pub(crate) fn find(&mut self, batch: &record::BatchId) -> Option<Found> {
        let sent = self.sent.iter().find(|it| it.batch == *batch)?;
        Some(Found(sent.index))
    }

    /// Takes the claims of a key out, if they belong to the batch that was found.
    pub(crate) fn take(&mut self, hash: &key::Hash, found: Found) -> Option<Pending> {
        let pending = self.claims.get(hash)?;
        if pending.batch != Some(found.0) {
            return None;
        }
        self.remove(hash)
    }

    /// Takes all claims of a batch out, which will never be read back.
    pub(crate) fn take_all(&mut self, found: Found) -> Vec<Pending> {
        let hashes = self.claims.iter().filter(|(_, it)| it.batch == Some(found.0));
        let hashes: Vec<key::Hash> = hashes.map(|(hash, _)| *hash).collect();
        hashes.iter().filter_map(|it| self.remove(it)).collect()
    }

    /// Takes the claims out whose first one was made at a time or before.
    pub(crate) fn take_until(&mut self, time: Duration) -> Vec<Pending> {
        let mut old = Vec::new();
        while let Some(due) = self.order.front().filter(|it| it.at <= time) {
            let hash = due.hash;
            old.extend(self.remove(&hash));
        }
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue.into_iter().filter(|it| self.is_queued(it)).collect();
        let is_old = |it: &mut Sent| it.at <= time;
        while self.sent.len() > 1 && self.sent.pop_front_if(is_old).is_some() {}
        old
    }

    fn remove(&mut self, hash: &key::Hash) -> Option<Pending> {
        let pending = self.claims.remove(hash)?;
        self.count -= 1 + pending.followers.len();
        let claims = &self.claims;
        let is_decided =
            |it: &mut Due| claims.get(&it.hash).is_none_or(|pending| pending.leader.at != it.at);
        while self.order.pop_front_if(is_decided).is_some() {}
        Some(pending)
    }
}
