//! Simulated hosts that carry out a steward's orders, and the checks of what must always hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_serving::{
    engine, host,
    host::{Host, Membership, Phase},
    id,
    placement::{
        Snapshot, Steward,
        order::{Action, Order, Outcome},
    },
};

use crate::fixture;

/// Step of the simulation, which is also the steward's interval.
const STEP: Duration = Duration::from_millis(100);

/// Time after which a silent host's entry leaves the list.
const LAPSE: Duration = Duration::from_millis(3600);

/// Time after which the nodes notice that a host doesn't answer, and for which they say so.
const NOTICED_AFTER: Duration = Duration::from_millis(600);
const LOST_FOR: Duration = Duration::from_secs(4);

/// Time after which a head notices that a member is missing.
const STALL: Duration = Duration::from_secs(5);

/// Time for which late orders stay under way.
const ORDER_DELAY: Duration = Duration::from_secs(4);

/// A simulated host.
struct Sim {
    host: Host,
    is_alive: bool,
    /// Whether neither the store nor the nodes reach it.
    is_cut: bool,
    silent_since: Option<Duration>,
    fence: id::Token,
    /// When the current join, opening or load ends.
    join_ends: Option<Duration>,
    open_ends: Option<Duration>,
    load_ends: Option<(Duration, id::Model)>,
    members: Vec<id::Host>,
    /// When the group of this head began to stand still.
    stalled_since: Option<Duration>,
}

/// Simulated hosts and their steward.
pub(super) struct Fleet {
    now: Duration,
    engine: engine::Engine,
    sims: BTreeMap<id::Host, Sim>,
    /// When hosts enter the list.
    listed_from: BTreeMap<id::Host, Duration>,
    /// What the steward sees.
    listed: BTreeMap<id::Host, Host>,
    steward: Steward,
    token: id::Token,
    has_traffic: bool,
    evacuated: BTreeSet<id::Domain>,
    /// Members that were ready in a formation.
    confirmed: BTreeSet<(id::Group, id::Host)>,
    late: Vec<(Duration, Order, id::Token, id::Seq)>,
    failures: Vec<Outcome>,
    orders: u64,
    pub(super) loses_answers: bool,
    pub(super) delays_orders: bool,
    /// Formations that were begun, with their members.
    begun: BTreeMap<id::Group, Vec<id::Host>>,
    pub(super) violations: Vec<String>,
    /// When loads began.
    pub(super) loads: Vec<Duration>,
    pub(super) given: Vec<Action>,
}

/// Life cycle
impl Fleet {
    pub(super) fn new(fabrics: &[&str], per_fabric: usize) -> Fleet {
        let mut sims = BTreeMap::new();
        for fabric in fabrics {
            for index in 0..per_fabric {
                let host = fixture::host(&format!("{fabric}-{index}"), fabric);
                sims.insert(host.id.clone(), Sim::new(host));
            }
        }
        Fleet {
            now: Duration::ZERO,
            engine: fixture::engine(),
            sims,
            listed_from: BTreeMap::new(),
            listed: BTreeMap::new(),
            steward: steward(1),
            token: 1,
            has_traffic: false,
            evacuated: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            late: Vec::new(),
            failures: Vec::new(),
            orders: 0,
            loses_answers: false,
            delays_orders: false,
            begun: BTreeMap::new(),
            violations: Vec::new(),
            loads: Vec::new(),
            given: Vec::new(),
        }
    }
}

fn steward(token: id::Token) -> Steward {
    Steward::new(String::from("chat"), token)
}

/// Access
impl Fleet {
    /// Whole open groups of a model, all members alive.
    pub(super) fn open(&self, model: &str) -> usize {
        self.heads(model).len()
    }

    fn heads(&self, model: &str) -> Vec<&Sim> {
        let heads = self.sims.values().filter(|it| {
            it.is_alive
                && it.phase() == Some(Phase::Open)
                && it.host.model.as_deref() == Some(model)
        });
        heads.filter(|it| self.is_whole(it)).collect()
    }

