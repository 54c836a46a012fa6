//! Other failure domains: which node there a request may be relayed to.

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
    /// Its failure domain.
    pub domain: id::Domain,
    /// IP address and port of its HTTP interface towards callers.
    pub address: String,
}

/// Chooses a node of another failure domain that is in service and freshly known to have capacity.
pub fn choose(state: &state::State, view: &view::View, wish: &search::Wish) -> Option<Node> {
    let now = state.now();
    let peers = state.peers.all();
    let usable = |(node, peer): &(&id::Node, &peers::Peer)| {
        peer.domain != state.settings.domain
            && peer.is_live(now)
            && !wish.avoid.contains(node)
            && serves(state, &view.catalog, &peer.domain, &wish.target)
    };
    let usable: Vec<(&id::Node, &peers::Peer)> = peers.iter().filter(usable).collect();
    let known: Vec<remote::Candidate> =
        usable.iter().filter_map(|(_, peer)| knowledge(peer, &wish.target)).collect();
    let way = state.settings.routing.remote;
    let (max_age, random) = (remote::DEFAULT_MAX_AGE, rand::random());
    let domain = &remote::choose(way, &known, &view.catalog, now, max_age, random)?.domain;
    let nodes: Vec<_> = usable.iter().filter(|(_, peer)| peer.domain == *domain).collect();
    let (node, peer) = nodes.get(rand::random_range(0..nodes.len().max(1)))?;
    let status = peer.status.as_ref()?;
    Some(Node {
        node: (*node).clone(),
        domain: peer.domain.clone(),
        address: status.callers.clone(),
    })
}

/// Headers of a request that is relayed.
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

/// Tells whether a failure domain is declared to serve what is wanted.
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

/// What a node said about its failure domain. Its capacity is that of its replicas; plain hosts are
/// taken to have some.
fn knowledge(peer: &peers::Peer, target: &search::Target) -> Option<remote::Candidate> {
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
