//! Health checks of the replicas that serve requests of this node: the members of a replica that makes
//! no progress are probed.

use std::{collections::HashSet, sync::Arc, time::Duration};

use cuminward_event::kind::Kind;
use cuminward_serving::{progress, slowdown};
use futures::future;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use super::host_client;
use crate::state::{
    State,
    routing::{Key, Member, Upstream},
};

/// Interval of the checks.
const INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of a probe on a new connection. A try on a kept connection comes first and takes up to half
/// of it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(160);

/// Longest time that a probe takes unless this node itself is delayed.
const MAX_PROBE_TIME: Duration = Duration::from_millis(320);

/// Capacity of the channel of ended health checks.
const ENDED_CAPACITY: usize = 64;

/// Checks replicas until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let (sender, mut ended) = mpsc::channel::<Key>(ENDED_CAPACITY);
    let mut in_progress: HashSet<Key> = HashSet::new();
    loop {
        time::sleep(INTERVAL).await;
        while let Ok(key) = ended.try_recv() {
            in_progress.remove(&key);
        }
        probe_due_hosts(&state);
        let snapshot = state.routing.load_full();
        let now = state.now();
        for upstream in snapshot.including_retired().filter(|it| it.is_replica()) {
            let is_check_requested = upstream.stats.take_health_check_request();
            let stalled_for = upstream.stats.time_since_progress(now).unwrap_or_default();
            if stalled_for > progress::move_after(state.mean_first_event()) {
                upstream.stats.interrupt.notify_waiters();
            }
            let is_stalled = stalled_for > upstream.stats.check_after();
            if (is_check_requested || is_stalled) && in_progress.insert(upstream.key) {
                let (state, upstream) = (Arc::clone(&state), Arc::clone(upstream));
                let sender = sender.clone();
                tokio::spawn(async move {
                    check_members(&state, &upstream).await;
                    // Fails only if the task that checks replicas was dropped.
                    let _ = sender.send(upstream.key).await;
                });
            }
        }
    }
}

/// Probes the lost and slow hosts that are due, and removes losses that no probe confirmed in time.
fn probe_due_hosts(state: &Arc<State>) {
    let now = state.now();
    let (due, is_changed) = {
        let mut cluster = state.cluster();
        let (interval, is_steward) = (state.probe_interval(), state.election.is_steward());
        (cluster.take_due_probes(now, interval, is_steward), cluster.expire_losses(now))
    };
    if is_changed {
        state.publish();
    }
    for member in due {
        spawn_probe(state, member);
    }
}

/// Probes a host in a task of its own. A host that answers no longer counts as lost.
pub(crate) fn spawn_probe(state: &Arc<State>, member: Member) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        if let ProbeResult::Alive(_) = probe(&state, &member).await {
            state.mark_host_reachable(&member.host);
        }
    });
}

/// Result of a probe.
enum ProbeResult {
    /// The host answered, and reported this slowdown factor.
    Alive(slowdown::Factor),
    /// The host gave no usable answer and is marked as lost.
    Lost,
    /// This node itself was delayed during the probe, or the host wants no requests, so that a missing answer proves
    /// nothing.
    Inconclusive,
}

/// Fetches the report of a host, and records its slowdown factor or marks it as lost.
async fn probe(state: &State, member: &Member) -> ProbeResult {
    let started = Instant::now();
    let report =
        host_client::fetch_report(state, &member.host, &member.address, PROBE_TIMEOUT).await;
    match report {
        Ok(status) => {
            state.record_slowdown(&member.host, status.slowdown);
            ProbeResult::Alive(status.slowdown)
        }
        Err(host_client::Error::Paused) => ProbeResult::Inconclusive,
        Err(_) if started.elapsed() > MAX_PROBE_TIME => ProbeResult::Inconclusive,
        Err(error) => {
            let is_refusal = error == host_client::Error::Refused;
            state.mark_host_lost(&member.host, is_refusal, &format!("{error:?}"));
            ProbeResult::Lost
        }
    }
}

/// Probes all members of a replica. A replica that makes no progress although its members answer is
/// given up after [`progress::give_up_after`].
async fn check_members(state: &State, upstream: &Upstream) {
    let probes = upstream.members.iter().map(|it| probe(state, it));
    let results = future::join_all(probes).await;
    let now = state.now();
    let is_lost = results.iter().any(|it| matches!(it, ProbeResult::Lost));
    let factors =
        results.iter().map(|it| if let ProbeResult::Alive(factor) = it { *factor } else { 0.0 });
    let factor = factors.fold(0.0, slowdown::Factor::max);
    let stalled_for = upstream.stats.time_since_progress(now).unwrap_or_default();
    let give_up_after = progress::give_up_after(state.mean_first_event());
    let verdict = match () {
        () if is_lost => "lost",
        () if stalled_for > give_up_after => "given-up",
        () => "kept",
    };
    state.events.emit(Kind::ReplicaStalled {
        replica: upstream.name.clone(),
        silence_ms: stalled_for.as_millis() as u64,
        pace: (factor * 100.0) as u64,
        verdict: verdict.to_owned(),
    });
    if is_lost {
        time::sleep(state.probe_interval()).await;
        return;
    }
    if stalled_for > give_up_after {
        upstream.stats.record_failure(now);
        upstream.stats.give_up(now);
    }
    // The next check of the same stall is due when the stall has doubled.
    time::sleep(stalled_for.max(progress::MIN_CHECK_AFTER)).await;
}
