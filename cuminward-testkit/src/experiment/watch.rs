//! Checks that accepted revisions come into force at every node in time, and that none is reverted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use cuminward_core::id;

use crate::experiment::testbed;

/// Time within which an accepted revision has to come into force at every connected node.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Revisions observed at the nodes.
#[derive(Debug, Default)]
pub struct Watch {
    observations: BTreeMap<id::Node, Observation>,
    late: BTreeSet<(id::Node, id::Revision)>,
    /// Number of times that the revision of a node decreased.
    pub reverts: u64,
    /// Number of polls of all nodes.
    pub polls: u64,
}

#[derive(Debug)]
struct Observation {
    since: Instant,
    revision: id::Revision,
}

/// Access
impl Watch {
    /// Returns the number of pairs of a node and an accepted revision that didn't come into force
    /// there in time.
    pub fn late(&self) -> u64 {
        self.late.len() as u64
    }
}

/// Mutation
impl Watch {
    /// Reads the revision in force at every node once.
    pub async fn poll(&mut self, testbed: &testbed::Testbed) {
        let nodes: Vec<(id::Node, id::Domain, id::Revision)> = {
            let cluster = testbed.cluster.read().await;
            let row = |(name, node): (&id::Node, &cuminward_node::node::Node)| {
                let state = node.state();
                (name.clone(), state.settings.domain.clone(), *state.revision.borrow())
            };
            cluster.nodes().map(row).collect()
        };
        let now = Instant::now();
        let history = testbed.history();
        for (name, domain, revision) in nodes {
            let observed = self
                .observations
                .entry(name.clone())
                .or_insert(Observation { since: now, revision });
            self.reverts += u64::from(revision < observed.revision);
            observed.revision = revision;
            let Some(connected) = connected_since(&history, &domain, observed.since) else {
                continue;
            };
            for (accepted, at) in &history.accepted {
                if revision < *accepted && (*at).max(connected) + IN_FORCE_LIMIT < now {
                    self.late.insert((name.clone(), *accepted));
                }
            }
        }
        self.polls += 1;
    }
}

/// Returns the time since which a node is connected, `None` while its failure domain is
/// partitioned.
fn connected_since(history: &testbed::History, domain: &str, since: Instant) -> Option<Instant> {
    let mut connected = since;
    for (_, end) in history.partitions.iter().filter(|(name, _)| name == domain) {
        connected = connected.max((*end)?);
    }
    Some(connected)
}
