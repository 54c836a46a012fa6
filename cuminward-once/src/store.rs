//! Tracks a node's requests with idempotency keys and stores their replies to answer repeats.
//!
//! A request goes through `begin`, the claim, `start` and `finish`. `start` is the last check before
//! a request is sent: after a verdict that arrives too late, for example because the process was
//! paused, the request is not sent.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use derive_builder::Builder;

use crate::{
    claim, key,
    reply::{Lookup, Reply},
};

/// Settings of the store.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Maximum memory of all stored replies, in bytes.
    pub max_bytes: usize,
    /// Maximum size of a stored reply, in bytes.
    pub max_reply_bytes: usize,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Time for which ended requests are remembered.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_bytes: 16 << 20,
            max_reply_bytes: 256 << 10,
            max_keys: 20_000,
            retention: Duration::from_secs(600),
        }
    }
}

/// Requests by key, with their replies.
#[derive(Debug)]
pub struct Store {
    options: Options,
    requests: HashMap<key::Hash, State>,
    /// Ended requests, in the order in which they ended.
    ended: VecDeque<Ended>,
    /// Memory of the stored replies, in bytes.
    bytes: usize,
}

/// State of a request.
#[derive(Debug, Clone, PartialEq)]
enum State {
    /// The key is being claimed.
    Claimed {
        /// Time of the claim, since the start of the process.
        at: Duration,
    },
    /// The request may be sent.
    Running {
        /// Time until which the request may be sent, since the start of the process.
        until: Duration,
    },
    /// All attempts of the request provably did not run.
    Unsent {
        /// Time until which the request may be sent again, since the start of the process.
        until: Duration,
    },
    /// The request is complete and its reply is stored.
    Held(Arc<Reply>),
    /// The request did not run and will not be sent any more.
    NotRun,
}

/// An ended request.
#[derive(Debug)]
struct Ended {
    at: Duration,
    hash: key::Hash,
}

/// Mutation
impl State {
    /// Returns the action for a repeat of a request that did not run: it may run until the time limit of
    /// the claim; after that, the key can't be used any more.
    fn resume(&mut self, now: Duration) -> Action {
        match *self {
            State::Unsent { until } if now <= until => {
                *self = State::Running { until };
                Action::Run
            }
            _ => {
                *self = State::NotRun;
                Action::NotRun
            }
        }
    }
}

/// Action to take for a request with a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Claim the key.
    Claim,
    /// Run the request without another claim: this node has claimed the key, and the earlier request
    /// provably did not run.
    Run,
    /// Wait for the end of another request with the key that is in progress at this node.
    Wait,
    /// Answer with the stored reply.
    Held(Arc<Reply>),
    /// Refuse the request: an earlier one with the key was claimed at this node and did not run, and the
    /// key can't be used any more.
    NotRun,
    /// Refuse the request: the store has reached its maximum number of keys.
    Full,
}

/// Life cycle
impl Store {
    /// Creates an empty store.
    pub fn new(options: Options) -> Store {
        Store { options, requests: HashMap::new(), ended: VecDeque::new(), bytes: 0 }
    }
}

/// Access
impl Store {
    /// Returns the state of the request of a key.
    pub fn lookup(&self, hash: &key::Hash) -> Lookup {
        match self.requests.get(hash) {
            Some(State::Claimed { .. } | State::Running { .. }) => Lookup::Running,
            Some(State::Held(reply)) => Lookup::Held(reply.as_ref().clone()),
            Some(State::NotRun | State::Unsent { .. }) => Lookup::NotRun,
            None => Lookup::Unknown,
        }
    }

    /// Returns whether a started request may be sent to an upstream now.
    pub fn may_send(&self, now: Duration, hash: &key::Hash) -> bool {
        matches!(self.requests.get(hash), Some(State::Running { until }) if now <= *until)
    }

