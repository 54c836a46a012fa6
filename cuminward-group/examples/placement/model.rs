//! Simulation of hosts, groups and the weight store in steps of a second, driven by the placement decision.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cuminward_group::{
    placement::{self, Group, Health, Host, Input, Limits, State, Strategy, Weights},
    probe::fabric_outage,
};

use crate::{
    bound,
    setup::{Setup, WARM_UP},
};

/// Seconds of silence after which a host counts as lost.
const LOST_AFTER: u64 = 3;
/// Seconds for which a retiring group drains.
const DRAIN_SECONDS: u64 = 30;
/// Weights of one host in megabytes, and rates in megabytes a second.
const WEIGHTS: u64 = 40_000;
const STORE_RATE: u64 = 10_000;
const HOST_RATE: u64 = 1_250;

/// Measured figures.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Replica-seconds below the declared number.
    pub(crate) downtime: usize,
    /// Host-seconds outside any whole group, of hosts that are up.
    pub(crate) stranded: usize,
    /// Lower bound of `stranded`.
    pub(crate) bound: usize,
    pub(crate) orders: usize,
    pub(crate) loads: usize,
    /// Largest number of hosts that loaded weights at the same time.
    pub(crate) peak: usize,
    pub(crate) decisions: Times,
}

/// Durations of decisions, in microseconds.
#[derive(Default)]
pub(crate) struct Times {
    sum: f64,
    count: f64,
    pub(crate) max: f64,
}

impl Times {
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.count
    }

    fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64() * 1e6;
        self.sum += time;
        self.count += 1.0;
        self.max = self.max.max(time);
    }
}

#[derive(Clone, Default)]
struct Engine {
    down_until: u64,
    down_since: u64,
    /// Megabytes that are still to be loaded.
    megabytes_left: u64,
    weights: Option<Weights>,
}

struct Model {
    setup: Setup,
    engines: Vec<Engine>,
    groups: Vec<Group>,
    retire_at: BTreeMap<u64, u64>,
    detector: fabric_outage::Detector,
    last_generation: u64,
    outcome: Outcome,
}

/// Runs one strategy over a sequence of failures.
pub(crate) fn run(setup: Setup, strategy: Strategy) -> Outcome {
    let engines = vec![Engine::default(); setup.fabrics.len()];
    let mut model = Model {
        setup,
        engines,
        groups: Vec::new(),
        retire_at: BTreeMap::new(),
        detector: fabric_outage::Detector::default(),
        last_generation: 0,
        outcome: Outcome::default(),
    };
    let mut failures = std::mem::take(&mut model.setup.failures).into_iter().peekable();
    for now in 0..model.setup.end {
        while let Some(it) = failures.next_if(|it| it.at == now) {
            it.hosts.iter().for_each(|host| model.fail(now, *host, it.seconds, it.cold));
        }
        model.load_weights();
        model.update_health(now);
        model.decide(now, strategy);
        model.measure(now);
    }
    model.outcome
}

fn name(host: usize) -> String {
    format!("h{host:04}")
}

fn index(name: &str) -> usize {
    name[1..].parse().expect("names are made by `name`")
}

impl Model {
    fn up(&self, now: u64, host: usize) -> bool {
        now >= self.engines[host].down_until
    }

    fn fail(&mut self, now: u64, host: usize, seconds: u64, cold: bool) {
        let was_up = self.up(now, host);
        let engine = &mut self.engines[host];
        if was_up {
            engine.down_since = now;
        }
        engine.down_until = engine.down_until.max(now + seconds);
        if cold {
            engine.weights = None;
            engine.megabytes_left = 0;
        }
    }

    /// Simulates a second of loading at the shared rate.
    fn load_weights(&mut self) {
        let loading = self.engines.iter().filter(|it| it.megabytes_left > 0).count();
        self.outcome.peak = self.outcome.peak.max(loading);
        let rate = HOST_RATE.min(STORE_RATE / loading.max(1) as u64);
        self.engines
            .iter_mut()
            .for_each(|it| it.megabytes_left = it.megabytes_left.saturating_sub(rate));
    }

    /// Updates the health of each group from the state of its members.
    fn update_health(&mut self, now: u64) {
        for at in 0..self.groups.len() {
            let members: Vec<usize> = self.groups[at].members.iter().map(|it| index(it)).collect();
            let up = members.iter().all(|it| self.up(now, *it));
            let warm = |it: &usize| {
                let engine = &self.engines[*it];
                engine.weights.as_ref() == Some(&self.groups[at].weights)
            };
            let loaded = members.iter().all(|it| self.engines[*it].megabytes_left == 0);
            let is_whole = up && loaded && members.iter().all(warm);
            let failed = !up || !members.iter().all(warm);
            self.groups[at].health = match (failed, is_whole) {
                (true, _) => Health::Broken,
                (_, true) => Health::Whole,
                _ => Health::Loading,
            };
        }
    }

