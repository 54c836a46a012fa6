//! Usage of each model and plain service at this node, by team, and the capacity of their
//! upstreams.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use cuminward_core::{catalog, id};
use cuminward_route::{admission, fair_queue, load};

/// Usage and capacity of one model or plain service at this node. Requests read and change it
/// without a lock.
#[derive(Debug, Default)]
pub struct Usage {
    waiting: Arc<AtomicU32>,
    teams: HashMap<id::Team, Team>,
    total_weight: u32,
    /// Sum of the upstreams' concurrency limits, as last computed.
    total_limit: AtomicU32,
    upstreams: Vec<Upstream>,
}

/// Weight and running requests of one team.
#[derive(Debug)]
struct Team {
    weight: u32,
    running: Arc<AtomicU32>,
}

/// Slots and limits of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Slots that this node holds at the upstream.
    pub slots: Arc<admission::Holder>,
    /// Concurrency limits of the upstream.
    pub limits: admission::Limits,
    /// Load figures that routing reads; only replicas have them.
    pub gauge: Option<Arc<load::Gauge>>,
}

/// Counts a request of a team as running until this is dropped.
#[derive(Debug)]
pub struct Running {
    count: Arc<AtomicU32>,
}

/// Counts a request as waiting until this is dropped.
#[derive(Debug)]
pub struct Waiting {
    count: Arc<AtomicU32>,
}

/// Life cycle
impl Usage {
    /// Makes the usage of a model or service with these teams and upstreams. Counts are carried
    /// over from the previous snapshot.
    pub fn new(
        teams: &BTreeMap<id::Team, catalog::Team>,
        upstreams: Vec<Upstream>,
        previous: Option<&Usage>,
    ) -> Usage {
        let team = |it: &catalog::Team| {
            let known = previous.and_then(|previous| previous.teams.get(&it.name));
            let running = known.map(|it| Arc::clone(&it.running)).unwrap_or_default();
            (it.name.clone(), Team { weight: it.weight, running })
        };
        Usage {
            waiting: previous.map(|it| Arc::clone(&it.waiting)).unwrap_or_default(),
            teams: teams.values().map(team).collect(),
            total_weight: teams.values().map(|it| it.weight).sum(),
            total_limit: AtomicU32::new(
                previous.map_or(0, |it| it.total_limit.load(Ordering::Acquire)),
            ),
            upstreams,
        }
    }
}

/// Access
impl Usage {
    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Returns the number of running requests of a team.
    pub fn running(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |it| it.running.load(Ordering::Acquire))
    }

    /// Returns the number of running requests of each team.
    pub fn teams(&self) -> impl Iterator<Item = (&str, u32)> {
        self.teams.iter().map(|(name, it)| (name.as_str(), it.running.load(Ordering::Acquire)))
    }

    /// Returns the weight of a team, or 1 if the team is unknown.
    pub fn weight(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(1, |it| it.weight)
    }

    /// Returns the capacity of this node: an equal share of the upstreams' total limit among
    /// `nodes` nodes, or the slots that it holds if those are more.
    pub fn capacity(&self, nodes: usize) -> fair_queue::Capacity {
        let held: u32 = self.upstreams.iter().map(|it| it.slots.allowance()).sum();
        let in_use: u32 = self.upstreams.iter().map(|it| it.slots.in_use()).sum();
        let share = self.total_limit.load(Ordering::Acquire)
            / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let slots = held.max(share);
        fair_queue::Capacity {
            slots,
            free: slots.saturating_sub(in_use),
            weights: self.total_weight,
        }
    }

    /// Returns whether a team may take a slot now.
    pub fn admits(&self, team: &str, capacity: &fair_queue::Capacity) -> bool {
        let (weight, running) = (self.weight(team), self.running(team));
        capacity.admits(weight, running, capacity.headroom_permille())
    }
}

/// Mutation
impl Usage {
    /// Counts a request of a team as running until the result is dropped.
    pub fn start_running(&self, team: &str) -> Running {
        let count = self.teams.get(team).map(|it| Arc::clone(&it.running)).unwrap_or_default();
        count.fetch_add(1, Ordering::AcqRel);
        Running { count }
    }

    /// Counts a request as waiting until the result is dropped.
    pub fn start_waiting(&self) -> Waiting {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Waiting { count: Arc::clone(&self.waiting) }
    }

    /// Recomputes the upstreams' limits, which grow during slow start; to be called periodically.
    pub fn update_limits(&self, now: Duration) {
        let total_limit = self.upstreams.iter().map(|it| it.update_limit(now)).sum();
        self.total_limit.store(total_limit, Ordering::Release);
    }

    /// Divides the number of waiting requests evenly among the slot holders of the upstreams,
    /// rounded up.
    pub fn distribute_waiting(&self, waiting: usize) {
        let share = waiting.div_ceil(self.upstreams.len().max(1));
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        self.upstreams.iter().for_each(|it| it.slots.set_waiting(share));
    }
}

impl Upstream {
    /// Computes the upstream's present limit, publishes it to routing and returns it. While the
    /// start time of the upstream is unknown, it has the limit of a cold one.
    fn update_limit(&self, now: Duration) -> u32 {
        let age = self.slots.age(now).unwrap_or_default();
        let limit = self.limits.limit_at(age);
        if let Some(gauge) = &self.gauge {
            gauge.set_limit(limit);
        }
        limit
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
