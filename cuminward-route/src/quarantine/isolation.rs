//! Which suspect runs where at this node.

use std::{collections::HashMap, time::Duration};

use cuminward_core::id;

use crate::admission;

use super::{Crash, Fingerprint, Record, Verdict, to_hex};

/// Time for which one node may begin suspects on an upstream.
const TURN: Duration = Duration::from_secs(1);

/// Part of a turn in which suspects may begin, in thousandths; the rest is for them to end or to
/// prove harmless, and for differences between clocks.
const BEGIN_PERMILLE: u128 = 750;

/// Tells whether a node may begin a suspect on an upstream now. Turns go round among the nodes by
/// hash, so that the suspects of two nodes hardly ever run on one upstream at the same time. `wall`
/// is the time since the Unix epoch.
pub fn is_turn(node: &str, nodes: &[id::Node], upstream: &str, wall: Duration) -> bool {
    if nodes.len() < 2 {
        return true;
    }
    let turn = wall.as_millis() / TURN.as_millis();
    let begun = wall.as_millis() % TURN.as_millis() * 1000 / TURN.as_millis();
    let place = format!("{upstream}/{turn}");
    let owner = admission::owner(nodes.iter().map(String::as_str), &place);
    begun < BEGIN_PERMILLE && owner == Some(node)
}

/// Suspects that this node runs, by upstream.
#[derive(Debug, Clone, Default)]
pub struct Isolation {
    running: HashMap<String, Fingerprint>,
}

/// The upstream already runs a suspect of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy;

/// The right to run one suspect on one upstream; give it back with [`Isolation::complete`],
/// [`Isolation::abandon`] or [`Isolation::record_crash`].
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    upstream: String,
    fingerprint: Fingerprint,
}

/// Access
impl Isolation {
    /// Tells whether a suspect may begin on the upstream.
    pub fn is_free(&self, upstream: &str) -> bool {
        !self.running.contains_key(upstream)
    }
}

/// Mutation
impl Isolation {
    /// Lets a request begin; requests that are not suspected need no token.
    pub fn begin(
        &mut self,
        upstream: &str,
        fingerprint: Fingerprint,
        verdict: Verdict,
    ) -> Result<Option<Permit>, Busy> {
        if verdict != Verdict::Suspect {
            return Ok(None);
        }
        if !self.is_free(upstream) {
            return Err(Busy);
        }
        self.running.insert(upstream.to_owned(), fingerprint);
        Ok(Some(Permit { upstream: upstream.to_owned(), fingerprint }))
    }

    /// Ends a suspect that ran to its end; the record clears it everywhere.
    pub fn complete(&mut self, token: Permit) -> Record {
        let fingerprint = to_hex(token.fingerprint);
        self.abandon(token);
        Record::Cleared { fingerprint }
    }

    /// Ends a suspect that did not run to its end, without a crash.
    pub fn abandon(&mut self, token: Permit) {
        let Permit { upstream, fingerprint } = token;
        if self.running.get(&upstream) == Some(&fingerprint) {
            self.running.remove(&upstream);
        }
    }

    /// Notes that an upstream crashed with these requests of the node in flight; the record tells
    /// all nodes. `None` when nothing was in flight.
    pub fn record_crash(
        &mut self,
        node: &str,
        upstream: &str,
        incarnation: id::Incarnation,
        in_flight: &[Fingerprint],
    ) -> Option<Record> {
        let isolated = self.running.remove(upstream);
        if in_flight.is_empty() && isolated.is_none() {
            return None;
        }
        let mut suspects: Vec<String> = in_flight.iter().map(|it| to_hex(*it)).collect();
        suspects.sort_unstable();
        suspects.dedup();
        Some(Record::Crashed(Crash {
            node: node.to_owned(),
            upstream: upstream.to_owned(),
            incarnation,
            suspects,
            isolated: isolated.map(to_hex),
        }))
    }
}