    fn is_whole(&self, head: &Sim) -> bool {
        let group = head.host.membership.as_ref();
        head.members.iter().all(|id| {
            let sim = self.sims.get(id).filter(|it| it.is_alive);
            sim.is_some_and(|it| {
                it.host.membership.as_ref().map(|it| &it.group) == group.map(|it| &it.group)
            })
        })
    }

    /// A member of an open group of a model.
    pub(super) fn member(&self, model: &str, rank: usize) -> id::Host {
        self.heads(model)[0].members[rank].clone()
    }

    pub(super) fn name(&self, at: usize) -> id::Host {
        self.sims.keys().nth(at % self.sims.len()).cloned().unwrap_or_default()
    }

    pub(super) fn count(&self, phase: Phase) -> usize {
        self.sims.values().filter(|it| it.phase() == Some(phase)).count()
    }

    pub(super) fn unstaged(&self) -> usize {
        self.sims.values().filter(|it| it.host.staged.is_empty()).count()
    }

    pub(super) fn groups_in(&self, domain: &str) -> usize {
        let here = self.sims.values().filter(|it| it.host.domain == domain);
        here.filter(|it| it.phase() == Some(Phase::Open)).count()
    }
}

/// Trouble
impl Fleet {
    pub(super) fn kill(&mut self, host: &str) {
        let now = self.now;
        if let Some(sim) = self.sims.get_mut(host) {
            sim.is_alive = false;
            sim.silent_since.get_or_insert(now);
        }
    }

    /// The host starts anew under its identity; its weights are still there.
    pub(super) fn restart(&mut self, host: &str) {
        let Some(sim) = self.sims.get_mut(host) else { return };
        let started_ms = sim.host.started_ms + 1;
        let fresh = Host { membership: None, model: None, seq: 0, started_ms, ..sim.host.clone() };
        *sim = Sim { is_cut: sim.is_cut, silent_since: sim.silent_since, ..Sim::new(fresh) };
        if !sim.is_cut {
            sim.silent_since = None;
        }
    }

    pub(super) fn cut(&mut self, host: &str) {
        let now = self.now;
        if let Some(sim) = self.sims.get_mut(host) {
            sim.is_cut = true;
            sim.silent_since.get_or_insert(now);
        }
    }

    pub(super) fn heal(&mut self) {
        for sim in self.sims.values_mut() {
            sim.is_cut = false;
            if sim.is_alive {
                sim.silent_since = None;
            }
        }
    }

    pub(super) fn drain(&mut self, host: &str) {
        if let Some(sim) = self.sims.get_mut(host) {
            sim.host.state = host::State::Draining;
        }
    }

    /// The duty lapses and comes back to the same node under the same token.
    pub(super) fn restart_steward(&mut self) {
        self.steward = self.steward.restart();
    }

    pub(super) fn replace_steward(&mut self) {
        self.token += 1;
        self.steward = steward(self.token);
    }

    /// Hosts enter the list one after the other, those of different fabric domains by turns.
    pub(super) fn list_slowly(&mut self, gap: Duration) {
        let names: Vec<id::Host> = self.sims.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            let turn = index % 10 * 6 + index / 10;
            self.listed_from.insert(name.clone(), gap * turn as u32);
        }
    }

    pub(super) fn begin_traffic(&mut self) {
        self.has_traffic = true;
    }

    pub(super) fn evacuate(&mut self, domain: &str) {
        self.evacuated.insert(domain.to_owned());
    }

    /// Lets the next order fail.
    pub(super) fn fail_next(&mut self, outcome: Outcome) {
        self.failures.push(outcome);
    }
}