    /// Returns the memory of the stored replies, in bytes.
    pub fn reply_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// Mutation
impl Store {
    /// Returns the action to take for a request with a key, and registers the key if it is new.
    pub fn begin(&mut self, now: Duration, hash: key::Hash) -> Action {
        self.expire(now);
        match self.requests.get_mut(&hash) {
            Some(State::Claimed { .. } | State::Running { .. }) => return Action::Wait,
            Some(State::Held(reply)) => return Action::Held(Arc::clone(reply)),
            Some(state) => return state.resume(now),
            None => {}
        }
        if self.requests.len() >= self.options.max_keys && !self.drop_oldest() {
            return Action::Full;
        }
        self.requests.insert(hash, State::Claimed { at: now });
        Action::Claim
    }

    /// Starts a request whose claim is the first of its key. Returns whether the request may be sent now;
    /// if not, it must never be sent.
    #[must_use]
    pub fn start(&mut self, now: Duration, hash: &key::Hash) -> bool {
        let Some(state) = self.requests.get_mut(hash) else { return false };
        let State::Claimed { at } = *state else { return false };
        if now.saturating_sub(at) <= claim::START_TIMEOUT {
            *state = State::Running { until: at + claim::SEND_TIMEOUT };
            return true;
        }
        self.end(now, *hash, State::NotRun);
        false
    }

    /// Records that a claim was refused, or that its verdict is lost (`None`): the request is not sent.
    pub fn refuse(&mut self, now: Duration, hash: &key::Hash, reason: Option<claim::Reason>) {
        if !matches!(self.requests.get(hash), Some(State::Claimed { .. })) {
            return;
        }
        if reason.is_none_or(claim::Reason::is_recorded) {
            self.end(now, *hash, State::NotRun);
        } else {
            self.requests.remove(hash);
        }
    }

    /// Removes a key whose claim showed that it was started before, by another node or by this one.
    pub fn forget(&mut self, hash: &key::Hash) {
        if matches!(self.requests.get(hash), Some(State::Claimed { .. })) {
            self.requests.remove(hash);
        }
    }

    /// Records that a request ended, with a complete reply or without one.
    pub fn finish(&mut self, now: Duration, hash: &key::Hash, reply: Option<Arc<Reply>>) {
        if !matches!(self.requests.get(hash), Some(State::Running { .. })) {
            return;
        }
        match reply.filter(|it| it.size() <= self.options.max_reply_bytes) {
            Some(reply) => self.end(now, *hash, State::Held(reply)),
            None => {
                self.requests.remove(hash);
            }
        }
    }

    /// Records that a request ended and provably did not run, so that this node may send it again.
    pub fn abort(&mut self, now: Duration, hash: &key::Hash) {
        if let Some(State::Running { until }) = self.requests.get(hash) {
            let state = State::Unsent { until: *until };
            self.end(now, *hash, state);
        }
    }

    /// Returns the state of the request of a key for another node that has a request with the same key.
    /// A request that did not run is not sent by this node after that.
    pub fn lookup_and_close(&mut self, hash: &key::Hash) -> Lookup {
        if let Some(state @ State::Unsent { .. }) = self.requests.get_mut(hash) {
            *state = State::NotRun;
        }
        self.lookup(hash)
    }

    /// Sets the state of an ended request, and drops the oldest ended requests while the replies exceed
    /// their maximum memory.
    fn end(&mut self, now: Duration, hash: key::Hash, state: State) {
        if let State::Held(reply) = &state {
            self.bytes += reply.size();
        }
        self.requests.insert(hash, state);
        self.ended.push_back(Ended { at: now, hash });
        while self.bytes > self.options.max_bytes && self.drop_oldest() {}
    }

    /// Drops the requests that ended longer ago than the retention time.
    fn expire(&mut self, now: Duration) {
        let retention = self.options.retention;
        while self.ended.front().is_some_and(|it| now.saturating_sub(it.at) > retention) {
            self.drop_oldest();
        }
    }

    /// Drops the request that ended first; returns false if there is none. A request that is in progress
    /// again is not dropped.
    fn drop_oldest(&mut self) -> bool {
        let Some(ended) = self.ended.pop_front() else { return false };
        let state = self.requests.get(&ended.hash);
        if matches!(state, Some(State::Claimed { .. } | State::Running { .. })) {
            return true;
        }
        if let Some(State::Held(reply)) = self.requests.remove(&ended.hash) {
            self.bytes -= reply.size();
        }
        true
    }
}
