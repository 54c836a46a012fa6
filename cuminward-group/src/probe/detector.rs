//! Failure detector of one host: distinguishes failed, paused and slow hosts by the outcomes of their probes.
//!
//! A refused connection shows that the host runs and its service doesn't, so few of them suffice. A probe
//! without an answer may be a lost packet or a short pause, so more of them are needed.

use std::time::Duration;

use cuminward_derive::value;

/// Settings of the failure detector.
#[derive(Debug, Clone)]
pub struct Options {
    /// Refused probes in a row after which a host is dead.
    pub refused: u32,
    /// Unanswered probes in a row after which a host is paused.
    pub unanswered: u32,
    /// Moving average of the answer time from which on a host counts as slow.
    pub slow: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { refused: 2, unanswered: 3, slow: Duration::from_millis(500) }
    }
}

/// How a probe ended.
#[value]
pub enum Outcome {
    /// The host answered.
    Answered {
        /// Time until the answer.
        after: Duration,
    },
    /// The host refused the connection.
    Refused,
    /// No answer came within the probe's timeout.
    Unanswered,
}

/// Classification of a host.
#[value]
pub enum Verdict {
    /// The host answers in time.
    Fine,
    /// The host answers, but late.
    Slow,
    /// The host doesn't answer: it accepts connections without replying, or no packet comes back.
    Paused,
    /// The host refuses connections: its service doesn't run.
    Dead,
}

/// Divisor of the moving average: a new answer time has the weight `1 / SMOOTHING`.
const SMOOTHING: u32 = 4;

/// Failure detector of one host.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    refused: u32,
    unanswered: u32,
    smoothed_time: Option<Duration>,
}

/// Access
impl Detector {
    /// Returns the classification that follows from the probes recorded so far.
    pub fn verdict(&self, options: &Options) -> Verdict {
        if self.refused >= options.refused {
            return Verdict::Dead;
        }
        if self.unanswered + self.refused >= options.unanswered {
            return Verdict::Paused;
        }
        match self.smoothed_time {
            Some(it) if it >= options.slow => Verdict::Slow,
            _ => Verdict::Fine,
        }
    }
}

/// Mutation
impl Detector {
    /// Records the outcome of a probe; returns the verdict and whether it differs from the previous one.
    pub fn record(&mut self, outcome: Outcome, options: &Options) -> (Verdict, bool) {
        let before = self.verdict(options);
        match outcome {
            Outcome::Answered { after } => self.record_answer(after),
            Outcome::Refused => self.refused += 1,
            Outcome::Unanswered => self.unanswered += 1,
        }
        let verdict = self.verdict(options);
        (verdict, verdict != before)
    }

    fn record_answer(&mut self, after: Duration) {
        self.refused = 0;
        self.unanswered = 0;
        let old = self.smoothed_time.unwrap_or(after);
        self.smoothed_time = Some((old * (SMOOTHING - 1) + after) / SMOOTHING);
    }
}
