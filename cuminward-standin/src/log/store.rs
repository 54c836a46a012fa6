//! Streams, retention and rate limit of the log.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde_json::Value;

use super::{Counters, Options};
use crate::reply;

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) options: Options,
    pub(super) streams: BTreeMap<String, Stream>,
    pub(super) counters: Counters,
    pub(super) down: bool,
    pub(super) delay: Duration,
    pub(super) lose_answers: u32,
    pub(super) tokens: f64,
    pub(super) refilled: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Stream {
    pub(super) oldest: u64,
    pub(super) records: VecDeque<Record>,
}

#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) at_ms: u64,
    pub(super) value: Value,
}

impl Inner {
    /// Takes one append from the budget, which holds one second's worth.
    pub(super) fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.appends_per_second);
        let refill = self.refilled.elapsed().as_secs_f64() * rate;
        self.refilled = Instant::now();
        self.tokens = (self.tokens + refill).min(rate);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    pub(super) fn push(&mut self, stream: &str, value: Value) -> u64 {
        self.counters.appended += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(Record { at_ms: reply::wall_ms(), value });
        let offset = stream.next() - 1;
        self.trim_all();
        offset
    }

    pub(super) fn trim_all(&mut self) {
        let oldest_ms = reply::wall_ms().saturating_sub(self.options.keep_for.as_millis() as u64);
        let keep = self.options.keep_records;
        for stream in self.streams.values_mut() {
            stream.trim(keep, oldest_ms);
        }
    }
}

impl Stream {
    pub(super) fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    pub(super) fn trim(&mut self, keep: usize, oldest_ms: u64) {
        let expired = |it: &Record| it.at_ms < oldest_ms;
        while self.records.len() > keep || self.records.front().is_some_and(expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}
