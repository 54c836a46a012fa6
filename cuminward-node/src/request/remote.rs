//! Choice of a node of another failure domain that a request is relayed to.

use std::sync::Arc;

use cuminward_caller::{backend, header};
use cuminward_core::{catalog, host, id};
use cuminward_route::route::remote;
use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};

use crate::{peers, request::search, state, view};

/// A node of another failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Name of the node.
    pub node: id::Node,
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// IP address and port of the node's HTTP interface for callers.
    pub address: String,
}

/// Chooses a live node of another failure domain that recently reported free capacity; returns
/// `None` if there is none.
pub fn choose(
    state: &state::State,
    view: &view::View,
    criteria: &search::Criteria,
) -> Option<Node> {
    let now = state.now();
    let peers = state.peers.all();
    let usable = |(node, peer): &(&id::Node, &peers::Peer)| {
        peer.domain != state.settings.domain
            && peer.is_live(now)
            && !criteria.avoid.contains(node)
            && serves(state, &view.catalog, &peer.domain, &criteria.target)
    };
    let usable: Vec<(&id::Node, &peers::Peer)> = peers.iter().filter(usable).collect();
    let candidates: Vec<remote::Candidate> =
        usable.iter().filter_map(|(_, peer)| candidate(peer, &criteria.target)).collect();
    let policy = state.settings.routing.remote;
    let (max_age, random) = (remote::DEFAULT_MAX_AGE, rand::random());
    let domain = &remote::choose(policy, &candidates, &view.catalog, now, max_age, random)?.domain;
    let nodes: Vec<_> = usable.iter().filter(|(_, peer)| peer.domain == *domain).collect();
    let (node, peer) = nodes.get(rand::random_range(0..nodes.len().max(1)))?;
    let status = peer.status.as_ref()?;
    Some(Node {
        node: (*node).clone(),
        domain: peer.domain.clone(),
        address: status.callers.clone(),
    })
}

/// Returns the headers that are added to a request when it is relayed to another node: the nodes'
/// shared secret and the context of the request.
pub fn headers(state: &state::State, context: &backend::Context) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {}", state.settings.secret.expose());
    let values = [
        (AUTHORIZATION, bearer),
        (header::RELAY, state.settings.node.clone()),
        (header::REQUEST, context.request.clone()),
        (header::TEAM, context.team.clone()),
        (header::PRIORITY, context.priority.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    headers
}

/// Returns whether a failure domain serves the model or service: by the catalog for a model, by the
/// host list for a plain service.
fn serves(
    state: &state::State,
    catalog: &Arc<catalog::Catalog>,
    domain: &id::Domain,
    target: &search::Target,
) -> bool {
    match target {
        search::Target::Model(it) => catalog
            .models
            .values()
            .any(|declared| declared.model == it.model && declared.replicas.contains_key(domain)),
        search::Target::Plain(service) => state.hosts.load().hosts.iter().any(|it| {
            it.role == host::Role::Plain
                && it.service == *service
                && it.domain == *domain
                && it.state == host::State::Live
        }),
    }
}

/// Returns a node's last report about its failure domain as a routing candidate. The reported
/// capacity covers replicas only, so plain hosts are assumed to have at least one free slot.
fn candidate(peer: &peers::Peer, target: &search::Target) -> Option<remote::Candidate> {
    let status = peer.status.as_ref()?;
    let free = match target {
        search::Target::Model(_) => status.free,
        search::Target::Plain(_) => status.free.max(1),
    };
    Some(remote::Candidate {
        domain: peer.domain.clone(),
        confirmed: status.at,
        free,
        round_trip: status.round_trip,
    })
}
