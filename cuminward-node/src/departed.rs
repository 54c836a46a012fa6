//! Nodes that have ended regularly: they hold no slots and send no more work.
//!
//! A node says farewell to the nodes that it knows; these tell the others with their greetings.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cuminward_core::id;
use cuminward_peer::message;

/// Time for which other nodes are told; the host list has dropped the node by then.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(60);

/// Nodes that said farewell.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: Mutex<BTreeMap<id::Node, Incarnations>>,
}

/// What is known about the starts of a node.
#[derive(Debug, Default)]
struct Incarnations {
    latest: id::Incarnation,
    ended: id::Incarnation,
    announced_until: Duration,
}

/// Access
impl Nodes {
    /// Tells whether the last known start of a node has ended.
    pub fn contains(&self, node: &str) -> bool {
        self.lock().get(node).is_some_and(|it| 0 < it.ended && it.latest <= it.ended)
    }

    /// Ended starts, as other nodes are told of them.
    pub fn list(&self, now: Duration) -> Vec<message::Shutdown> {
        let nodes = self.lock();
        let announced = nodes.iter().filter(|(_, it)| now < it.announced_until);
        announced
            .map(|(node, it)| message::Shutdown { node: node.clone(), incarnation: it.ended })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<id::Node, Incarnations>> {
        self.nodes.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Nodes {
    /// Notes that a start of a node has ended.
    pub fn add(&self, now: Duration, ended: &message::Shutdown) {
        let mut nodes = self.lock();
        let node = nodes.entry(ended.node.clone()).or_default();
        if node.ended < ended.incarnation {
            node.ended = ended.incarnation;
            node.announced_until = now + ANNOUNCEMENT_TIME;
        }
    }

    /// Records the newest incarnation that was seen of a node.
    pub fn record_incarnation(&self, node: &str, incarnation: id::Incarnation) {
        let mut nodes = self.lock();
        let node = nodes.entry(node.to_owned()).or_default();
        node.latest = node.latest.max(incarnation);
    }

    /// Forgets nodes that are neither listed nor told of any more.
    pub fn retain(&self, now: Duration, listed: impl Fn(&str) -> bool) {
        self.lock().retain(|node, it| listed(node) || now < it.announced_until);
    }
}
