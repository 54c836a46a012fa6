//! Which upstream takes a request, and when.

use std::{sync::Arc, time::Duration};

use cuminward_serving::{id, select};
use tokio::time::{self, Instant};

use super::{job::Job, report};
use crate::state::{
    State,
    gauge::Flight,
    view::{Upstream, View},
};

/// Longest time between two looks at the upstreams while a request waits.
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

/// Takes an upstream that isn't among `tried`; waits for one until `until`.
pub(crate) async fn acquire(
    state: &Arc<State>,
    job: &Job,
    tried: &[id::Host],
    until: Instant,
) -> Result<Slot, Full> {
    let begun = Instant::now();
    loop {
        let freed = state.capacity.notified();
        let mut freed = std::pin::pin!(freed);
        freed.as_mut().enable();
        if let Some(slot) = take(state, job, tried) {
            report::chosen(state, job, &slot.upstream, begun.elapsed());
            return Ok(slot);
        }
        if Instant::now() >= until {
            return Err(Full);
        }
        let look = (Instant::now() + LOOK_INTERVAL).min(until);
        // Either way the upstreams are looked at again.
        let _ = time::timeout_at(look, freed).await;
    }
}

fn take(state: &Arc<State>, job: &Job, tried: &[id::Host]) -> Option<Slot> {
    let view = state.view.load();
    let now = state.now();
    let upstream = choose(state, &view, job, tried, now)?;
    if let Some(rate) = cold_rate(state, upstream, now)
        && !upstream.gauge.take_allowance(now, rate)
    {
        return None;
    }
    let flight = upstream.gauge.enter(now);
    Some(Slot { upstream: Arc::clone(upstream), state: Arc::clone(state), flight: Some(flight) })
}

/// This node's part of the rate that a cold upstream bears; `None` if it isn't cold.
fn cold_rate(state: &State, upstream: &Upstream, now: Duration) -> Option<f64> {
    let rate = upstream.cold_rate.filter(|_| upstream.gauge.is_cold(now))?;
    Some(rate / state.nodes().max(1) as f64)
}

fn choose<'a>(
    state: &State,
    view: &'a View,
    job: &Job,
    tried: &[id::Host],
    now: Duration,
) -> Option<&'a Arc<Upstream>> {
    let fill = state.current().admission.fill;
    let has_room = |it: &&Arc<Upstream>| {
        f64::from(it.gauge.load()) < f64::from(it.slots) * fill
            && !tried.contains(&it.host)
            && cold_rate(state, it, now).is_none_or(|rate| it.gauge.is_allowed(now, rate))
    };
    let all = view.upstreams(&job.service, job.meta.model.as_deref());
    let open: Vec<&Arc<Upstream>> = all.iter().filter(has_room).collect();
    let sound: Vec<&Arc<Upstream>> =
        open.iter().copied().filter(|it| !it.gauge.is_doubtful(now)).collect();
    let usable = if sound.is_empty() { open } else { sound };
    let domain = &state.settings.node.domain;
    let candidates = usable.iter().map(|it| select::Candidate {
        load: it.gauge.load(),
        slots: it.slots,
        is_near: it.domain == *domain,
        penalty: 1.0,
        tie: rand::random(),
    });
    select::best(candidates).map(|at| usable[at])
}
