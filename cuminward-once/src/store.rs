//! What a node knows about the requests with keys that it has: it answers repeats from it.
//!
//! A request goes through `begin`, the claim, `start` and `finish`. `start` is the last check before
//! a request is sent: a verdict that comes too late, as after a pause of the process, doesn't start
//! anything.

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
    /// Most memory of the replies, in bytes.
    pub max_bytes: usize,
    /// Largest reply that is kept, in bytes.
    pub max_reply_bytes: usize,
    /// Most keys.
    pub max_keys: usize,
    /// Time for which ended requests are kept.
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

/// Requests by key.
#[derive(Debug)]
pub struct Store {
    options: Options,
    requests: HashMap<key::Hash, State>,
    /// Ended requests, in the order of their ends.
    ended: VecDeque<Ended>,
    bytes: usize,
}

/// How far a request is.
#[derive(Debug, Clone, PartialEq)]
enum State {
    /// The key is being claimed.
    Claimed {
        /// When the claim was made, since the start of the process.
        at: Duration,
    },
    /// The request may be sent.
    Running {
        /// Until when it may be sent.
        until: Duration,
    },
    /// Every attempt of the request provably did not run.
    Unsent {
        /// Until when it may be sent again.
        until: Duration,
    },
    /// The reply is complete.
    Held(Arc<Reply>),
    /// The request was never sent and will never be.
    NotRun,
}

#[derive(Debug)]
struct Ended {
    at: Duration,
    hash: key::Hash,
}

/// Mutation
impl State {
    /// Another request with the key of one that did not run.
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

/// What to do with a request that has a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Claim the key.
    Claim,
    /// The key is claimed here and its request provably did not run: run it without another claim.
    Run,
    /// Another request with the key is under way here: wait for its end.
    Wait,
    /// Answer with the reply.
    Held(Arc<Reply>),
    /// An earlier request with the key was claimed here and never sent; the key is used up.
    NotRun,
    /// There is no room for another key.
    Full,
}

/// Life cycle
impl Store {
    /// Makes an empty store.
    pub fn new(options: Options) -> Store {
        Store { options, requests: HashMap::new(), ended: VecDeque::new(), bytes: 0 }
    }
}

/// Access
impl Store {
    /// What is known about the request of a key.
    pub fn lookup(&self, hash: &key::Hash) -> Lookup {
        match self.requests.get(hash) {
            Some(State::Claimed { .. } | State::Running { .. }) => Lookup::Running,
            Some(State::Held(reply)) => Lookup::Held(reply.as_ref().clone()),
            Some(State::NotRun | State::Unsent { .. }) => Lookup::NotRun,
            None => Lookup::Unknown,
        }
    }

    /// Tells whether a started request may be sent to an upstream now.
    pub fn may_send(&self, now: Duration, hash: &key::Hash) -> bool {
        matches!(self.requests.get(hash), Some(State::Running { until }) if now <= *until)
    }

    /// Memory of the replies, in bytes.
    pub fn reply_bytes(&self) -> usize {
        self.bytes
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// Mutation
impl Store {
    /// A request with a key arrived.
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

    /// The claim is the first: tells whether the request may be sent now. If not, it must never be
    /// sent.
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

    /// The claim was refused, or its verdict is lost (`None`): the request is not sent.
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

    /// The key was started before, by another node or by this one: nothing is kept here.
    pub fn forget(&mut self, hash: &key::Hash) {
        if matches!(self.requests.get(hash), Some(State::Claimed { .. })) {
            self.requests.remove(hash);
        }
    }

    /// The request ended, with a complete reply or without one.
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

    /// The request ended and provably did not run; it may be sent again from here.
    pub fn abort(&mut self, now: Duration, hash: &key::Hash) {
        if let Some(State::Running { until }) = self.requests.get(hash) {
            let state = State::Unsent { until: *until };
            self.end(now, *hash, state);
        }
    }

    /// Answers another node that has a request with the key. A request that did not run will never
    /// be sent from here after that.
    pub fn lookup_and_close(&mut self, hash: &key::Hash) -> Lookup {
        if let Some(state @ State::Unsent { .. }) = self.requests.get_mut(hash) {
            *state = State::NotRun;
        }
        self.lookup(hash)
    }

    fn end(&mut self, now: Duration, hash: key::Hash, state: State) {
        if let State::Held(reply) = &state {
            self.bytes += reply.size();
        }
        self.requests.insert(hash, state);
        self.ended.push_back(Ended { at: now, hash });
        while self.bytes > self.options.max_bytes && self.drop_oldest() {}
    }

    fn expire(&mut self, now: Duration) {
        let keep = self.options.retention;
        while self.ended.front().is_some_and(|it| now.saturating_sub(it.at) > keep) {
            self.drop_oldest();
        }
    }

    /// Drops the request that ended first; false if there is none. One that is under way again stays.
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
