//! Nodes that have shut down gracefully: they hold no slots and send no more requests.
//!
//! A node announces its shutdown to the nodes that it knows; these pass it on with hello messages.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cuminward_core::id;
use cuminward_peer::message;

/// Time for which a shutdown is passed on to other nodes; the host list drops the node earlier.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(60);

/// Nodes that announced their shutdown.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: Mutex<BTreeMap<id::Node, Incarnations>>,
}

/// Newest seen and newest ended incarnation of a node.
#[derive(Debug, Default)]
struct Incarnations {
    latest: id::Incarnation,
    ended: id::Incarnation,
    /// Time until which hello messages pass the shutdown on.
    announced_until: Duration,
}

/// Access
impl Nodes {
    /// Returns whether the newest known incarnation of a node has ended.
    pub fn contains(&self, node: &str) -> bool {
        self.lock().get(node).is_some_and(|it| 0 < it.ended && it.latest <= it.ended)
    }

    /// Returns the ended incarnations that hello messages still pass on.
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
    /// Records that an incarnation of a node has ended.
    pub fn add(&self, now: Duration, ended: &message::Shutdown) {
        let mut nodes = self.lock();
        let node = nodes.entry(ended.node.clone()).or_default();
        if node.ended < ended.incarnation {
            node.ended = ended.incarnation;
            node.announced_until = now + ANNOUNCEMENT_TIME;
        }
    }

    /// Records that an incarnation of a node was seen.
    pub fn record_incarnation(&self, node: &str, incarnation: id::Incarnation) {
        let mut nodes = self.lock();
        let node = nodes.entry(node.to_owned()).or_default();
        node.latest = node.latest.max(incarnation);
    }

    /// Removes nodes that are neither listed nor announced any more.
    pub fn retain(&self, now: Duration, listed: impl Fn(&str) -> bool) {
        self.lock().retain(|node, it| listed(node) || now < it.announced_until);
    }
}
