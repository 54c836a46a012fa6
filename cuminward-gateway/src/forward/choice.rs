//! Choice of an upstream for a request: which ones could take it, and which of these gets it.

use std::{sync::Arc, time::Duration};

use cuminward_serving::{
    level, scaling,
    select::{self, Health, Place},
    slowdown,
    spill::{self, Decision},
};

use crate::state::{
    State,
    admission::Criteria,
    routing::{Snapshot, Upstream},
};

/// Part of the requests that leaves the node's failure domain, as it was decided last.
const LEAVING_PART: &str = "cuminward_gateway_leaving_part";

/// Requests per second and slot that a host gets from this node right after a pause.
const RECOVERY_RATE: f64 = 2.0;

/// Why an upstream can't take a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// Its slots are used.
    Full,
    /// Its host wants no requests from this node for a time, or is leaving.
    Closed,
    /// Its host said that it isn't the intended one.
    Misdirected,
    /// Its host had the request before, or isn't the one to which the request returns.
    Tried,
    /// It names a limit, of which this node has used its part, or hasn't told yet whether it has one.
    Limited,
    /// It is cold or was paused, and this node has sent what it bears.
    Cold,
}

/// Access
impl Obstacle {
    /// Returns the name that operators see.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Obstacle::Full => "full",
            Obstacle::Closed => "closed",
            Obstacle::Misdirected => "misdirected",
            Obstacle::Tried => "tried",
            Obstacle::Limited => "limited",
            Obstacle::Cold => "cold",
        }
    }
}

/// The upstreams that could take a request now, and what decides between them.
pub(crate) struct Options<'a> {
    pub(crate) upstreams: Vec<&'a Arc<Upstream>>,
    candidates: Vec<select::Candidate>,
    /// What changes until other nodes report on the upstreams again.
    pub(crate) outlook: Option<level::Outlook>,
    /// Whether the slots of all upstreams together leave room for the request.
    pub(crate) has_room: bool,
    /// Number of upstreams among which is chosen.
    size: usize,
    place: Place,
}

/// Life cycle
impl Options<'_> {
    /// Finds the upstreams that could take a request. There are none if it has to wait.
    pub(crate) fn find<'a>(
        state: &State,
        snapshot: &'a Snapshot,
        criteria: &Criteria,
        now: Duration,
    ) -> Options<'a> {
        let all = snapshot.upstreams(&criteria.target.service, criteria.target.model.as_deref());
        let outlook = foresee(state, all);
        // A request that was sent before holds a part of the slots already.
        let has_room = outlook.is_none() || !criteria.hosts.are_all() || has_room(state, all);
        let usable =
            |it: &&Arc<Upstream>| has_room && obstacle(state, it, criteria, outlook, now).is_none();
        let upstreams: Vec<&Arc<Upstream>> = all.iter().filter(usable).collect();
        let candidates = upstreams.iter().map(|it| candidate(state, it, criteria, now)).collect();
        let nodes = state.node_count();
        let size = match outlook {
            Some(_) => scaling::spread_size(all.len(), nodes),
            None => scaling::subset_size(all.len(), nodes),
        };
        let place = choose_place(state, all, now);
        Options { upstreams, candidates, outlook, has_room, size, place }
    }
}

/// Access
impl<'a> Options<'a> {
    /// Selects the upstream that gets the request.
    pub(crate) fn choose(&self) -> Option<&'a Arc<Upstream>> {
        let index = match self.outlook {
            Some(it) => select::spread(&self.candidates, self.size, self.place, it, rand::random()),
            None => select::choose(&self.candidates, self.size, self.place),
        };
        index.map(|it| self.upstreams[it])
    }

    /// Returns the probability with which each of the upstreams gets the request.
    pub(crate) fn probabilities(&self) -> Vec<f64> {
        select::probabilities(&self.candidates, self.size, self.place, self.outlook)
    }
}

/// Returns why an upstream can't take a request now; `None` if it can.
pub(crate) fn obstacle(
    state: &State,
    upstream: &Upstream,
    criteria: &Criteria,
    outlook: Option<level::Outlook>,
    now: Duration,
) -> Option<Obstacle> {
    let fill = state.current_settings().admission.fill;
    let is_limited = !has_limit_permit(upstream, now)
        || !(upstream.notices.is_heard() || upstream.stats.in_flight() == 0);
    let has_cold_permit =
        reduced_rate(upstream, now).is_none_or(|rate| upstream.stats.has_cold_permit(now, rate));
    let obstacles = [
        (!has_free_slot(upstream, fill, outlook), Obstacle::Full),
        (!upstream.notices.is_open(now), Obstacle::Closed),
        (upstream.stats.is_excluded(now), Obstacle::Misdirected),
        (!criteria.hosts.allow(&upstream.host), Obstacle::Tried),
        (is_limited, Obstacle::Limited),
        (!has_cold_permit, Obstacle::Cold),
    ];
    obstacles.into_iter().find_map(|(applies, it)| applies.then_some(it))
}

