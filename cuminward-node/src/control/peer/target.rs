//! Chooses the nodes that a round of greetings reaches.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::id;
use cuminward_peer::topology;

use crate::{control::peer::hello, peers, state};

/// Age from which what another failure domain said is renewed, where not all nodes greet each other.
const FAR: Duration = Duration::from_millis(1_400);

/// Nodes by name.
type Known = BTreeMap<id::Node, peers::Peer>;

/// The nodes to greet in a round: all of them while they are few; else a bounded number of the own
/// failure domain, one lost node of it, and from time to time one node of each other domain.
pub(super) fn choose(state: &state::State, round: usize) -> BTreeSet<id::Node> {
    let known = state.peers.all();
    if known.len() <= topology::FULL_MESH_LIMIT {
        return known.keys().cloned().collect();
    }
    let mut targets = near(state, &known, round);
    targets.extend(far(state, &known, round));
    targets
}

/// Nodes of the own failure domain: neighbours among those that may answer, and one of the others, so
/// that the sides of a healed partition find each other.
fn near(state: &state::State, known: &Known, round: usize) -> BTreeSet<id::Node> {
    let (node, now) = (&state.settings.node, state.now());
    let own = known.iter().filter(|(_, it)| it.domain == state.settings.domain);
    let (hopeful, lost): (Vec<_>, Vec<_>) = own.partition(|(_, it)| it.may_be_live(now));
    let names = hopeful.iter().map(|(name, _)| name.as_str());
    let neighbours = topology::select_neighbours(node, names).into_iter().map(str::to_owned);
    let lost = lost.get(round % lost.len().max(1)).map(|(name, _)| (*name).clone());
    neighbours.chain(lost).collect()
}

/// One node of each other failure domain whose last word is due for renewal.
fn far(state: &state::State, known: &Known, round: usize) -> Vec<id::Node> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, peer) in known {
        domains.entry(&peer.domain).or_default().push(name);
    }
    let node = state.settings.node.as_str();
    let mut own = domains.remove(state.settings.domain.as_str()).unwrap_or_default();
    own.push(node);
    let due = domains.into_values().filter_map(|others| {
        let last = last(state, known, &others);
        match last {
            Some((_, age)) if age < FAR => None,
            Some((name, age)) if age <= FAR + hello::INTERVAL => Some(name.to_owned()),
            // Each gets its turn until one answers.
            _ => {
                let partners = topology::rank_remotes(node, own.iter().copied(), others);
                Some(partners[round % partners.len()].to_owned())
            }
        }
    });
    due.collect()
}

/// The node that answered last, with the age of its answer.
fn last<'a>(state: &state::State, known: &Known, nodes: &[&'a str]) -> Option<(&'a str, Duration)> {
    let now = state.now();
    let answers = nodes.iter().filter_map(|it| Some((*it, known[*it].status.as_ref()?.at)));
    let last = answers.max_by_key(|(_, at)| *at);
    last.map(|(name, at)| (name, now.saturating_sub(at)))
}
