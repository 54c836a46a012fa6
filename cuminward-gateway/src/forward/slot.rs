//! Selection of an upstream for a request, and the admission queue in front of the upstreams.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use cuminward_serving::{
    queue::{self, Progress},
    returns,
};
use tokio::time::{self, Instant};

use super::{choice, context::Context, exchange, report, stall};
use crate::state::{
    State,
    admission::{Criteria, Grant, Hosts, Target},
    routing::Upstream,
    stats::InFlight,
};

/// Longest time between two attempts to serve the waiting requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An upstream reserved for a request. The request counts as in flight until the slot is dropped.
pub(crate) struct Slot {
    pub(crate) upstream: Arc<Upstream>,
    state: Arc<State>,
    /// `Some` until the slot is dropped.
    in_flight: Option<InFlight>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The load has to go down before a waiting request is served.
        self.in_flight = None;
        self.state.capacity_changed.notify_one();
    }
}

/// Why no upstream could be reserved for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// There is no upstream that could serve the request, however long it waited.
    Absent,
    /// The request, or a part of its prompt, has crashed several hosts.
    Quarantined,
    /// All upstreams name limits or asked for pauses, and this node has no room for longer than the request may wait.
    Limited {
        /// Time until this node has room for the request; `None` if it won't have any by itself.
        room_in: Option<Duration>,
    },
    /// None of the upstreams had capacity in time.
    Full {
        /// Number of upstreams of the service and model.
        upstreams: usize,
        /// Number of these whose slots are all in use, as far as this node knows.
        full: usize,
        /// Number of these that are cold.
        cold: usize,
        /// Number of these that name a limit of which this node has used its part.
        limited: usize,
        /// Number of these whose hosts want no requests from this node for a time.
        paused: usize,
        /// Number of these that failed or made no progress lately.
        suspect: usize,
        /// Time after which the caller's turn comes; `None` if returns aren't planned.
        turn_in: Option<Duration>,
    },
}

/// `Retry-After` sent if there is no upstream: lists of hosts are read, and replicas formed, within about
/// a second. Each caller gets another time in this range, so that they don't return together.
const ABSENT_RETRY_AFTER_MS: RangeInclusive<u64> = 500..=1000;

/// `Retry-After` sent if the request is quarantined, which lasts for minutes.
const QUARANTINED_RETRY_AFTER_MS: RangeInclusive<u64> = 30_000..=40_000;

/// `Retry-After` sent if all upstreams are full.
const FULL_RETRY_AFTER_MS: RangeInclusive<u64> = 250..=400;

/// Longest `Retry-After` sent; until then, other hosts may have come.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// Access
impl Unavailable {
    /// Returns the time after which the caller should try again.
    pub(crate) fn retry_after(self) -> Duration {
        let range = match self {
            Unavailable::Absent => ABSENT_RETRY_AFTER_MS,
            Unavailable::Quarantined => QUARANTINED_RETRY_AFTER_MS,
            Unavailable::Limited { .. } | Unavailable::Full { .. } => FULL_RETRY_AFTER_MS,
        };
        let after = Duration::from_millis(rand::random_range(range));
        match self {
            Unavailable::Limited { room_in: Some(it) } => after.max(it).min(MAX_RETRY_AFTER),
            Unavailable::Full { turn_in: Some(it), .. } => it,
            _ => after,
        }
    }
}

impl std::fmt::Display for Unavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unavailable::Absent => write!(f, "no upstream is known"),
            Unavailable::Quarantined => {
                write!(f, "the request, or a part of its prompt, crashed several hosts")
            }
            Unavailable::Limited { room_in: Some(it) } => write!(
                f,
                "all upstreams have limits or are paused, and this node has room in {} ms",
                it.as_millis()
            ),
            Unavailable::Limited { room_in: None } => {
                write!(f, "all upstreams have limits, of which this node has no part")
            }
            Unavailable::Full { upstreams, full, cold, limited, paused, suspect, .. } => write!(
                f,
                "no upstream has capacity: {upstreams} known, {full} full, {cold} cold, {limited} limited, \
                 {paused} paused, {suspect} suspect"
            ),
        }
    }
}

