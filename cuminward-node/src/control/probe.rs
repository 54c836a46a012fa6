//! Probes this node's share of the failure domain's hosts and distributes their reports.

mod assemble;
mod schedule;

use std::{sync::Arc, time::Duration};

use cuminward_core::{host, id};
use cuminward_event::kind::Kind;
use cuminward_group::{
    probe::{detector, interval},
    steward,
};
use cuminward_route::admission;
use cuminward_upstream::{error, poll};
use tokio::{sync::mpsc, time};

use crate::{control::admit, state};

/// Capacity of the queue of completed probes.
const COMPLETION_CAPACITY: usize = 1_024;

/// Checks of the schedule in one probe interval.
const CHECKS_PER_INTERVAL: u32 = 3;

/// Minimum and maximum timeout of a probe.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// A completed probe.
struct Completion {
    host: id::Host,
    role: host::Role,
    asked: Duration,
    after: Duration,
    outcome: Result<poll::Snapshot, detector::Outcome>,
}

/// Probes hosts until the node stops and passes the reports of engines to the steward.
pub async fn run(state: Arc<state::State>, inputs: mpsc::Sender<steward::Input>) {
    let mut tick = time::interval(state.settings.timing.probe / CHECKS_PER_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let (results, mut ended) = mpsc::channel(COMPLETION_CAPACITY);
    let mut schedule = schedule::Schedule::default();
    loop {
        tokio::select! {
            _ = tick.tick() => start_due(&state, &mut schedule, &results, &inputs).await,
            Some(it) = ended.recv() => complete(&state, &mut schedule, it, &inputs).await,
            () = state.stop.cancelled() => return,
        }
    }
}

/// Returns the probe intervals for the current size of the failure domain.
pub fn intervals(state: &state::State, nodes: usize) -> interval::Intervals {
    let hosts = state.hosts.load();
    let own = |it: &&host::Entry| it.role != host::Role::Node && it.domain == state.settings.domain;
    let timing = &state.settings.timing;
    let options = interval::Options {
        min_probe: timing.probe,
        min_freshness: timing.freshness,
        ..interval::Options::default()
    };
    interval::intervals(nodes, hosts.hosts.iter().filter(own).count(), &options)
}

/// Spawns the probes that are due, reports silent hosts to the steward and reassembles the
/// replicas.
async fn start_due(
    state: &Arc<state::State>,
    schedule: &mut schedule::Schedule,
    results: &mpsc::Sender<Completion>,
    inputs: &mpsc::Sender<steward::Input>,
) {
    let now = state.now();
    let nodes = state.peers.live_nodes(state);
    let intervals = intervals(state, nodes.len());
    schedule.update(state, now, nodes, intervals);
    for (entry, known) in schedule.take_due(now) {
        let (state, results) = (Arc::clone(state), results.clone());
        tokio::spawn(async move {
            let _ = results.send(probe(&state, entry, known).await).await;
        });
    }
    let silent = state.observations().silent_hosts(now, intervals.confirm_timeout);
    for host in silent {
        let _ = inputs.send(steward::Input::Unreachable(host)).await;
    }
    assemble::assemble(state, &intervals);
}

/// Probes a host and returns the result. A report of another host counts as refused.
async fn probe(
    state: &state::State,
    entry: host::Entry,
    known: Option<poll::Snapshot>,
) -> Completion {
    let asked = state.now();
    let bound = (state.settings.timing.probe * 2).clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1);
    let answer =
        time::timeout(bound, state.engines.poll_report(&entry.address, known.as_ref())).await;
    let after = state.now().saturating_sub(asked);
    let outcome = match answer {
        Ok(Ok(it)) if it.report.host == entry.host => Ok(it),
        Ok(Ok(_) | Err(error::Error::Connect { .. })) => Err(detector::Outcome::Refused),
        Ok(Err(_)) | Err(_) => Err(detector::Outcome::Unanswered),
    };
    Completion { host: entry.host, role: entry.role, asked, after, outcome }
}

/// Records a completed probe and distributes its report.
async fn complete(
    state: &state::State,
    schedule: &mut schedule::Schedule,
    ended: Completion,
    inputs: &mpsc::Sender<steward::Input>,
) {
    let Completion { host, role, asked, after, outcome } = ended;
    let result = match &outcome {
        Ok(_) => detector::Outcome::Answered { after },
        Err(it) => *it,
    };
    let Some(change) = schedule.record_result(state.now(), &host, result) else { return };
    match outcome {
        Ok(tagged) => {
            let report = tagged.report.clone();
            schedule.store_report(&host, tagged);
            if change == schedule::Change::Recovered {
                let incarnation = report.incarnation;
                state.events.emit(Kind::HostRecovered { host, incarnation });
            }
            apply_report(state, &report, asked);
            state.observations().observe(asked, report.clone());
            if role == host::Role::Engine {
                let observation = host::Observation { report, at: state.now() };
                let _ = inputs.send(steward::Input::Observed { observation, asked }).await;
            }
        }
        Err(probe) => {
            if change == schedule::Change::Silent {
                let message = match probe {
                    detector::Outcome::Refused => "refused".to_owned(),
                    _ => "no answer".to_owned(),
                };
                state.events.emit(Kind::HostProbeFailed { host: host.clone(), message });
            }
            if schedule.is_silent(&host) {
                state.observations().mark_silent(asked, &host);
            }
        }
    }
}

/// Probes one upstream immediately, for the admission controller. A failed probe has no effect.
pub fn probe_now(state: &Arc<state::State>, upstream: &str) {
    let Some((host, address)) = find_host(state, upstream) else { return };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let asked = state.now();
        let report = state.engines.fetch_report(&address).await.ok().filter(|it| it.host == host);
        if let Some(report) = report {
            apply_report(&state, &report, asked);
            let work = state.admission().take_work();
            admit::execute(&state, work);
        }
    });
}

/// Returns the host and the address that serve the requests of an upstream.
fn find_host(state: &state::State, upstream: &str) -> Option<(id::Host, String)> {
    let replicas = state.replicas.load();
    let all = replicas.routable.iter();
    let replica =
        all.clone().find(|it| admission::replica_upstream(&it.group, it.generation) == upstream);
    if let Some(replica) = replica {
        return Some((replica.members.first()?.clone(), replica.address.clone()));
    }
    let hosts = state.hosts.load();
    let host = hosts.hosts.iter().find(|it| it.host == upstream)?;
    Some((host.host.clone(), host.address.clone()))
}

/// Passes a host's report to the routing gauges and to the admission controller.
///
/// Ignores reports of group members other than the first, which serves the group's requests.
pub fn apply_report(state: &state::State, report: &host::Report, asked: Duration) {
    let upstream = match &report.membership {
        None => report.host.clone(),
        Some(it) if it.members.first() == Some(&report.host) => {
            admission::replica_upstream(&it.group, it.generation)
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