    /// Returns the groups as a steward observes them: a silent member counts as lost only after
    /// [`LOST_AFTER`].
    fn observed_groups(&self, now: u64) -> Vec<Group> {
        let mut groups = self.groups.clone();
        for group in &mut groups {
            let silent = |it: &String| {
                let engine = &self.engines[index(it)];
                now < engine.down_until && now < engine.down_since + LOST_AFTER
            };
            if group.members.iter().any(silent) {
                group.health = Health::Unsure;
            }
        }
        groups
    }

    fn decide(&mut self, now: u64, strategy: Strategy) {
        let input = self.input(now);
        let begin = Instant::now();
        let plan = placement::plan(&input, strategy);
        self.outcome.decisions.add(begin.elapsed());
        for release in &plan.release {
            let serving = self
                .groups
                .iter_mut()
                .find(|it| it.generation == release.generation && it.health == Health::Whole);
            match serving {
                Some(group) if !group.retiring => {
                    group.retiring = true;
                    self.retire_at.insert(release.generation, now + DRAIN_SECONDS);
                }
                Some(_) => {}
                None => self.release(now, release.generation),
            }
        }
        let due: Vec<u64> =
            self.retire_at.iter().filter(|it| now >= *it.1).map(|it| *it.0).collect();
        due.into_iter().for_each(|it| self.release(now, it));
        plan.form.iter().for_each(|it| self.form(it));
    }

    fn release(&mut self, now: u64, generation: u64) {
        self.retire_at.remove(&generation);
        let Some(at) = self.groups.iter().position(|it| it.generation == generation) else {
            return;
        };
        let group = self.groups.remove(at);
        self.outcome.orders += group.members.iter().filter(|it| self.up(now, index(it))).count();
    }

    fn form(&mut self, form: &placement::Form) {
        self.last_generation += 1;
        self.outcome.orders += form.members.len();
        for member in &form.members {
            let engine = &mut self.engines[index(member)];
            if engine.weights.as_ref() != Some(&form.weights) || engine.megabytes_left > 0 {
                engine.megabytes_left = WEIGHTS;
                engine.weights = Some(form.weights.clone());
                self.outcome.loads += 1;
            }
        }
        self.groups.push(Group {
            group: format!("g{}", self.last_generation),
            generation: self.last_generation,
            service: form.service.clone(),
            weights: form.weights.clone(),
            members: form.members.clone(),
            health: Health::Loading,
            retiring: false,
        });
    }

    fn input(&mut self, now: u64) -> Input {
        let time = Duration::from_secs(now);
        let options = fabric_outage::Options::default();
        let mut counts: BTreeMap<String, fabric_outage::Count> = BTreeMap::new();
        for host in 0..self.engines.len() {
            let count = counts.entry(self.fabric(host)).or_default();
            count.listed += 1;
            count.silent += usize::from(!self.up(now, host));
        }
        self.detector.update(time, &counts, &options);
        Input {
            now: time,
            hosts: (0..self.engines.len()).map(|it| self.host_view(now, it)).collect(),
            groups: self.observed_groups(now),
            demands: self.setup.demands.clone(),
            held: self.detector.repair_held(time, &options),
            limits: Limits::default(),
        }
    }

    fn fabric(&self, host: usize) -> String {
        format!("f{:02}", self.setup.fabrics[host])
    }

    fn host_view(&self, now: u64, host: usize) -> Host {
        let engine = &self.engines[host];
        let name = name(host);
        let member = self.groups.iter().any(|it| it.members.contains(&name));
        let state = match (self.up(now, host), member) {
            (false, _) => State::Down,
            (true, true) => State::Member,
            (true, false) => State::Free,
        };
        let weights = engine.weights.clone().filter(|_| engine.megabytes_left == 0);
        Host { host: name, fabric: self.fabric(host), state, weights, leaving: false }
    }

    fn measure(&mut self, now: u64) {
        if now < WARM_UP {
            return;
        }
        for demand in &self.setup.demands {
            let serves = |it: &&Group| it.health == Health::Whole && it.service == demand.service;
            let count = self.groups.iter().filter(serves).count();
            self.outcome.downtime += demand.count.saturating_sub(count);
        }
        let serving = self.groups.iter().filter(|it| it.health == Health::Whole);
        let used: usize = serving.map(|it| it.members.len()).sum();
        let mut up = vec![0; self.setup.fabrics.last().map_or(0, |it| it + 1)];
        for host in 0..self.engines.len() {
            up[self.setup.fabrics[host]] += usize::from(self.up(now, host));
        }
        self.outcome.stranded += up.iter().sum::<usize>().saturating_sub(used);
        self.outcome.bound += bound::stranded(&up, &self.setup.demands);
    }
}