/// Reserves an upstream on one of the hosts that the request may be sent to. A new request waits in the admission queue
/// for at most the time that the settings allow, and not at all if there is no upstream; one whose
/// caller already has a part of the response waits until the deadline, and one that returns to a host for as long as
/// that may be silent.
///
/// # Errors
///
/// [`Unavailable`] tells whether there is no upstream, or none had capacity in time.
pub(crate) async fn acquire(
    state: &Arc<State>,
    context: &Context,
    hosts: Hosts,
    progress: Progress,
) -> Result<Slot, Unavailable> {
    let started = Instant::now();
    let until = longest_wait(state, context, &hosts, progress);
    let criteria = criteria(context, hosts);
    check_quarantine(state, context)?;
    if progress == Progress::New && !criteria.hosts.is_return() {
        check_presence(state, &criteria.target)?;
        check_limits(state, &criteria.target, until.saturating_duration_since(started))?;
    }
    let grant = if state.admission.has_waiting(&criteria.target) {
        None
    } else {
        try_reserve(state, &criteria)
    };
    let grant = match grant {
        Some(it) => it,
        None => wait_for_upstream(state, context, criteria, progress, until).await?,
    };
    check_quarantine(state, context)?;
    report::record_choice(state, context, &grant.upstream, started.elapsed());
    let Grant { upstream, in_flight } = grant;
    Ok(Slot { upstream, state: Arc::clone(state), in_flight: Some(in_flight) })
}

/// Checks that the request may be sent to a host. Every attempt does so, as the request may have become
/// quarantined since the last one, or while it waited.
///
/// # Errors
///
/// [`Unavailable::Quarantined`].
fn check_quarantine(state: &State, context: &Context) -> Result<(), Unavailable> {
    if state.quarantine.blocks(state.now(), &context.subjects) {
        return Err(Unavailable::Quarantined);
    }
    Ok(())
}

/// Returns whether an upstream on one of the hosts could be reserved at once.
pub(crate) fn has_capacity(state: &State, context: &Context, hosts: Hosts) -> bool {
    let snapshot = state.routing.load();
    let criteria = criteria(context, hosts);
    !state.admission.has_waiting(&criteria.target)
        && !choice::Options::find(state, &snapshot, &criteria, state.now()).upstreams.is_empty()
}

/// Returns the conditions that an upstream for a request must meet.
fn criteria(context: &Context, hosts: Hosts) -> Criteria {
    Criteria {
        target: Target { service: context.service.clone(), model: context.meta.model.clone() },
        hosts,
        max_idle: exchange::max_idle(context.route.retry),
    }
}

/// Returns until when a request may wait for an upstream.
fn longest_wait(state: &State, context: &Context, hosts: &Hosts, progress: Progress) -> Instant {
    if hosts.is_return() {
        // A replica isn't routable while a member is silent.
        return (Instant::now() + stall::SOUND_SILENCE).min(context.deadline);
    }
    if progress == Progress::Started {
        return context.deadline;
    }
    let objective =
        context.route.latency_objective.mul_f64(state.current_settings().admission.wait);
    let is_stream = context.route.retry.is_stream();
    let service_time = if is_stream { state.mean_first_event() } else { Duration::ZERO };
    (Instant::now() + queue::longest_wait(objective, service_time)).min(context.deadline)
}

/// Checks that there is an upstream for a target.
///
/// # Errors
///
/// [`Unavailable::Absent`].
fn check_presence(state: &State, target: &Target) -> Result<(), Unavailable> {
    let snapshot = state.routing.load();
    if snapshot.upstreams(&target.service, target.model.as_deref()).is_empty() {
        return Err(Unavailable::Absent);
    }
    Ok(())
}

/// Checks that this node has room for a request within `wait` if all upstreams of its target name limits or asked for
/// pauses.
///
/// # Errors
///
/// [`Unavailable::Limited`].
fn check_limits(state: &State, target: &Target, wait: Duration) -> Result<(), Unavailable> {
    let snapshot = state.routing.load();
    let upstreams = snapshot.upstreams(&target.service, target.model.as_deref());
    let now = state.now();
    if !upstreams.iter().all(|it| it.notices.is_limited() || it.notices.is_paused(now)) {
        return Ok(());
    }
    let time_to_room = |it: &Arc<Upstream>| {
        let permit = it.notices.time_to_permit(now)?;
        Some(permit.max(it.notices.pause_left(now)))
    };
    let first_in = upstreams.iter().filter_map(time_to_room).min();
    let room_in = if upstreams.iter().all(|it| it.notices.is_limited()) {
        let share: f64 = upstreams.iter().map(|it| it.notices.share()).sum();
        let behind_others = time_to_serve(state.admission.waiting(target), share);
        first_in.map(|it| it.saturating_add(behind_others))
    } else {
        first_in
    };
    match room_in {
        Some(it) if it <= wait => Ok(()),
        _ => Err(Unavailable::Limited { room_in }),
    }
}

