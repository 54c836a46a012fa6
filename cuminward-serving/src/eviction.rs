//! Which connections of callers are closed to make room for others.
//!
//! Answers crowds of callers that hold connections without use: idle ones, heads and bodies that trickle in, and refused
//! requests whose rest goes on; and callers that send one request after the other while others have no connection.

use std::{cmp::Reverse, time::Duration};

/// Time for which a connection is left alone at each stage: a caller that has just connected sends its request, and one that
/// was refused reads the response.
const MIN_AGE: Duration = Duration::from_millis(500);

/// Time after which the rate of a body tells slow callers from others.
const MIN_BODY_AGE: Duration = Duration::from_secs(1);

/// Time for which a connection may serve requests before it gives way to others.
const MIN_TURN: Duration = Duration::from_secs(1);

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request is in flight. The head of one may be arriving.
    Idle,
    /// The body of a request arrives, and no upstream has got the request.
    Receiving,
    /// A request is being served. A connection that is closed at this stage ends with the response.
    Serving,
    /// A request was refused, and the rest of it is read.
    Refused,
}

/// A connection that may be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What it is used for.
    pub stage: Stage,
    /// Time since the stage began; while a request is being served, since the connection was accepted.
    pub age: Duration,
    /// Bytes of the body that have arrived.
    pub received: u64,
}

/// Order in which connections are closed, the first one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Its caller has the response.
    Refused(Reverse<Duration>),
    /// The one that has been idle for longest goes first.
    Idle(Reverse<Duration>),
    /// The one with the lowest rate goes first, in bytes per second.
    Receiving(u64),
    /// The one that was accepted first goes first.
    Serving(Reverse<Duration>),
}

/// Access
impl Candidate {
    /// Returns when the connection is closed among others; `None` if it isn't closed.
    fn rank(&self) -> Option<Rank> {
        match self.stage {
            Stage::Refused if self.age >= MIN_AGE => Some(Rank::Refused(Reverse(self.age))),
            Stage::Idle if self.age >= MIN_AGE => Some(Rank::Idle(Reverse(self.age))),
            Stage::Receiving if self.age >= MIN_BODY_AGE => {
                Some(Rank::Receiving((self.received as f64 / self.age.as_secs_f64()) as u64))
            }
            Stage::Serving if self.age >= MIN_TURN => Some(Rank::Serving(Reverse(self.age))),
            _ => None,
        }
    }
}

/// Returns the indexes of up to `count` connections that are closed, in their order.
pub fn choose(candidates: &[Candidate], count: usize) -> Vec<usize> {
    let ranks = candidates.iter().enumerate().filter_map(|(index, it)| Some((it.rank()?, index)));
    let mut ranked: Vec<(Rank, usize)> = ranks.collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, index)| index).collect()
}
