//! Ejection of upstreams that fail or are slow beside the others.
//!
//! An ejected upstream gets no new work for a time that doubles with each ejection. However many
//! upstreams look bad, a set part of them stays in use: when most look bad, the cause is elsewhere.

use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest latency in the smoothed one: one in this many.
const SMOOTHING: u32 = 8;

/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;

/// When an upstream is ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Results that an upstream needs within one interval to be judged.
    pub min_results: u32,
    /// Part of failures from which an upstream is ejected, in thousandths.
    pub failure_permille: u32,
    /// Smoothed latency, as a multiple of the median of all upstreams, from which an upstream is
    /// ejected.
    pub slow_factor: u32,
    /// Part of the upstreams that stays in use, in thousandths; at least one does.
    pub floor_permille: u32,
    /// Time over which failures are counted.
    pub interval: Duration,
    /// Time of the first ejection.
    pub ejection: Duration,
}

/// How one request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The upstream answered, its first byte after this time.
    Answered(Duration),
    /// The upstream failed.
    Failed,
}

/// Judges the upstreams of one service.
#[derive(Debug, Clone)]
pub struct Detector {
    options: Options,
    upstreams: BTreeMap<String, Upstream>,
    since: Duration,
}

#[derive(Debug, Clone, Default)]
struct Upstream {
    answered: u32,
    failed: u32,
    latency: Option<Duration>,
    until: Option<Duration>,
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
    /// Makes a detector without upstreams.
    pub fn new(options: Options) -> Detector {
        Detector { options, upstreams: BTreeMap::new(), since: Duration::ZERO }
    }
}

/// Access
impl Detector {
    /// Upstreams that get no new work now.
    pub fn ejected(&self, now: Duration) -> impl Iterator<Item = &str> {
        let ejected = self.upstreams.iter().filter(move |(_, it)| it.is_ejected(now));
        ejected.map(|(name, _)| name.as_str())
    }

    /// Upstreams that may be ejected together.
    fn most(&self) -> usize {
        let count = self.upstreams.len();
        let floor = (count * self.options.floor_permille as usize).div_ceil(1000).max(1);
        count.saturating_sub(floor)
    }

    fn median(&self) -> Option<Duration> {
        let mut all: Vec<Duration> = self.upstreams.values().filter_map(|it| it.latency).collect();
        all.sort_unstable();
        all.get(all.len().checked_sub(1)? / 2).copied()
    }
}

/// Mutation
impl Detector {
    /// Sets the upstreams of the service; others are forgotten.
    pub fn set_upstreams<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let mut former = std::mem::take(&mut self.upstreams);
        for name in names {
            let known = former.remove(name).unwrap_or_default();
            self.upstreams.insert(name.to_owned(), known);
        }
    }

    /// Notes how a request at an upstream ended.
    pub fn record(&mut self, upstream: &str, sample: Sample) {
        let Some(it) = self.upstreams.get_mut(upstream) else { return };
        match sample {
            Sample::Answered(latency) => it.answer(latency),
            Sample::Failed => it.failed += 1,
        }
    }

    /// Ejects the worst upstreams as far as the floor allows; call this regularly.
    pub fn evaluate(&mut self, now: Duration) {
        if now < self.since + self.options.interval {
            return;
        }
        self.since = now;
        let median = self.median();
        let mut bad = self.bad(now, median);
        let out = self.ejected(now).count();
        bad.truncate(self.most().saturating_sub(out));
        for (_, name) in bad {
            let it = self.upstreams.get_mut(&name).expect("only known upstreams are judged");
            it.eject(now, self.options.ejection);
        }
        self.upstreams.values_mut().for_each(Upstream::begin_interval);
    }

    /// Upstreams that look bad, the worst first.
    fn bad(&self, now: Duration, median: Option<Duration>) -> Vec<(u64, String)> {
        let known = self.upstreams.iter().filter(|(_, it)| !it.is_ejected(now));
        let judged = known.map(|(name, it)| (it.badness(&self.options, median), name.clone()));
        let mut bad: Vec<_> = judged.filter(|it| it.0 > 0).collect();
        bad.sort_by(|a, b| b.cmp(a));
        bad
    }
}

impl Upstream {
    fn is_ejected(&self, now: Duration) -> bool {
        self.until.is_some_and(|it| now < it)
    }

    /// 0 for a good upstream, more for a worse one; failures count before slowness.
    fn badness(&self, options: &Options, median: Option<Duration>) -> u64 {
        let results = self.answered + self.failed;
        if results < options.min_results {
            return 0;
        }
        let failures = u64::from(self.failed) * 1000 / u64::from(results);
        if failures >= u64::from(options.failure_permille.max(1)) {
            return 1_000_000 + failures;
        }
        let (Some(latency), Some(median)) = (self.latency, median) else { return 0 };
        let factor = latency.as_micros() / median.as_micros().max(1);
        let slow = factor >= u128::from(options.slow_factor);
        if slow { factor.min(1_000_000) as u64 } else { 0 }
    }

    fn answer(&mut self, latency: Duration) {
        self.answered += 1;
        let old = self.latency.unwrap_or(latency);
        self.latency = Some((old * (SMOOTHING - 1) + latency) / SMOOTHING);
    }

    fn eject(&mut self, now: Duration, time: Duration) {
        self.until = Some(now + time * (1 << self.ejections.min(MAX_DOUBLINGS)));
        self.ejections += 1;
        self.latency = None;
    }

    /// Forgets counted results; a good interval in use takes one doubling back.
    fn begin_interval(&mut self) {
        if self.answered > 0 && self.failed == 0 {
            self.ejections = self.ejections.saturating_sub(1);
        }
        self.answered = 0;
        self.failed = 0;
    }
}
