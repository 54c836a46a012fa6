//! Finds an upstream with a free slot for a request.

use std::{sync::Arc, time::Duration};

use cuminward_core::{
    id,
    outcome::{Cause, Refusal},
    replica,
};
use cuminward_route::{
    prefix, quarantine,
    route::{self, Candidate},
};

use crate::{
    request::{lease, remote, suspect},
    state, view,
};

/// Criteria by which an upstream is chosen for a request.
#[derive(Debug, Clone)]
pub struct Criteria {
    /// Team of the caller.
    pub team: id::Team,
    /// Priority among the waiting requests of the team; larger values are dispatched first.
    pub priority: i32,
    /// Time by which the request must have been dispatched, since the start of the process.
    pub deadline: Duration,
    /// Model or service that the request is for.
    pub target: Target,
    /// Names of the groups, hosts or nodes on which the request has failed; they aren't chosen.
    pub avoid: Vec<String>,
    /// Time from which the request may be relayed to other failure domains although the node's own
    /// domain serves the model or service, since the start of the process. `None` never relays it.
    pub spillover_at: Option<Duration>,
    /// Whether the request waits until its deadline even if no upstream exists, such as while a
    /// replica is being formed.
    pub waits_until_deadline: bool,
}

/// Model or service that a request is for.
#[derive(Debug, Clone)]
pub enum Target {
    /// A replica of a model.
    Model(Model),
    /// A host of a plain service.
    Plain(id::Service),
}

/// Selects replicas of a model.
#[derive(Debug, Clone)]
pub struct Model {
    /// The model.
    pub model: id::Model,
    /// The version; `None` selects the preferred one.
    pub version: Option<id::Version>,
    /// Ids of the prompt's blocks, for prefix-cache affinity.
    pub prefixes: Arc<Vec<prefix::Id>>,
    /// Hash of the model and the prompt, which identifies repeats of a request that crashes
    /// replicas.
    pub fingerprint: quarantine::Fingerprint,
}

/// An upstream that was chosen for a request, with a slot there.
pub struct Grant {
    /// The upstream.
    pub upstream: Upstream,
    /// The slot, held until the request has ended; `None` for another node, which takes its own.
    pub lease: Option<lease::Lease>,
    /// Entry of the request among those in flight at the replica; `None` for other upstreams.
    pub entry: Option<suspect::Entry>,
}

/// An upstream that a request is sent to.
#[derive(Debug, Clone)]
pub enum Upstream {
    /// A replica of a model.
    Replica(replica::Replica),
    /// A host of a plain service.
    Plain(view::Host),
    /// A node of another failure domain.
    Node(remote::Node),
}

/// Result of the search for an upstream.
pub enum Outcome {
    /// An upstream was found and a slot of it taken.
    Granted(Box<Grant>),
    /// No slot is free at present.
    Busy,
    /// The request can't be served, however long it waits.
    Refused(Refusal),
}

/// Access
impl Upstream {
    /// Returns the name of the group, host or node.
    pub fn name(&self) -> &str {
        match self {
            Upstream::Replica(it) => &it.group,
            Upstream::Plain(it) => &it.host,
            Upstream::Node(it) => &it.node,
        }
    }

    /// Returns the failure domain of the upstream.
    pub fn domain<'a>(&'a self, state: &'a state::State) -> &'a str {
        match self {
            Upstream::Node(it) => &it.domain,
            Upstream::Replica(_) | Upstream::Plain(_) => &state.settings.domain,
        }
    }
}

/// Access
impl Target {
    /// Returns the name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            Target::Model(it) => &it.model,
            Target::Plain(it) => it,
        }
    }
}

/// Finds an upstream that meets the criteria and takes a slot of it. The node's own failure domain
/// is searched first; other domains only if the own one doesn't serve the model or service, or from
/// `spillover_at` on. Slots of the own domain are given only to `admitted` requests.
pub fn run(state: &Arc<state::State>, criteria: &Criteria, admitted: bool) -> Outcome {
    let view = state.view.load();
    let local = match &criteria.target {
        Target::Model(model) => find_replica(state, &view, criteria, model, admitted),
        Target::Plain(_) if !admitted => Outcome::Busy,
        Target::Plain(service) => find_host(state, &view, criteria, service),
    };
    if !matches!(local, Outcome::Busy) {
        return local;
    }
    let Some(spillover_at) = criteria.spillover_at else { return Outcome::Busy };
    if is_served_locally(&view, criteria) && state.now() < spillover_at {
        return Outcome::Busy;
    }
    remote::choose(state, &view, criteria).map_or(Outcome::Busy, |node| {
        Outcome::Granted(Box::new(Grant {
            upstream: Upstream::Node(node),
            lease: None,
            entry: None,
        }))
    })
}