/// Returns an upstream as the selection sees it.
fn candidate(
    state: &State,
    upstream: &Upstream,
    criteria: &Criteria,
    now: Duration,
) -> select::Candidate {
    select::Candidate {
        load: upstream.stats.load(),
        slots: upstream.slots,
        is_same_domain: upstream.domain == state.settings.node.domain,
        is_connected: state.upstreams.has_idle(&upstream.address, criteria.max_idle),
        health: assess_health(upstream, now),
        slowdown: upstream.slowdown,
        affinity: upstream.affinity,
        tie_breaker: rand::random(),
    }
}

/// Returns what changes at the upstreams of a target until other nodes report on them again; `None` if the requests aren't
/// spread by it, or nothing is known.
fn foresee(state: &State, upstreams: &[Arc<Upstream>]) -> Option<level::Outlook> {
    let period = state.report_period();
    if period == Duration::ZERO || !state.current_settings().routing.levels_load {
        return None;
    }
    Some(level::foresee(period, mean_turnover(upstreams)?))
}

/// Returns the mean time for which a request of this node is in flight; `None` until one has ended.
pub(super) fn mean_turnover(upstreams: &[Arc<Upstream>]) -> Option<Duration> {
    level::mean(upstreams.iter().filter_map(|it| it.stats.turnover()))
}

/// Returns whether this node sends a request to the upstreams of a target, as far as their slots are concerned.
fn has_room(state: &State, upstreams: &[Arc<Upstream>]) -> bool {
    let fill = state.current_settings().admission.fill;
    let load = upstreams.iter().map(|it| it.stats.load()).sum();
    let own = upstreams.iter().map(|it| it.stats.in_flight()).sum();
    let slots: u32 = upstreams.iter().map(|it| it.slots).sum();
    level::has_room(load, f64::from(slots) * fill, own, state.node_count())
}

/// Returns whether fewer requests are in flight at an upstream than it has slots, times `fill`; with an outlook, whether
/// there will be fewer when the nodes report again.
pub(super) fn has_free_slot(
    upstream: &Upstream,
    fill: f64,
    outlook: Option<level::Outlook>,
) -> bool {
    let load = upstream.stats.load();
    let load = outlook.map_or(f64::from(load), |it| it.remaining_load(load));
    load < f64::from(upstream.slots) * fill
}

/// Returns whether the limit that an upstream names, if any, lets this node send a request now.
pub(super) fn has_limit_permit(upstream: &Upstream, now: Duration) -> bool {
    upstream.notices.time_to_permit(now) == Some(Duration::ZERO)
}

/// Returns the request rate of this node that an upstream sustains during slow start and right after a pause, in
/// requests per second; `None` if its rate isn't limited.
pub(super) fn reduced_rate(upstream: &Upstream, now: Duration) -> Option<f64> {
    let cold = upstream.cold_share.filter(|_| upstream.stats.is_cold(now));
    let is_recovering = upstream.notices.is_recovering(now);
    let recovering = is_recovering.then(|| f64::from(upstream.slots) * RECOVERY_RATE);
    [cold, recovering].into_iter().flatten().reduce(f64::min)
}

/// Decides whether a request leaves this node's failure domain.
fn choose_place(state: &State, upstreams: &[Arc<Upstream>], now: Duration) -> Place {
    if !state.current_settings().routing.stays_in_domain {
        return Place::Any;
    }
    let domain = &state.settings.node.domain;
    let (mut home, mut away) = (spill::Load::default(), spill::Load::default());
    for it in upstreams.iter().filter(|it| !it.stats.is_suspect(now)) {
        let load = if it.domain == *domain { &mut home } else { &mut away };
        load.requests += it.stats.load();
        load.slots += it.slots;
    }
    let decision = spill::decide(home, away);
    metrics::gauge!(LEAVING_PART).set(if let Decision::Leave(it) = decision { it } else { 0.0 });
    match decision {
        Decision::Stay => Place::Home,
        Decision::Leave(part) if rand::random::<f64>() < part => Place::Away,
        Decision::Pool | Decision::Leave(_) => Place::Any,
    }
}

/// Returns the health of an upstream as the selection sees it.
pub(super) fn assess_health(upstream: &Upstream, now: Duration) -> Health {
    if upstream.stats.is_suspect(now) {
        Health::Suspect
    } else if upstream.slowdown >= slowdown::THRESHOLD {
        Health::Slow
    } else {
        Health::Healthy
    }
}
