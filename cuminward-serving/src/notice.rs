//! What a host says of itself in its responses: the rate of requests that it takes from all nodes together, and
//! whether it is leaving, and whether it asks the node for a pause.
//!
//! A host in need names such a limit for as long as it holds. Responses overtake each other, so only the response
//! to a request that was sent after the limit was last heard can end it.

use std::time::Duration;

use crate::{bucket::Bucket, limit::Limit, nodes::Standing};

/// Requests per second.
pub type Rate = f64;

/// What the head of a response says of its host.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// Requests that the host takes from all nodes together; `None` if it names no limit.
    pub limit: Option<Rate>,
    /// Whether the host names a limit that can't be read, which tells neither that it has one nor that it has none.
    pub is_limit_unreadable: bool,
    /// Whether the host is leaving and takes no new requests.
    pub is_leaving: bool,
    /// Time for which the host wants no more requests from the node that got the response.
    pub pause: Option<Pause>,
}

/// Time for which a host wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// The time, counted from when the response arrived.
    For(Duration),
    /// The value can't be read.
    Unreadable,
}

/// Window in which a host counts the requests that it gets.
const WINDOW: Duration = Duration::from_secs(4);

/// Largest number of requests within a window, as a multiple of those that the limit allows, and in addition. Hosts
/// bear half as many again as they allow; requests that wait for a connection arrive later than they were counted.
const PEAK_FACTOR: f64 = 1.35;
const PEAK_SURPLUS: f64 = 5.0;

/// Lowest rate of requests to a host that names a limit. Without any request nobody would learn that the limit has
/// ended.
const MIN_RATE: Rate = 0.25;

/// Time without news of a limit after which nodes that don't own a part of it find out whether it still holds.
const EXPIRY: Duration = Duration::from_secs(60);

/// Time between two such nodes that find out.
const EXPIRY_SPACING: Duration = Duration::from_secs(4);

/// Part of the rate that was told last, below which a rate is told again.
const LOWERED_PART: f64 = 0.75;

/// Returns the limit on the requests that all nodes together send to a host that names a rate.
pub fn limit(rate: Rate) -> Limit {
    let rate = rate.max(MIN_RATE);
    let peak = rate * WINDOW.as_secs_f64() * PEAK_FACTOR + PEAK_SURPLUS;
    Limit { rate, peak, window: WINDOW }
}

/// How the limit of a host changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The host names a limit and named none before, or a much higher one.
    Named(Rate),
    /// The host no longer names a limit.
    Ended,
}

/// What a node knows about the limit of one start of a host, and how much of its part it has used.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tracker {
    rate: Option<Rate>,
    /// When a response last named the limit; without a limit, when a request was last sent whose response named
    /// none.
    known_at: Duration,
    /// The last change of the limit; `None` if it never was named.
    last_change: Option<LastChange>,
    /// Whether this node has found out once whether the limit still holds, without owning a part of it.
    has_probed: bool,
    bucket: Bucket,
}

/// How a node learnt of a change of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From a response of the host.
    Response,
    /// From another node.
    Node,
}

/// The last change of the limit of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LastChange {
    at: Duration,
    source: Source,
    /// The rate that began or, if the limit ended, the last one.
    rate: Rate,
}

/// Access
impl Tracker {
    /// Returns the rate that the host names, if it names one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns when a response last named the limit; without a limit, when a request was last sent whose response
    /// named none.
    pub fn known_at(&self) -> Duration {
        self.known_at
    }

    /// Returns what this node tells the others: the limit with when it was known, if it began or ended within
    /// `time`. The owners tell, and whoever has learnt of an end from a response.
    pub fn news(
        &self,
        now: Duration,
        time: Duration,
        standing: Option<Standing>,
    ) -> Option<(Option<Rate>, Duration)> {
        let change = self.last_change.filter(|it| now < it.at + time)?;
        let is_owner = standing.is_some_and(|it| it.rank < limit(change.rate).owners());
        let has_seen_end = self.rate.is_none() && change.source == Source::Response;
        (is_owner || has_seen_end).then_some((self.rate, self.known_at))
    }

