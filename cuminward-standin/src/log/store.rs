//! Streams of the log with their retention, and the rate limit of appends.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde_json::Value;

use super::{Counters, Options};
use crate::reply;

/// State of the log behind its lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) options: Options,
    pub(super) streams: BTreeMap<String, Stream>,
    pub(super) counters: Counters,
    pub(super) down: bool,
    /// Time by which each call is delayed.
    pub(super) delay: Duration,
    /// Number of next appends whose responses are dropped.
    pub(super) lose_answers: u32,
    /// Content of the token bucket that limits the rate of appends.
    pub(super) tokens: f64,
    /// Time of the last refill of the token bucket.
    pub(super) refilled_at: Instant,
}

/// Records of one stream, ordered by offset.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// Offset of the oldest record that is kept.
    pub(super) oldest: u64,
    pub(super) records: VecDeque<Record>,
}

/// A record and the time at which it was appended.
#[derive(Debug, Clone)]
pub(super) struct Record {
    /// Wall time in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    pub(super) value: Value,
}

impl Inner {
    /// Takes one token from the bucket, whose capacity is the number of appends in one second.
    /// Returns false if the bucket is empty.
    pub(super) fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.appends_per_second);
        let refill = self.refilled_at.elapsed().as_secs_f64() * rate;
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + refill).min(rate);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Appends a record to a stream and returns its offset.
    pub(super) fn push(&mut self, stream: &str, value: Value) -> u64 {
        self.counters.appended += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(Record { at_ms: reply::wall_ms(), value });
        let offset = stream.next_offset() - 1;
        self.trim_all();
        offset
    }

    /// Removes from all streams the records beyond the retention in number or age.
    pub(super) fn trim_all(&mut self) {
        let oldest_ms = reply::wall_ms().saturating_sub(self.options.keep_for.as_millis() as u64);
        let max_records = self.options.keep_records;
        for stream in self.streams.values_mut() {
            stream.trim(max_records, oldest_ms);
        }
    }
}

impl Stream {
    /// Returns the offset of the next record.
    pub(super) fn next_offset(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Removes the oldest records until at most `max_records` are left, all of them appended at
    /// `oldest_ms` or later.
    pub(super) fn trim(&mut self, max_records: usize, oldest_ms: u64) {
        let expired = |it: &Record| it.at_ms < oldest_ms;
        while self.records.len() > max_records || self.records.front().is_some_and(expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}
