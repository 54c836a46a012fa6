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
    gauge::Flight,
    view::{Upstream, View},
    waiting::{Taken, Target, Wish},
};

/// Longest time between two looks at the upstreams while requests wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// An upstream that takes a request.
pub(crate) struct Slot {
    pub(crate) upstream: Arc<Upstream>,
    state: Arc<State>,
    flight: Option<Flight>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.flight = None;
        self.state.capacity.notify_one();
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
    let wish = Wish { target, tried: tried.to_vec() };
    let taken = if state.waiting.is_any(&wish.target) { None } else { take(state, &wish) };
    let taken = match taken {
        Some(it) => it,
        None => wait(state, job, wish, progress).await?,
    };
    report::chosen(state, job, &taken.upstream, begun.elapsed());
    let Taken { upstream, flight } = taken;
    Ok(Slot { upstream, state: Arc::clone(state), flight: Some(flight) })
}

async fn wait(
    state: &Arc<State>,
    job: &Job,
    wish: Wish,
    progress: Progress,
) -> Result<Taken, Full> {
    let until = match progress {
        Progress::Started => job.limit,
        Progress::New => {
            let wait = job.route.latency_objective.mul_f64(state.current().admission.wait);
            (Instant::now() + wait).min(job.limit)
        }
    };
    let mut place = state.waiting.enter(wish, progress, job.priority);
    state.capacity.notify_one();
    let taken = time::timeout_at(until, &mut place.taken).await;
    taken.ok().and_then(Result::ok).ok_or(Full)
}

/// Gives upstreams to waiting requests until the task is dropped.
pub(crate) async fn serve_waiting(state: Arc<State>) {
    loop {
        if state.waiting.is_empty() {
            state.capacity.notified().await;
        } else {
            // Load, pauses and cold rates change without notice.
            let _ = time::timeout(LOOK_INTERVAL, state.capacity.notified()).await;
        }
        state.waiting.serve(|wish| take(&state, wish));
    }
}

fn take(state: &State, wish: &Wish) -> Option<Taken> {
    let view = state.view.load();
    let now = state.now();
    let upstream = choose(state, &view, wish, now)?;
    if let Some(rate) = cold_rate(state, upstream, now)
        && !upstream.gauge.take_allowance(now, rate)
    {
        return None;
    }
    let flight = upstream.gauge.enter(now);
    Some(Taken { upstream: Arc::clone(upstream), flight })
}

/// This node's part of the rate that a cold upstream bears; `None` if it isn't cold.
fn cold_rate(state: &State, upstream: &Upstream, now: Duration) -> Option<f64> {
    let rate = upstream.cold_rate.filter(|_| upstream.gauge.is_cold(now))?;
    Some(rate / state.nodes().max(1) as f64)
}

fn choose<'a>(
    state: &State,
    view: &'a View,
    wish: &Wish,
    now: Duration,
) -> Option<&'a Arc<Upstream>> {
    let fill = state.current().admission.fill;
    let has_room = |it: &&Arc<Upstream>| {
        f64::from(it.gauge.load()) < f64::from(it.slots) * fill
            && !wish.tried.contains(&it.host)
            && cold_rate(state, it, now).is_none_or(|rate| it.gauge.is_allowed(now, rate))
    };
    let all = view.upstreams(&wish.target.service, wish.target.model.as_deref());
    let usable: Vec<&Arc<Upstream>> = all.iter().filter(has_room).collect();
    let domain = &state.settings.node.domain;
    let candidate = |it: &&Arc<Upstream>| select::Candidate {
        load: it.gauge.load(),
        slots: it.slots,
        is_same_domain: it.domain == *domain,
        health: standing(it, now),
        slowdown: it.pace,
        affinity: it.affinity,
        tie_breaker: rand::random(),
    };
    let candidates: Vec<select::Candidate> = usable.iter().map(candidate).collect();
    let choices = scaling::subset_size(all.len(), state.nodes());
    select::choose(&candidates, choices).map(|at| usable[at])
}

fn standing(upstream: &Upstream, now: Duration) -> Health {
    if upstream.gauge.is_doubtful(now) {
        Health::Suspect
    } else if upstream.pace >= slowdown::THRESHOLD {
        Health::Slow
    } else {
        Health::Healthy
    }
}