    /// Returns the time until this node may send a request to the host: zero if it may now, `None` if it may not
    /// until it hears more.
    pub fn time_to_permit(&self, now: Duration, standing: Option<Standing>) -> Option<Duration> {
        let Some(rate) = self.rate else { return Some(Duration::ZERO) };
        let limit = limit(rate);
        let standing = standing?;
        if standing.rank < limit.owners() {
            return self.bucket.time_to_token(now, limit.share(Some(standing)));
        }
        (now >= self.expires_at(&limit, standing)).then_some(Duration::ZERO)
    }

    /// Returns the requests per second that this node may send to the host while it names a limit.
    pub fn share(&self, standing: Option<Standing>) -> Rate {
        self.rate.map_or(0.0, |it| limit(it).share(standing))
    }

    /// Returns when this node, which owns no part of the limit, finds out whether the limit still holds. These nodes
    /// take turns, and keep to the same order later.
    fn expires_at(&self, limit: &Limit, standing: Standing) -> Duration {
        let turns = |it: usize| EXPIRY_SPACING * it.saturating_sub(limit.owners()) as u32;
        let wait = if self.has_probed {
            EXPIRY.max(turns(standing.nodes))
        } else {
            EXPIRY + turns(standing.rank)
        };
        self.known_at + wait
    }
}

/// Mutation
impl Tracker {
    /// Takes a permit to send a request to the host. Returns false if there is none now.
    pub fn try_take_permit(&mut self, now: Duration, standing: Option<Standing>) -> bool {
        let Some(rate) = self.rate else { return true };
        if self.time_to_permit(now, standing) != Some(Duration::ZERO) {
            return false;
        }
        let limit = limit(rate);
        match standing {
            Some(it) if it.rank < limit.owners() => {
                self.bucket.try_take(now, limit.share(standing))
            }
            _ => {
                // The next request waits for the response to this one, or for as long again.
                self.known_at = now;
                self.has_probed = true;
                true
            }
        }
    }

    /// Records what the response to a request that was sent at `sent_at` says about the limit.
    pub fn record_response(
        &mut self,
        now: Duration,
        sent_at: Duration,
        limit: Option<Rate>,
    ) -> Option<Change> {
        match limit {
            Some(rate) => self.record_limit(now, now, rate, Source::Response),
            None if self.rate.is_none() => {
                self.known_at = self.known_at.max(sent_at);
                None
            }
            None => self.record_end(now, sent_at, Source::Response),
        }
    }

    /// Records that another node knew at the time `known_at` that the host named a limit, or none.
    pub fn record_report(
        &mut self,
        now: Duration,
        known_at: Duration,
        limit: Option<Rate>,
    ) -> Option<Change> {
        if known_at <= self.known_at {
            return None;
        }
        match limit {
            Some(rate) => self.record_limit(now, known_at, rate, Source::Node),
            None => self.record_end(now, known_at, Source::Node),
        }
    }

    fn record_limit(
        &mut self,
        now: Duration,
        known_at: Duration,
        rate: Rate,
        source: Source,
    ) -> Option<Change> {
        self.known_at = known_at;
        let change = LastChange { at: now, source, rate };
        if self.rate.replace(rate).is_none() {
            self.bucket = Bucket::empty(now);
            self.has_probed = false;
            self.last_change = Some(change);
            return Some(Change::Named(rate));
        }
        let last = self.last_change.get_or_insert(change);
        if rate < last.rate * LOWERED_PART {
            *last = change;
            return Some(Change::Named(rate));
        }
        last.rate = last.rate.max(rate);
        None
    }

    fn record_end(&mut self, now: Duration, known_at: Duration, source: Source) -> Option<Change> {
        if known_at <= self.known_at {
            return None;
        }
        let rate = self.rate.take()?;
        self.known_at = known_at;
        self.last_change = Some(LastChange { at: now, source, rate });
        Some(Change::Ended)
    }
}
