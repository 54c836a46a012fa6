//! Selects the nodes that receive a hello in a round.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::id;
use cuminward_peer::topology;

use crate::{control::peer::hello, peers, state};

/// Age at which the status of another failure domain is renewed, if the nodes do not form a full
/// mesh.
const REMOTE_STATUS_AGE: Duration = Duration::from_millis(1_400);

/// The other nodes by name.
type Peers = BTreeMap<id::Node, peers::Peer>;

/// Returns the nodes that receive a hello in a round.
///
/// Up to [`topology::FULL_MESH_LIMIT`] nodes form a full mesh. Beyond that the targets are a
/// bounded number of neighbours and one unreachable node of the own failure domain, and one node of
/// each other domain whose status is due for renewal.
pub(super) fn choose(state: &state::State, round: usize) -> BTreeSet<id::Node> {
    let known = state.peers.all();
    if known.len() <= topology::FULL_MESH_LIMIT {
        return known.keys().cloned().collect();
    }
    let mut targets = domain_targets(state, &known, round);
    targets.extend(remote_targets(state, &known, round));
    targets
}

/// Returns targets in the own failure domain: neighbours among the nodes that may be live, and one
/// of the others in turn, so that the sides of a healed partition find each other.
fn domain_targets(state: &state::State, known: &Peers, round: usize) -> BTreeSet<id::Node> {
    let (node, now) = (&state.settings.node, state.now());
    let own = known.iter().filter(|(_, it)| it.domain == state.settings.domain);
    let (reachable, lost): (Vec<_>, Vec<_>) = own.partition(|(_, it)| it.may_be_live(now));
    let names = reachable.iter().map(|(name, _)| name.as_str());
    let neighbours = topology::select_neighbours(node, names).into_iter().map(str::to_owned);
    let lost = lost.get(round % lost.len().max(1)).map(|(name, _)| (*name).clone());
    neighbours.chain(lost).collect()
}

/// Returns one node of each other failure domain whose newest status is due for renewal.
fn remote_targets(state: &state::State, known: &Peers, round: usize) -> Vec<id::Node> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, peer) in known {
        domains.entry(&peer.domain).or_default().push(name);
    }
    let node = state.settings.node.as_str();
    let mut own = domains.remove(state.settings.domain.as_str()).unwrap_or_default();
    own.push(node);
    let due = domains.into_values().filter_map(|others| {
        let last = last_answer(state, known, &others);
        match last {
            Some((_, age)) if age < REMOTE_STATUS_AGE => None,
            Some((name, age)) if age <= REMOTE_STATUS_AGE + hello::INTERVAL => {
                Some(name.to_owned())
            }
            // Tries another partner in each round until one answers.
            _ => {
                let partners = topology::rank_remotes(node, own.iter().copied(), others);
                Some(partners[round % partners.len()].to_owned())
            }
        }
    });
    due.collect()
}

/// Returns the node that answered last, with the age of its answer.
fn last_answer<'a>(
    state: &state::State,
    known: &Peers,
    nodes: &[&'a str],
) -> Option<(&'a str, Duration)> {
    let now = state.now();
    let answers = nodes.iter().filter_map(|it| Some((*it, known[*it].status.as_ref()?.at)));
    let last = answers.max_by_key(|(_, at)| *at);
    last.map(|(name, at)| (name, now.saturating_sub(at)))
}
