//! Isolation of suspects: at most one per upstream at this node.

use std::{collections::HashMap, time::Duration};

use cuminward_core::id;

use crate::admission;

use super::{Crash, Fingerprint, Record, Verdict, to_hex};

/// Time slot in which one node may start suspects on an upstream.
const TURN: Duration = Duration::from_secs(1);

/// Part of a turn in which suspects may start, in thousandths. The rest is left for them to end or to
/// prove harmless, and for differences between clocks.
const START_PERMILLE: u128 = 750;

/// Returns whether a node may start a suspect on an upstream now. Each turn belongs to one of the
/// nodes, chosen by rendezvous hashing, so that suspects of two nodes rarely run on one upstream at
/// the same time. `wall` is the time since the Unix epoch.
pub fn is_turn(node: &str, nodes: &[id::Node], upstream: &str, wall: Duration) -> bool {
    if nodes.len() < 2 {
        return true;
    }
    let turn = wall.as_millis() / TURN.as_millis();
    let elapsed_permille = wall.as_millis() % TURN.as_millis() * 1000 / TURN.as_millis();
    let key = format!("{upstream}/{turn}");
    let owner = admission::owner(nodes.iter().map(String::as_str), &key);
    elapsed_permille < START_PERMILLE && owner == Some(node)
}

/// Suspects that run at this node, by upstream.
#[derive(Debug, Clone, Default)]
pub struct Isolation {
    running: HashMap<String, Fingerprint>,
}

/// The upstream already runs a suspect of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy;

/// Permit to run one suspect on one upstream. It ends with [`Isolation::complete`],
/// [`Isolation::abandon`] or [`Isolation::record_crash`].
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    upstream: String,
    fingerprint: Fingerprint,
}

/// Access
impl Isolation {
    /// Returns whether no suspect of this node runs on the upstream.
    pub fn is_free(&self, upstream: &str) -> bool {
        !self.running.contains_key(upstream)
    }
}

/// Mutation
impl Isolation {
    /// Starts a request. Returns a permit for a suspect and `None` for any other request.
    ///
    /// # Errors
    ///
    /// [`Busy`] if the request is a suspect and the upstream already runs a suspect of this node.
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

    /// Ends a suspect that completed. The returned record clears the suspect on all nodes.
    pub fn complete(&mut self, permit: Permit) -> Record {
        let fingerprint = to_hex(permit.fingerprint);
        self.abandon(permit);
        Record::Cleared { fingerprint }
    }

    /// Ends a suspect that didn't complete, without a crash.
    pub fn abandon(&mut self, permit: Permit) {
        let Permit { upstream, fingerprint } = permit;
        if self.running.get(&upstream) == Some(&fingerprint) {
            self.running.remove(&upstream);
        }
    }

    /// Ends the suspect that was isolated on an upstream that crashed with these requests of the node
    /// in flight. Returns the record for all nodes, or `None` if nothing was in flight.
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