/// Simulation
impl Fleet {
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.progress();
            self.carry_out_late();
            self.list();
            self.decide();
        }
    }

    fn progress(&mut self) {
        let now = self.now;
        let lost: BTreeSet<id::Host> = self.broken_heads();
        for (id, sim) in &mut self.sims {
            sim.progress(now);
            if !lost.contains(id) {
                sim.stalled_since = None;
            } else if sim.stalled_since.get_or_insert(now).saturating_add(STALL) <= now {
                sim.set_phase(Phase::Broken);
            }
            if let Some(it) = &sim.host.membership
                && it.phase == Phase::Ready
            {
                self.confirmed.insert((it.group.clone(), id.clone()));
            }
        }
    }

    /// Heads that serve without all of their members.
    fn broken_heads(&self) -> BTreeSet<id::Host> {
        let serving = self.sims.values().filter(|it| it.is_serving());
        serving.filter(|it| !self.is_whole(it)).map(|it| it.host.id.clone()).collect()
    }

    fn list(&mut self) {
        for (id, sim) in &self.sims {
            match sim.silent_since {
                _ if self.listed_from.get(id).is_some_and(|it| *it > self.now) => {}
                None => {
                    self.listed.insert(id.clone(), sim.host.clone());
                }
                Some(since) if since + LAPSE <= self.now => {
                    self.listed.remove(id);
                }
                Some(_) => {}
            }
        }
    }

    fn decide(&mut self) {
        let noticed = self.sims.values().filter(|it| {
            it.silent_since.is_some_and(|since| {
                (since + NOTICED_AFTER..since + NOTICED_AFTER + LOST_FOR).contains(&self.now)
            })
        });
        let lost: BTreeSet<id::Host> = noticed.map(|it| it.host.id.clone()).collect();
        let snapshot = Snapshot {
            hosts: &self.listed,
            lost: &lost,
            evacuated: &self.evacuated,
            engine: &self.engine,
            has_traffic: self.has_traffic,
        };
        for order in self.steward.tick(self.now, &snapshot) {
            self.given.push(order.action.clone());
            self.check_name(&order.action);
            let outcome = self.deliver(&order);
            self.steward.record_outcome(self.now, &order, outcome);
        }
    }

    /// A name stands for one list of members.
    fn check_name(&mut self, action: &Action) {
        let Action::Join { group, members, .. } = action else { return };
        let known = self.begun.entry(group.clone()).or_insert_with(|| members.clone());
        if known != members {
            self.violations.push(format!("{group} is formed of {known:?} and of {members:?}"));
        }
    }

    fn deliver(&mut self, order: &Order) -> Outcome {
        self.orders += 1;
        let Some(sim) = self.sims.get(&order.host).filter(|it| it.is_alive && !it.is_cut) else {
            return Outcome::Unreachable;
        };
        if let Some(outcome) = self.failures.pop() {
            return outcome;
        }
        let seq = sim.host.seq;
        if self.delays_orders && self.orders.is_multiple_of(3) {
            let due = self.now + ORDER_DELAY;
            self.late.push((due, order.clone(), self.token, seq));
            return Outcome::Unanswered;
        }
        let outcome = self.carry_out(order, self.token, seq);
        if self.loses_answers && self.orders.is_multiple_of(4) {
            Outcome::Unanswered
        } else {
            outcome
        }
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|it| it.0 <= now);
        self.late = rest;
        for (_, order, token, seq) in due {
            if self.sims.get(&order.host).is_some_and(|it| it.is_alive) {
                self.carry_out(&order, token, seq);
            }
        }
    }

    fn carry_out(&mut self, order: &Order, token: id::Token, seq: id::Seq) -> Outcome {
        let double = match &order.action {
            Action::Join { group, .. } => self.check_join(&order.host, group),
            _ => None,
        };
        let now = self.now;
        let engine = self.engine.clone();
        let Some(sim) = self.sims.get_mut(&order.host) else { return Outcome::Unreachable };
        if sim.fence > token {
            return Outcome::Fenced;
        }
        if sim.host.seq != seq {
            return Outcome::Refused;
        }
        let outcome = sim.carry_out(now, &engine, &order.action);
        if outcome == Outcome::Accepted {
            self.violations.extend(double);
            sim.fence = token;
            sim.host.seq += 1;
            match &order.action {
                Action::Stage { .. } => self.loads.push(now),
                Action::Open(it) => self.check_open(&order.host, &it.group),
                _ => {}
            }
        }
        outcome
    }

    /// A host must not join another group while it is in one whose head may serve.
    fn check_join(&self, host: &str, group: &str) -> Option<String> {
        let own = self.sims[host].host.membership.as_ref().map(|it| it.group.as_str())?;
        let is_own = |it: &Membership| it.group == own;
        let mut heads = self.sims.values().filter(|it| it.is_alive && it.is_serving());
        let head = heads.find(|it| it.host.membership.as_ref().is_some_and(is_own));
        let head = head.filter(|_| own != group)?;
        Some(format!("{host} joins {group} while {} serves {own}", head.host.id))
    }

    /// A head must not open before every member was ready in the formation.
    fn check_open(&mut self, head: &str, group: &str) {
        for member in self.sims[head].members.clone() {
            if !self.confirmed.contains(&(group.to_owned(), member.clone())) {
                self.violations.push(format!("{group} opens, {member} was never ready"));
            }
        }
    }
}