/// Returns the time in which requests are sent that wait for their turn, `share` per second.
fn time_to_serve(waiting: usize, share: f64) -> Duration {
    if waiting == 0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(waiting as f64 / share).unwrap_or(Duration::MAX / 2)
}

/// Waits in the admission queue until an upstream is assigned or the wait times out.
async fn wait_for_upstream(
    state: &Arc<State>,
    context: &Context,
    criteria: Criteria,
    progress: Progress,
    until: Instant,
) -> Result<Grant, Unavailable> {
    let target = criteria.target.clone();
    let mut ticket = state.admission.enqueue(criteria, progress, context.priority);
    state.capacity_changed.notify_one();
    let grant = time::timeout_at(until, &mut ticket.grant).await;
    grant.ok().and_then(Result::ok).ok_or_else(|| assess_capacity(state, context, &target))
}

/// Returns what this node knows about the upstreams of a target, none of which had capacity.
fn assess_capacity(state: &State, context: &Context, target: &Target) -> Unavailable {
    let snapshot = state.routing.load();
    let now = state.now();
    let fill = state.current_settings().admission.fill;
    let upstreams = snapshot.upstreams(&target.service, target.model.as_deref());
    Unavailable::Full {
        upstreams: upstreams.len(),
        full: upstreams.iter().filter(|it| !choice::has_free_slot(it, fill, None)).count(),
        cold: upstreams.iter().filter(|it| it.stats.is_cold(now)).count(),
        limited: upstreams.iter().filter(|it| !choice::has_limit_permit(it, now)).count(),
        paused: upstreams.iter().filter(|it| it.notices.is_paused(now)).count(),
        suspect: upstreams.iter().filter(|it| it.stats.is_suspect(now)).count(),
        turn_in: plan_return(state, context, target, upstreams),
    }
}

/// Returns the time after which a rejected caller should return; `None` if returns aren't planned, or nothing is known
/// about the upstreams.
fn plan_return(
    state: &State,
    context: &Context,
    target: &Target,
    upstreams: &[Arc<Upstream>],
) -> Option<Duration> {
    if !state.current_settings().admission.plans_returns {
        return None;
    }
    let own = upstreams.iter().map(|it| it.stats.in_flight()).sum();
    let rate = returns::rate(own, choice::mean_turnover(upstreams)?);
    Some(state.admission.plan_return(target, state.now(), context.remaining(), rate))
}

/// Assigns upstreams to the requests in the admission queue until the task is dropped.
pub(crate) async fn dispatch_waiting(state: Arc<State>) {
    loop {
        if state.admission.is_empty() {
            state.capacity_changed.notified().await;
        } else {
            // Load from other nodes, pauses after failures and slow-start allowances change without a
            // notification.
            let _ = time::timeout(POLL_INTERVAL, state.capacity_changed.notified()).await;
        }
        state.admission.dispatch(|criteria| try_reserve(&state, criteria));
    }
}

/// Reserves an upstream if one has capacity now.
fn try_reserve(state: &State, criteria: &Criteria) -> Option<Grant> {
    let snapshot = state.routing.load();
    let now = state.now();
    let upstream = choice::Options::find(state, &snapshot, criteria, now).choose()?;
    if !take_permits(upstream, now) {
        return None;
    }
    let in_flight = upstream.stats.begin_request(now);
    Some(Grant { upstream: Arc::clone(upstream), in_flight })
}

/// Takes what a request needs that is sent to an upstream whose rate is limited. Returns whether there was enough.
pub(super) fn take_permits(upstream: &Upstream, now: Duration) -> bool {
    let is_warm = choice::reduced_rate(upstream, now)
        .is_none_or(|rate| upstream.stats.acquire_cold_permit(now, rate));
    is_warm && upstream.notices.try_take_permit(now)
}
