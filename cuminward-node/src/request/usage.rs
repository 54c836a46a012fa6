//! How much of a model or service each team uses at this node, and how much there is.

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

/// Use of one model or service at this node; all requests read and change it without a lock.
#[derive(Debug, Default)]
pub struct Usage {
    waiting: Arc<AtomicU32>,
    teams: HashMap<id::Team, Team>,
    weights: u32,
    /// What the upstreams bear together, as it was last computed.
    borne: AtomicU32,
    upstreams: Vec<Upstream>,
}

/// Use of one team.
#[derive(Debug)]
struct Team {
    weight: u32,
    running: Arc<AtomicU32>,
}

/// Slots of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Slots of this node.
    pub slots: Arc<admission::Holder>,
    /// What the upstream bears.
    pub limits: admission::Limits,
    /// Figures that routing reads, of a replica.
    pub gauge: Option<Arc<load::Gauge>>,
}

/// One running request of a team; dropping it ends the request.
#[derive(Debug)]
pub struct Running {
    count: Arc<AtomicU32>,
}

/// One waiting request; dropping it ends the wait.
#[derive(Debug)]
pub struct Waiting {
    count: Arc<AtomicU32>,
}

/// Life cycle
impl Usage {
    /// Makes the use of a service with these teams and upstreams; the counts of a former snapshot
    /// are kept.
    pub fn new(
        teams: &BTreeMap<id::Team, catalog::Team>,
        upstreams: Vec<Upstream>,
        former: Option<&Usage>,
    ) -> Usage {
        let team = |it: &catalog::Team| {
            let known = former.and_then(|former| former.teams.get(&it.name));
            let running = known.map(|it| Arc::clone(&it.running)).unwrap_or_default();
            (it.name.clone(), Team { weight: it.weight, running })
        };
        Usage {
            waiting: former.map(|it| Arc::clone(&it.waiting)).unwrap_or_default(),
            teams: teams.values().map(team).collect(),
            weights: teams.values().map(|it| it.weight).sum(),
            borne: AtomicU32::new(former.map_or(0, |it| it.borne.load(Ordering::Acquire))),
            upstreams,
        }
    }
}

/// Access
impl Usage {
    /// Requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Running requests of a team.
    pub fn running(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |it| it.running.load(Ordering::Acquire))
    }

    /// Running requests of each team.
    pub fn teams(&self) -> impl Iterator<Item = (&str, u32)> {
        self.teams.iter().map(|(name, it)| (name.as_str(), it.running.load(Ordering::Acquire)))
    }

    /// Weight of a team.
    pub fn weight(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(1, |it| it.weight)
    }

    /// Slots of this node: its part of what the upstreams bear, or what it holds if that is more.
    pub fn capacity(&self, nodes: usize) -> fair_queue::Capacity {
        let held: u32 = self.upstreams.iter().map(|it| it.slots.allowance()).sum();
        let in_use: u32 = self.upstreams.iter().map(|it| it.slots.in_use()).sum();
        let part =
            self.borne.load(Ordering::Acquire) / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let slots = held.max(part);
        fair_queue::Capacity { slots, free: slots.saturating_sub(in_use), weights: self.weights }
    }

    /// Tells whether a team may take a slot now.
    pub fn admits(&self, team: &str, capacity: &fair_queue::Capacity) -> bool {
        let (weight, running) = (self.weight(team), self.running(team));
        capacity.admits(weight, running, capacity.headroom_permille())
    }
}

/// Mutation
impl Usage {
    /// Counts a request of a team as running.
    pub fn run(&self, team: &str) -> Running {
        let count = self.teams.get(team).map(|it| Arc::clone(&it.running)).unwrap_or_default();
        count.fetch_add(1, Ordering::AcqRel);
        Running { count }
    }

    /// Counts a request as waiting.
    pub fn wait(&self) -> Waiting {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Waiting { count: Arc::clone(&self.waiting) }
    }

    /// Computes what the upstreams bear now; call this regularly.
    pub fn update_limits(&self, now: Duration) {
        let borne = self.upstreams.iter().map(|it| it.update_limit(now)).sum();
        self.borne.store(borne, Ordering::Release);
    }

    /// Tells the holders how many requests wait, divided among them.
    pub fn share_waiting(&self, waiting: usize) {
        let part = waiting.div_ceil(self.upstreams.len().max(1));
        let part = u32::try_from(part).unwrap_or(u32::MAX);
        self.upstreams.iter().for_each(|it| it.slots.set_waiting(part));
    }
}

impl Upstream {
    /// What the upstream bears now, also for routing; the cold limit while its start isn't known.
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
