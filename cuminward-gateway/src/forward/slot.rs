//! Which upstream takes a request, and when.

use std::{sync::Arc, time::Duration};

use cuminward_serving::{
    id,
    queue::Progress,
    scaling,
    select::{self, Health},
    slowdown,
};
use tokio::time::{self, Instant};

use super::{job::Job, report};
use crate::state::{
    State,
    admission::{Criteria, Grant, Target},
    routing::{Snapshot, Upstream},
    stats::InFlight,
};

/// Longest time between two looks at the upstreams while requests wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// An upstream that takes a request.
pub(crate) struct Slot {
    pub(crate) upstream: Arc<Upstream>,
    state: Arc<State>,
    in_flight: Option<InFlight>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.in_flight = None;
        self.state.capacity_changed.notify_one();
    }
}

/// No upstream can take the request in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Full;

/// Takes an upstream that isn't among `tried`. A request waits for one for the longest wait of the
/// settings; if its caller has part of the answer, for as long as the caller does.
pub(crate) async fn acquire(
    state: &Arc<State>,
    job: &Job,
    tried: &[id::Host],
    progress: Progress,
) -> Result<Slot, Full> {
    let begun = Instant::now();
    let target = Target { service: job.service.clone(), model: job.meta.model.clone() };
    let criteria = Criteria { target, tried: tried.to_vec() };
    let grant =
        if state.admission.has_waiting(&criteria.target) { None } else { take(state, &criteria) };
    let grant = match grant {
        Some(it) => it,
        None => wait(state, job, criteria, progress).await?,
    };
    report::chosen(state, job, &grant.upstream, begun.elapsed());
    let Grant { upstream, in_flight } = grant;
    Ok(Slot { upstream, state: Arc::clone(state), in_flight: Some(in_flight) })
}

async fn wait(
    state: &Arc<State>,
    job: &Job,
    criteria: Criteria,
    progress: Progress,
) -> Result<Grant, Full> {
    let until = match progress {
        Progress::Started => job.limit,
        Progress::New => {
            let wait = job.route.latency_objective.mul_f64(state.current_settings().admission.wait);
            (Instant::now() + wait).min(job.limit)
        }
    };
    let mut ticket = state.admission.enqueue(criteria, progress, job.priority);
    state.capacity_changed.notify_one();
    let grant = time::timeout_at(until, &mut ticket.grant).await;
    grant.ok().and_then(Result::ok).ok_or(Full)
}

/// Gives upstreams to waiting requests until the task is dropped.
pub(crate) async fn serve_waiting(state: Arc<State>) {
    loop {
        if state.admission.is_empty() {
            state.capacity_changed.notified().await;
        } else {
            // Load, pauses and cold rates change without notice.
            let _ = time::timeout(LOOK_INTERVAL, state.capacity_changed.notified()).await;
        }
        state.admission.dispatch(|criteria| take(&state, criteria));
    }
}

fn take(state: &State, criteria: &Criteria) -> Option<Grant> {
    let snapshot = state.routing.load();
    let now = state.now();
    let upstream = choose(state, &snapshot, criteria, now)?;
    if let Some(rate) = cold_rate(state, upstream, now)
        && !upstream.stats.acquire_cold_permit(now, rate)
    {
        return None;
    }
    let in_flight = upstream.stats.begin_request(now);
    Some(Grant { upstream: Arc::clone(upstream), in_flight })
}

/// This node's part of the rate that a cold upstream bears; `None` if it isn't cold.
fn cold_rate(state: &State, upstream: &Upstream, now: Duration) -> Option<f64> {
    let rate = upstream.cold_rate.filter(|_| upstream.stats.is_cold(now))?;
    Some(rate / state.node_count().max(1) as f64)
}

fn choose<'a>(
    state: &State,
    snapshot: &'a Snapshot,
    criteria: &Criteria,
    now: Duration,
) -> Option<&'a Arc<Upstream>> {
    let fill = state.current_settings().admission.fill;
    let has_room = |it: &&Arc<Upstream>| {
        f64::from(it.stats.load()) < f64::from(it.slots) * fill
            && !criteria.tried.contains(&it.host)
            && cold_rate(state, it, now).is_none_or(|rate| it.stats.has_cold_permit(now, rate))
    };
    let all = snapshot.upstreams(&criteria.target.service, criteria.target.model.as_deref());
    let usable: Vec<&Arc<Upstream>> = all.iter().filter(has_room).collect();
    let domain = &state.settings.node.domain;
    let candidate = |it: &&Arc<Upstream>| select::Candidate {
        load: it.stats.load(),
        slots: it.slots,
        is_same_domain: it.domain == *domain,
        health: standing(it, now),
        slowdown: it.slowdown,
        affinity: it.affinity,
        tie_breaker: rand::random(),
    };
    let candidates: Vec<select::Candidate> = usable.iter().map(candidate).collect();
    let choices = scaling::subset_size(all.len(), state.node_count());
    select::choose(&candidates, choices).map(|at| usable[at])
}

fn standing(upstream: &Upstream, now: Duration) -> Health {
    if upstream.stats.is_suspect(now) {
        Health::Suspect
    } else if upstream.slowdown >= slowdown::THRESHOLD {
        Health::Slow
    } else {
        Health::Healthy
    }
}
