//! Watch over the revisions in force: accepted ones are in force everywhere in time, none falls.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use cuminward_core::id;

use crate::experiment::stage;

/// Time within which an accepted revision has to be in force at every node that is connected.
pub const BOUND: Duration = Duration::from_secs(5);

/// What was seen.
#[derive(Debug, Default)]
pub struct Watch {
    seen: BTreeMap<id::Node, Seen>,
    late: BTreeSet<(id::Node, id::Revision)>,
    /// Times a node's revision fell.
    pub falls: u64,
    /// Looks at all nodes.
    pub looks: u64,
}

#[derive(Debug)]
struct Seen {
    since: Instant,
    revision: id::Revision,
}

/// Access
impl Watch {
    /// Pairs of a node and an accepted revision that was not in force in time.
    pub fn late(&self) -> u64 {
        self.late.len() as u64
    }
}

/// Mutation
impl Watch {
    /// Looks at every node once.
    pub async fn look(&mut self, stage: &stage::Stage) {
        let nodes: Vec<(id::Node, id::Domain, id::Revision)> = {
            let cluster = stage.cluster.read().await;
            let row = |(name, node): (&id::Node, &cuminward_node::node::Node)| {
                let state = node.state();
                (name.clone(), state.settings.domain.clone(), *state.revision.borrow())
            };
            cluster.nodes().map(row).collect()
        };
        let now = Instant::now();
        let marks = stage.marks();
        for (name, domain, revision) in nodes {
            let seen = self.seen.entry(name.clone()).or_insert(Seen { since: now, revision });
            self.falls += u64::from(revision < seen.revision);
            seen.revision = revision;
            let Some(connected) = connected_since(&marks, &domain, seen.since) else { continue };
            for (accepted, at) in &marks.accepted {
                if revision < *accepted && (*at).max(connected) + BOUND < now {
                    self.late.insert((name.clone(), *accepted));
                }
            }
        }
        self.looks += 1;
    }
}

/// Time since which a node is connected; `None` while its failure domain is cut off.
fn connected_since(marks: &stage::Marks, domain: &str, since: Instant) -> Option<Instant> {
    let mut connected = since;
    for (_, end) in marks.cut.iter().filter(|(name, _)| name == domain) {
        connected = connected.max((*end)?);
    }
    Some(connected)
}