/// Life cycle
impl Sim {
    fn new(host: Host) -> Sim {
        Sim {
            host,
            is_alive: true,
            is_cut: false,
            silent_since: None,
            fence: 0,
            join_ends: None,
            open_ends: None,
            load_ends: None,
            members: Vec::new(),
            stalled_since: None,
        }
    }
}

/// Access
impl Sim {
    fn phase(&self) -> Option<Phase> {
        self.host.membership.as_ref().map(|it| it.phase)
    }

    fn is_serving(&self) -> bool {
        self.host.is_serving_head()
    }
}

/// Mutation
impl Sim {
    fn set_phase(&mut self, phase: Phase) {
        if let Some(it) = &mut self.host.membership {
            it.phase = phase;
        }
    }

    fn progress(&mut self, now: Duration) {
        if self.join_ends.is_some_and(|it| it <= now) {
            self.join_ends = None;
            self.set_phase(Phase::Ready);
        }
        if self.open_ends.is_some_and(|it| it <= now) {
            self.open_ends = None;
            self.set_phase(Phase::Open);
        }
        if let Some((_, model)) = self.load_ends.take_if(|(ends, _)| *ends <= now) {
            self.host.staged = vec![model];
        }
        self.host.is_busy = self.join_ends.is_some() || self.open_ends.is_some();
    }

    fn carry_out(&mut self, now: Duration, engine: &engine::Engine, action: &Action) -> Outcome {
        let is_own =
            |it: &Option<Membership>, group: &str| it.as_ref().is_some_and(|it| it.group == group);
        match action {
            Action::Join { group, epoch, model, members } => {
                let rank = members.iter().position(|it| *it == self.host.id).unwrap_or_default();
                let (group, epoch) = (group.clone(), *epoch);
                let phase = Phase::Joining;
                self.host.membership = Some(Membership { group, epoch, rank, phase });
                self.members = members.clone();
                let is_last = self.host.model.as_deref() == Some(model);
                let time = match engine.model(model) {
                    _ if is_last => Duration::from_millis(200),
                    Some(it) if self.host.has_staged(model) => it.warm_time,
                    Some(it) => it.load_time,
                    None => return Outcome::Refused,
                };
                self.host.model = Some(model.clone());
                self.host.staged = vec![model.clone()];
                self.join_ends = Some(now + time);
                self.open_ends = None;
                Outcome::Accepted
            }
            Action::Open(it) => {
                if !is_own(&self.host.membership, &it.group) || self.phase() != Some(Phase::Ready) {
                    return Outcome::Refused;
                }
                self.open_ends = Some(now + engine.open_time);
                Outcome::Accepted
            }
            Action::Close(it) if is_own(&self.host.membership, &it.group) => {
                self.set_phase(Phase::Ready);
                Outcome::Accepted
            }
            Action::Leave(it) if is_own(&self.host.membership, &it.group) => {
                self.host.membership = None;
                (self.join_ends, self.open_ends) = (None, None);
                Outcome::Accepted
            }
            Action::Stage { model } if self.load_ends.is_none() => {
                let Some(it) = engine.model(model) else { return Outcome::Refused };
                self.load_ends = Some((now + it.load_time / 10, model.clone()));
                Outcome::Accepted
            }
            _ => Outcome::Refused,
        }
    }
}