/// Returns whether no failure domain has a known upstream that meets the criteria.
pub fn is_unservable(state: &state::State, criteria: &Criteria) -> bool {
    let view = state.view.load();
    let remote =
        || criteria.spillover_at.is_some() && remote::choose(state, &view, criteria).is_some();
    !is_served_locally(&view, criteria) && !remote()
}

/// Returns whether an upstream of the node's own failure domain meets the criteria, with or without
/// a free slot.
fn is_served_locally(view: &view::View, criteria: &Criteria) -> bool {
    let usable = |name: &String| !criteria.avoid.contains(name);
    match &criteria.target {
        Target::Model(it) => view.table.candidates().any(|candidate| {
            candidate.replica.model == it.model && usable(&candidate.replica.group)
        }),
        Target::Plain(service) => {
            view.plains.get(service).is_some_and(|hosts| hosts.iter().any(|it| usable(&it.host)))
        }
    }
}

/// Finds a replica of a model in the node's own failure domain and takes a slot of it. Replicas
/// that are ejected as outliers or that failed the request are skipped.
fn find_replica(
    state: &Arc<state::State>,
    view: &view::View,
    criteria: &Criteria,
    model: &Model,
    admitted: bool,
) -> Outcome {
    let verdict = state.suspects.verdict(state.now(), model.fingerprint);
    if verdict == quarantine::Verdict::Refused {
        return Outcome::Refused(quarantined());
    }
    let mut avoid = criteria.avoid.clone();
    avoid.extend(state.outliers.ejected().iter().cloned());
    loop {
        let query = route::Query {
            model: &model.model,
            version: model.version.as_deref(),
            team: &criteria.team,
            prefixes: &model.prefixes,
            avoid: &avoid,
        };
        let choice = route::choose(&view.table, &query, &route::policy::Gauges, rand::random());
        let candidate = match choice {
            route::Choice::Replica(_) if !admitted => return Outcome::Busy,
            route::Choice::Replica(candidate) => candidate,
            route::Choice::NotFound => return Outcome::Refused(not_found(&model.model)),
            route::Choice::Forbidden => return Outcome::Refused(forbidden(&model.model)),
            route::Choice::Unavailable => return Outcome::Busy,
        };
        if let Some(grant) = try_grant(state, view, candidate, criteria, (model, verdict)) {
            return Outcome::Granted(Box::new(grant));
        }
        avoid.push(candidate.replica.group.clone());
    }
}

/// Takes a slot of a replica; returns `None` if it has none free, or if the request is suspected of
/// crashing replicas and may not begin there now.
fn try_grant(
    state: &Arc<state::State>,
    view: &view::View,
    candidate: &Candidate,
    criteria: &Criteria,
    (model, verdict): (&Model, quarantine::Verdict),
) -> Option<Grant> {
    let running = view.usage.get(&model.model)?.start_running(&criteria.team);
    let slot = view.slots.get(&candidate.replica.group)?.acquire(state.now())?;
    let entry = state.suspects.begin(state, &candidate.replica, model.fingerprint, verdict)?;
    candidate.gauge.prefixes().insert_all(&model.prefixes);
    let lease = lease::Lease::new(state, slot, Some(candidate.gauge.enter()), running);
    let upstream = Upstream::Replica(candidate.replica.clone());
    Some(Grant { upstream, lease: Some(lease), entry: Some(entry) })
}

/// Finds a host of a plain service and takes a slot of it; hosts with fewer requests in flight are
/// tried first.
fn find_host(
    state: &Arc<state::State>,
    view: &view::View,
    criteria: &Criteria,
    service: &str,
) -> Outcome {
    let Some(usage) = view.usage.get(service) else { return Outcome::Busy };
    let hosts = view.plains.get(service).map_or(&[][..], Vec::as_slice);
    let mut usable: Vec<&view::Host> =
        hosts.iter().filter(|it| !criteria.avoid.contains(&it.host)).collect();
    usable.sort_by_key(|it| it.slots.in_use());
    let grant = usable.into_iter().find_map(|it| {
        let slot = it.slots.acquire(state.now())?;
        let lease = lease::Lease::new(state, slot, None, usage.start_running(&criteria.team));
        Some(Grant { upstream: Upstream::Plain(it.clone()), lease: Some(lease), entry: None })
    });
    grant.map_or(Outcome::Busy, |it| Outcome::Granted(Box::new(it)))
}

fn not_found(model: &str) -> Refusal {
    Refusal::not_run(Cause::NotFound, format!("the model `{model}` is not declared"))
}

fn quarantined() -> Refusal {
    Refusal::not_run(Cause::Quarantined, "the request has crashed the replicas that ran it")
}

fn forbidden(model: &str) -> Refusal {
    Refusal::not_run(Cause::Forbidden, format!("the team may not use `{model}`"))
}
