//! Looks for an upstream with a free slot.

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

/// What a request wants.
#[derive(Debug, Clone)]
pub struct Wish {
    /// Team of the caller.
    pub team: id::Team,
    /// Larger priorities of the team go first.
    pub priority: i32,
    /// When the request has to have begun, since the start of the process.
    pub deadline: Duration,
    /// Kind of upstream.
    pub target: Target,
    /// Groups, hosts or nodes that failed the request before.
    pub avoid: Vec<String>,
    /// When other failure domains may be used although the own one serves the request, since the
    /// start of the process; `None` never uses them.
    pub spill: Option<Duration>,
    /// Whether the request waits until its deadline while there is no upstream at all, such as for
    /// a replica that is being formed.
    pub patient: bool,
}

/// Kind of upstream that a request wants.
#[derive(Debug, Clone)]
pub enum Target {
    /// A replica of a model.
    Model(Model),
    /// A host of a plain service.
    Plain(id::Service),
}

/// Which replica a request wants.
#[derive(Debug, Clone)]
pub struct Model {
    /// The model.
    pub model: id::Model,
    /// The version; `None` takes the preferred one.
    pub version: Option<id::Version>,
    /// Ids of the prompt's blocks.
    pub prefixes: Arc<Vec<prefix::Id>>,
    /// Identifies requests with the same content.
    pub fingerprint: quarantine::Fingerprint,
}

/// An upstream with a slot for the request.
pub struct Granted {
    /// The upstream.
    pub upstream: Upstream,
    /// The slot, to be kept until the request has ended; other nodes need none.
    pub lease: Option<lease::Lease>,
    /// The request among those in flight at a replica.
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

/// Whether a slot is to be had.
pub enum Outcome {
    /// An upstream with a slot.
    Granted(Box<Granted>),
    /// Nothing is free now.
    Busy,
    /// The wish can't be fulfilled, however long the request waits.
    Refused(Refusal),
}

/// Access
impl Upstream {
    /// Name of the group, host or node.
    pub fn name(&self) -> &str {
        match self {
            Upstream::Replica(it) => &it.group,
            Upstream::Plain(it) => &it.host,
            Upstream::Node(it) => &it.node,
        }
    }

    /// Failure domain of the upstream.
    pub fn domain<'a>(&'a self, state: &'a state::State) -> &'a str {
        match self {
            Upstream::Node(it) => &it.domain,
            Upstream::Replica(_) | Upstream::Plain(_) => &state.settings.domain,
        }
    }
}

/// Access
impl Target {
    /// Name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            Target::Model(it) => &it.model,
            Target::Plain(it) => it,
        }
    }
}

/// Looks for an upstream that fits a wish and has a free slot: in the own failure domain first, in
/// another one if the own one doesn't serve the request or has had no slot for too long. Slots of
/// the own failure domain are given only to `admitted` requests.
pub fn run(state: &Arc<state::State>, wish: &Wish, admitted: bool) -> Outcome {
    let view = state.view.load();
    let local = match &wish.target {
        Target::Model(model) => replica(state, &view, wish, model, admitted),
        Target::Plain(_) if !admitted => Outcome::Busy,
        Target::Plain(service) => host(state, &view, wish, service),
    };
    if !matches!(local, Outcome::Busy) {
        return local;
    }
    let Some(spill) = wish.spill else { return Outcome::Busy };
    if is_served(&view, wish) && state.now() < spill {
        return Outcome::Busy;
    }
    remote::choose(state, &view, wish).map_or(Outcome::Busy, |node| {
        Outcome::Granted(Box::new(Granted {
            upstream: Upstream::Node(node),
            lease: None,
            entry: None,
        }))
    })
}

/// Tells whether no upstream is known anywhere that could serve a wish.
pub fn is_hopeless(state: &state::State, wish: &Wish) -> bool {
    let view = state.view.load();
    let remote = || wish.spill.is_some() && remote::choose(state, &view, wish).is_some();
    !is_served(&view, wish) && !remote()
}

/// Tells whether an upstream of the own failure domain could serve the wish when it has a slot.
fn is_served(view: &view::View, wish: &Wish) -> bool {
    let usable = |name: &String| !wish.avoid.contains(name);
    match &wish.target {
        Target::Model(it) => view.table.candidates().any(|candidate| {
            candidate.replica.model == it.model && usable(&candidate.replica.group)
        }),
        Target::Plain(service) => {
            view.plains.get(service).is_some_and(|hosts| hosts.iter().any(|it| usable(&it.host)))
        }
    }
}

fn replica(
    state: &Arc<state::State>,
    view: &view::View,
    wish: &Wish,
    model: &Model,
    admitted: bool,
) -> Outcome {
    let verdict = state.suspects.verdict(state.now(), model.fingerprint);
    if verdict == quarantine::Verdict::Refused {
        return Outcome::Refused(quarantined());
    }
    let mut avoid = wish.avoid.clone();
    avoid.extend(state.outliers.ejected().iter().cloned());
    loop {
        let query = route::Query {
            model: &model.model,
            version: model.version.as_deref(),
            team: &wish.team,
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
        if let Some(granted) = grant(state, view, candidate, wish, (model, verdict)) {
            return Outcome::Granted(Box::new(granted));
        }
        avoid.push(candidate.replica.group.clone());
    }
}

fn grant(
    state: &Arc<state::State>,
    view: &view::View,
    candidate: &Candidate,
    wish: &Wish,
    (model, verdict): (&Model, quarantine::Verdict),
) -> Option<Granted> {
    let running = view.usage.get(&model.model)?.run(&wish.team);
    let slot = view.slots.get(&candidate.replica.group)?.acquire(state.now())?;
    let entry = state.suspects.enter(state, &candidate.replica, model.fingerprint, verdict)?;
    candidate.gauge.prefixes().insert_all(&model.prefixes);
    let lease = lease::Lease::new(state, slot, Some(candidate.gauge.enter()), running);
    let upstream = Upstream::Replica(candidate.replica.clone());
    Some(Granted { upstream, lease: Some(lease), entry: Some(entry) })
}

/// Looks among the hosts of a plain service, the least used one first.
fn host(state: &Arc<state::State>, view: &view::View, wish: &Wish, service: &str) -> Outcome {
    let Some(usage) = view.usage.get(service) else { return Outcome::Busy };
    let hosts = view.plains.get(service).map_or(&[][..], Vec::as_slice);
    let mut usable: Vec<&view::Host> =
        hosts.iter().filter(|it| !wish.avoid.contains(&it.host)).collect();
    usable.sort_by_key(|it| it.slots.in_use());
    let granted = usable.into_iter().find_map(|it| {
        let slot = it.slots.acquire(state.now())?;
        let lease = lease::Lease::new(state, slot, None, usage.run(&wish.team));
        Some(Granted { upstream: Upstream::Plain(it.clone()), lease: Some(lease), entry: None })
    });
    granted.map_or(Outcome::Busy, |it| Outcome::Granted(Box::new(it)))
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
