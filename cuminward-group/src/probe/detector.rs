//! Detector: tells dead, paused and slow hosts apart by how their probes end.
//!
//! A refused connection says that the host is there and its service isn't; few of them are enough. A
//! probe without an answer may be a lost packet or a short pause; more of them are needed.

use std::time::Duration;

use cuminward_derive::value;

/// Settings of the judgement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Refused probes in a row after which a host is dead.
    pub refused: u32,
    /// Unanswered probes in a row after which a host is paused.
    pub unanswered: u32,
    /// Smoothed time of an answer from which on a host is slow.
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

/// What is thought of a host.
#[value]
pub enum Verdict {
    /// The host answers in time.
    Fine,
    /// The host answers, but late.
    Slow,
    /// The host takes connections, or nothing is heard of it at all, and doesn't answer.
    Paused,
    /// The host's service is gone.
    Dead,
}

/// Weight of a new time in the smoothed one: one part in this many.
const SMOOTHING: u32 = 4;

/// What the probes of one host have shown.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    refused: u32,
    unanswered: u32,
    smoothed: Option<Duration>,
}

/// Access
impl Detector {
    /// What is thought of the host.
    pub fn verdict(&self, options: &Options) -> Verdict {
        if self.refused >= options.refused {
            return Verdict::Dead;
        }
        if self.unanswered + self.refused >= options.unanswered {
            return Verdict::Paused;
        }
        match self.smoothed {
            Some(it) if it >= options.slow => Verdict::Slow,
            _ => Verdict::Fine,
        }
    }
}

/// Mutation
impl Detector {
    /// Takes in how a probe ended; returns the verdict and whether it differs from the one before.
    pub fn record(&mut self, probe: Outcome, options: &Options) -> (Verdict, bool) {
        let before = self.verdict(options);
        match probe {
            Outcome::Answered { after } => self.answered(after),
            Outcome::Refused => self.refused += 1,
            Outcome::Unanswered => self.unanswered += 1,
        }
        let verdict = self.verdict(options);
        (verdict, verdict != before)
    }

    fn answered(&mut self, after: Duration) {
        self.refused = 0;
        self.unanswered = 0;
        let old = self.smoothed.unwrap_or(after);
        self.smoothed = Some((old * (SMOOTHING - 1) + after) / SMOOTHING);
    }
}
