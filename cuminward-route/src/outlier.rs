//! Outlier detection: ejects upstreams that fail or are slow compared with the others.
//!
//! An ejected upstream gets no new requests for a time that doubles with each ejection. A minimum
//! part of the upstreams always stays in use: if most of them look bad, the cause is elsewhere.

use std::{collections::BTreeMap, time::Duration};

/// The newest latency has a weight of one in this many in the moving average.
const SMOOTHING: u32 = 8;

/// Limit of the doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;

/// Thresholds and times of ejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Results within one interval that an upstream needs to be evaluated.
    pub min_results: u32,
    /// Failure rate from which an upstream is ejected, in thousandths.
    pub failure_permille: u32,
    /// Average latency, as a multiple of the median of all upstreams, from which an upstream is
    /// ejected.
    pub slow_factor: u32,
    /// Minimum part of the upstreams that stays in use, in thousandths; at least one always does.
    pub floor_permille: u32,
    /// Time over which results are counted.
    pub interval: Duration,
    /// Duration of the first ejection.
    pub ejection: Duration,
}

/// Result of one request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The upstream answered; its first byte arrived after this time.
    Answered(Duration),
    /// The upstream failed.
    Failed,
}

/// Detects outliers among the upstreams of one service.
#[derive(Debug, Clone)]
pub struct Detector {
    options: Options,
    upstreams: BTreeMap<String, Upstream>,
    /// When the current interval began.
    interval_start: Duration,
}

/// Results and ejections of one upstream.
#[derive(Debug, Clone, Default)]
struct Upstream {
    /// Results of the current interval.
    answered: u32,
    failed: u32,
    /// Moving average of the latency.
    latency: Option<Duration>,
    /// When the last ejection ends.
    ejected_until: Option<Duration>,
    /// Number of ejections, less one for each interval without failures.
    ejections: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            min_results: 5,
            failure_permille: 500,
            slow_factor: 4,
            floor_permille: 700,
            interval: Duration::from_secs(5),
            ejection: Duration::from_secs(5),
        }
    }
}

/// Life cycle
impl Detector {
    /// Creates a detector without upstreams.
    pub fn new(options: Options) -> Detector {
        Detector { options, upstreams: BTreeMap::new(), interval_start: Duration::ZERO }
    }
}

/// Access
impl Detector {
    /// Returns the upstreams that are ejected now.
    pub fn ejected(&self, now: Duration) -> impl Iterator<Item = &str> {
        let ejected = self.upstreams.iter().filter(move |(_, it)| it.is_ejected(now));
        ejected.map(|(name, _)| name.as_str())
    }

    /// Returns the number of upstreams that may be ejected at the same time.
    fn max_ejected(&self) -> usize {
        let count = self.upstreams.len();
        let floor = (count * self.options.floor_permille as usize).div_ceil(1000).max(1);
        count.saturating_sub(floor)
    }

    /// Returns the median of the upstreams' average latencies.
    fn median(&self) -> Option<Duration> {
        let mut all: Vec<Duration> = self.upstreams.values().filter_map(|it| it.latency).collect();
        all.sort_unstable();
        all.get(all.len().checked_sub(1)? / 2).copied()
    }
}

/// Mutation
impl Detector {
    /// Sets the upstreams of the service; the state of all others is dropped.
    pub fn set_upstreams<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let mut former = std::mem::take(&mut self.upstreams);
        for name in names {
            let known = former.remove(name).unwrap_or_default();
            self.upstreams.insert(name.to_owned(), known);
        }
    }

    /// Records the result of a request at an upstream.
    pub fn record(&mut self, upstream: &str, sample: Sample) {
        let Some(it) = self.upstreams.get_mut(upstream) else { return };
        match sample {
            Sample::Answered(latency) => it.record_answer(latency),
            Sample::Failed => it.failed += 1,
        }
    }

    /// Ejects the worst outliers as far as the floor allows, once per interval. Call this regularly.
    pub fn evaluate(&mut self, now: Duration) {
        if now < self.interval_start + self.options.interval {
            return;
        }
        self.interval_start = now;
        let median = self.median();
        let mut outliers = self.outliers(now, median);
        let ejected = self.ejected(now).count();
        outliers.truncate(self.max_ejected().saturating_sub(ejected));
        for (_, name) in outliers {
            let upstream =
                self.upstreams.get_mut(&name).expect("only known upstreams are evaluated");
            upstream.eject(now, self.options.ejection);
        }
        self.upstreams.values_mut().for_each(Upstream::begin_interval);
    }

    /// Returns the outliers that aren't ejected, with their severity, the worst first.
    fn outliers(&self, now: Duration, median: Option<Duration>) -> Vec<(u64, String)> {
        let in_use = self.upstreams.iter().filter(|(_, it)| !it.is_ejected(now));
        let rated = in_use.map(|(name, it)| (it.severity(&self.options, median), name.clone()));
        let mut outliers: Vec<_> = rated.filter(|it| it.0 > 0).collect();
        outliers.sort_by(|a, b| b.cmp(a));
        outliers
    }
}

impl Upstream {
    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|it| now < it)
    }

    /// Returns how far the upstream is beyond the thresholds, or 0 if it isn't an outlier. Failing
    /// upstreams rank above slow ones.
    fn severity(&self, options: &Options, median: Option<Duration>) -> u64 {
        let results = self.answered + self.failed;
        if results < options.min_results {
            return 0;
        }
        let failure_rate = u64::from(self.failed) * 1000 / u64::from(results);
        if failure_rate >= u64::from(options.failure_permille.max(1)) {
            return 1_000_000 + failure_rate;
        }
        let (Some(latency), Some(median)) = (self.latency, median) else { return 0 };
        let factor = latency.as_micros() / median.as_micros().max(1);
        let slow = factor >= u128::from(options.slow_factor);
        if slow { factor.min(1_000_000) as u64 } else { 0 }
    }

    /// Counts an answer and updates the average latency.
    fn record_answer(&mut self, latency: Duration) {
        self.answered += 1;
        let old = self.latency.unwrap_or(latency);
        self.latency = Some((old * (SMOOTHING - 1) + latency) / SMOOTHING);
    }

    /// Ejects the upstream for `base`, doubled for each ejection before.
    fn eject(&mut self, now: Duration, base: Duration) {
        self.ejected_until = Some(now + base * (1 << self.ejections.min(MAX_DOUBLINGS)));
        self.ejections += 1;
        self.latency = None;
    }

    /// Resets the counted results. An interval with answers and without failures takes back one
    /// doubling.
    fn begin_interval(&mut self) {
        if self.answered > 0 && self.failed == 0 {
            self.ejections = self.ejections.saturating_sub(1);
        }
        self.answered = 0;
        self.failed = 0;
    }
}
