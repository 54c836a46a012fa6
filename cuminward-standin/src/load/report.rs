//! Summarizes the requests of a run.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;
use cuminward_derive::record;
use hdrhistogram::Histogram;

use super::{End, Sample};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Largest value of the histograms, one hour in microseconds; longer times count as this value.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// Result of a run.
#[record]
pub struct Report {
    /// Figures of all requests.
    pub all: Figures,
    /// Figures by team.
    pub teams: BTreeMap<id::Team, Figures>,
    /// Duration until the last request ended, in seconds.
    pub seconds: f64,
    /// Results of all requests, in unspecified order; not serialized.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

/// Counts and latencies of a set of requests.
#[record]
#[derive(Default)]
pub struct Figures {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct replies.
    pub complete: u64,
    /// Replies that ended early.
    pub cut_off: u64,
    /// Requests refused with an HTTP error.
    pub refused: u64,
    /// Replies with an unexpected text.
    pub wrong: u64,
    /// Requests that exceeded their time limit.
    pub timed_out: u64,
    /// Requests without a response.
    pub failed: u64,
    /// Number of incomplete requests, by status and detail.
    pub details: BTreeMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Time from the intended start to the first token.
    pub first_token: Quantiles,
    /// Time between tokens.
    pub between_tokens: Quantiles,
    /// Time from the intended start to the end of complete replies.
    pub total: Quantiles,
}

/// Quantiles of a set of durations.
#[record]
#[derive(Default)]
pub struct Quantiles {
    /// Number of durations.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Life cycle
impl Report {
    pub(super) fn new(samples: Vec<Sample>, duration: Duration) -> Report {
        let mut teams: BTreeMap<id::Team, Vec<&Sample>> = BTreeMap::new();
        for sample in &samples {
            teams.entry(sample.team.clone()).or_default().push(sample);
        }
        Report {
            all: Figures::new(&samples.iter().collect::<Vec<_>>()),
            teams: teams.into_iter().map(|(team, it)| (team, Figures::new(&it))).collect(),
            seconds: duration.as_secs_f64(),
            samples,
        }
    }
}

/// Access
impl Report {
    /// Returns the figures of the requests whose intended start is from `from` (included) to `to`
    /// (excluded), both in seconds since the start of the run.
    pub fn between(&self, from: f64, to: f64) -> Figures {
        let within = |it: &&Sample| from <= it.start_seconds && it.start_seconds < to;
        Figures::new(&self.samples.iter().filter(within).collect::<Vec<_>>())
    }
}

/// Life cycle
impl Figures {
    fn new(samples: &[&Sample]) -> Figures {
        let count = |end: End| samples.iter().filter(|it| it.end == end).count() as u64;
        let complete = samples.iter().filter(|it| it.end == End::Complete);
        Figures {
            sent: samples.len() as u64,
            complete: count(End::Complete),
            cut_off: count(End::CutOff),
            refused: count(End::Refused),
            wrong: count(End::Wrong),
            timed_out: count(End::TimedOut),
            failed: count(End::Failed),
            details: details(samples),
            tokens: samples.iter().map(|it| it.tokens).sum(),
            first_token: Quantiles::new(samples.iter().filter_map(|it| it.first_token_seconds)),
            between_tokens: Quantiles::new(
                samples.iter().flat_map(|it| it.gaps_seconds.iter().copied()),
            ),
            total: Quantiles::new(complete.map(|it| it.total_seconds)),
        }
    }
}

/// Life cycle
impl Quantiles {
    fn new(seconds: impl Iterator<Item = f64>) -> Quantiles {
        let mut histogram: Histogram<u64> = Histogram::new_with_max(LONGEST_MICROS, DIGITS)
            .expect("limit and number of digits are valid");
        seconds.for_each(|it| histogram.saturating_record((it * 1e6) as u64));
        let quantile = |it: f64| histogram.value_at_quantile(it) as f64 / 1e3;
        Quantiles {
            count: histogram.len(),
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}

/// Counts the incomplete requests by status and detail.
fn details(samples: &[&Sample]) -> BTreeMap<String, u64> {
    let mut details = BTreeMap::new();
    for sample in samples.iter().filter(|it| it.end != End::Complete) {
        let detail = format!("{} {}", sample.status, sample.detail).trim().to_owned();
        *details.entry(detail).or_default() += 1;
    }
    details
}
