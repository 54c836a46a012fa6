//! Reads the state of the failure domain's upstreams and assembles the replicas from it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use cuminward_core::{host, id, replica};
use cuminward_event::kind::Kind;
use cuminward_group::{assembly, steward};
use cuminward_route::admission;
use futures::{StreamExt, stream};
use tokio::sync::mpsc;

use crate::{control::admit, state, view};

/// Probes under way at the same time.
const CONCURRENCY: usize = 32;

/// Result of one probe.
struct Probe {
    host: id::Host,
    role: host::Role,
    asked: Duration,
    report: Option<host::Report>,
}

/// Probes the hosts at the set interval until the node stops; engines' results go to the steward.
pub async fn run(state: Arc<state::State>, inputs: mpsc::Sender<steward::Input>) {
    let mut interval = tokio::time::interval(state.settings.timing.probe);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut silent = BTreeSet::new();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = state.stop.cancelled() => return,
        }
        for probe in round(&state).await {
            note(&state, &mut silent, &probe);
            if probe.role == host::Role::Engine && inputs.send(input(&state, probe)).await.is_err()
            {
                return;
            }
        }
        assemble(&state);
    }
}

/// Probes one upstream at once, for the admission.
pub fn now(state: &Arc<state::State>, upstream: &str) {
    let Some((host, address)) = locate(state, upstream) else { return };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let asked = state.now();
        let report = state.engines.report(&address).await.ok().filter(|it| it.host == host);
        if let Some(report) = report {
            observe(&state, &report, asked);
            let work = state.admission().take_work();
            admit::carry_out(&state, work);
        }
    });
}

/// Host and address that an upstream's requests go to.
fn locate(state: &state::State, upstream: &str) -> Option<(id::Host, String)> {
    let replicas = state.replicas.load();
    let all = replicas.routable.iter();
    let replica = all.clone().find(|it| admission::replica(&it.group, it.generation) == upstream);
    if let Some(replica) = replica {
        return Some((replica.members.first()?.clone(), replica.address.clone()));
    }
    let hosts = state.hosts.load();
    let host = hosts.hosts.iter().find(|it| it.host == upstream)?;
    Some((host.host.clone(), host.address.clone()))
}

/// Probes all upstreams of the failure domain once.
async fn round(state: &Arc<state::State>) -> Vec<Probe> {
    let hosts = state.hosts.load_full();
    let mut probes = Vec::new();
    for entry in &hosts.hosts {
        if entry.role != host::Role::Node && entry.domain == state.settings.domain {
            probes.push(probe(Arc::clone(state), entry.clone()));
        }
    }
    stream::iter(probes).buffer_unordered(CONCURRENCY).collect().await
}

async fn probe(state: Arc<state::State>, entry: host::Entry) -> Probe {
    let asked = state.now();
    let report = state.engines.report(&entry.address).await.ok();
    let report = report.filter(|it| it.host == entry.host);
    Probe { host: entry.host, role: entry.role, asked, report }
}

/// Keeps an observation, and says when a host falls silent or answers again.
fn note(state: &state::State, silent: &mut BTreeSet<id::Host>, probe: &Probe) {
    let host = probe.host.clone();
    let Some(report) = &probe.report else {
        if silent.insert(host.clone()) {
            state.events.emit(Kind::HostProbeFailed { host, message: "no answer".to_owned() });
        }
        return;
    };
    if silent.remove(&host) {
        let incarnation = report.incarnation;
        state.events.emit(Kind::HostRecovered { host: host.clone(), incarnation });
    }
    observe(state, report, probe.asked);
    let observation = host::Observation { report: report.clone(), at: probe.asked };
    state.observations().insert(host, observation);
}

/// Tells the admission and the routing what an upstream reported.
fn observe(state: &state::State, report: &host::Report, asked: Duration) {
    let upstream = match &report.membership {
        None => report.host.clone(),
        Some(it) if it.members.first() == Some(&report.host) => {
            admission::replica(&it.group, it.generation)
        }
        Some(_) => return,
    };
    let load = report.load.clone();
    if let (Some(load), Some(membership)) = (&load, &report.membership) {
        let view = state.view.load();
        let candidate = view.table.candidates().find(|it| it.replica.group == membership.group);
        if let Some(candidate) = candidate {
            candidate.gauge.report(load);
        }
    }
    state.admission().observe(state.now(), &upstream, report.incarnation, load, asked);
}

fn input(state: &state::State, probe: Probe) -> steward::Input {
    match probe.report {
        Some(report) => steward::Input::Observed {
            observation: host::Observation { report, at: state.now() },
            asked: probe.asked,
        },
        None => steward::Input::Unreachable(probe.host),
    }
}

/// Replaces the replicas by those that are whole now.
fn assemble(state: &state::State) {
    let hosts = state.hosts.load();
    let catalog = state.catalog.load();
    let mut new = assembly::assemble(&assembly::Input {
        observations: &state.observations(),
        hosts: &hosts.hosts,
        catalog: &catalog,
        now: state.now(),
        freshness: state.settings.timing.freshness,
    });
    new.routable.retain(|it| !state.retiring.contains(it));
    state.measure(&catalog, &hosts.hosts, &new.routable);
    let old = state.replicas.swap(Arc::new(new.clone()));
    let before = formations(&old);
    let after = formations(&new);
    if before != after {
        report(state, &before, &after);
        view::refresh(state);
    }
}

/// Identity of a routable replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Formation {
    group: id::Group,
    generation: id::Generation,
    incarnation: id::Incarnation,
    service: id::Service,
}

fn formations(outcome: &assembly::Outcome) -> BTreeSet<Formation> {
    let formation = |it: &replica::Replica| Formation {
        group: it.group.clone(),
        generation: it.generation,
        incarnation: it.incarnation,
        service: it.service.clone(),
    };
    outcome.routable.iter().map(formation).collect()
}

/// Says which replicas became routable or unroutable.
fn report(state: &state::State, before: &BTreeSet<Formation>, after: &BTreeSet<Formation>) {
    for it in after.difference(before).cloned() {
        let Formation { group, generation, service, .. } = it;
        state.events.emit(Kind::ReplicaRoutable { group, generation, service });
    }
    for it in before.difference(after).cloned() {
        let Formation { group, generation, service, .. } = it;
        let reason = "not whole, or no new work".to_owned();
        state.events.emit(Kind::ReplicaUnroutable { group, generation, service, reason });
    }
}
