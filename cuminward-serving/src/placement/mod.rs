//! Which groups are formed, opened and dissolved, and which hosts load weights ahead.
//!
//! The steward of a service is the node that holds the service's duty at the store. It reads what hosts
//! report and gives orders; everything that a successor needs stands in those reports.

mod allot;
pub mod load;
pub mod order;
mod plan;
mod survey;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{engine, host::Host, id, replica};
use order::{Action, Formation, Order, Outcome};

/// Time without new hosts after which the list is taken for whole while there is no traffic.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

/// Formations that one fencing token may number.
const EPOCHS_PER_TOKEN: id::Epoch = 100_000;

/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(700);

/// Time for which a host that didn't answer gets no orders.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Time that joins may take beside the load of weights.
const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// What the steward knows when it decides.
#[derive(Debug, Clone, Copy)]
pub struct Snapshot<'a> {
    /// Hosts of the service that the store lists.
    pub hosts: &'a BTreeMap<id::Host, Host>,
    /// Hosts that don't answer.
    pub lost: &'a BTreeSet<id::Host>,
    /// Failure domains that get no work.
    pub evacuated: &'a BTreeSet<id::Domain>,
    /// Engine of the service.
    pub engine: &'a engine::Engine,
    /// Whether callers may have sent requests since the system first started.
    pub has_traffic: bool,
}

/// Forms the groups of one service, under one fencing token.
#[derive(Debug, Clone)]
pub struct Steward {
    service: id::Service,
    token: id::Token,
    counter: id::Epoch,
    /// Formations under way.
    forming: BTreeMap<id::Group, Forming>,
    /// Heads that were told to leave their groups.
    dissolving: BTreeMap<id::Group, id::Host>,
    /// Since when hosts have been in no group.
    idle: BTreeMap<id::Host, Duration>,
    /// Groups whose head may have been told to open.
    uncertain: BTreeSet<id::Group>,
    /// Hosts that didn't answer and get no orders until a time.
    unreachable: BTreeMap<id::Host, Duration>,
    /// Hosts with an order without an outcome.
    pending: BTreeSet<id::Host>,
    /// Last order of each kind that a host got, so that it isn't repeated at once.
    given: BTreeMap<id::Host, (Action, Duration)>,
    loads: load::Loads,
    /// Hosts in the list, and since when there are so many.
    listed: (usize, Duration),
    model_statuses: Vec<ModelStatus>,
}

/// Groups of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelStatus {
    /// Model.
    pub model: id::Model,
    /// Groups that serve.
    pub open: usize,
    /// Groups that are being formed.
    pub forming: usize,
    /// Groups that the model should have.
    pub target: usize,
    /// Hosts outside groups that have the model, by fabric domain.
    pub free_by_fabric: BTreeMap<id::Fabric, usize>,
}

/// A formation under way.
#[derive(Debug, Clone)]
struct Forming {
    epoch: id::Epoch,
    model: id::Model,
    members: Vec<id::Host>,
    /// Formation in which each member was before, if in any.
    before: Vec<Option<Formation>>,
    deadline: Duration,
    is_opening: bool,
}

/// Life cycle
impl Steward {
    /// Makes a steward that knows nothing yet.
    pub fn new(service: id::Service, token: id::Token) -> Steward {
        Steward {
            service,
            token,
            counter: 0,
            forming: BTreeMap::new(),
            dissolving: BTreeMap::new(),
            idle: BTreeMap::new(),
            uncertain: BTreeSet::new(),
            unreachable: BTreeMap::new(),
            pending: BTreeSet::new(),
            given: BTreeMap::new(),
            loads: load::Loads::default(),
            listed: (0, Duration::ZERO),
            model_statuses: Vec::new(),
        }
    }
}

/// Access
impl Steward {
    /// Fencing token of the orders.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Groups of each model when the last decisions were taken.
    pub fn model_statuses(&self) -> &[ModelStatus] {
        &self.model_statuses
    }

    /// Tells whether formations or loads are under way.
    pub fn is_active(&self) -> bool {
        !self.forming.is_empty() || !self.pending.is_empty()
    }
}

/// Mutation
impl Steward {
    /// Takes a newer fencing token.
    pub fn renew_token(&mut self, token: id::Token) {
        self.token = self.token.max(token);
    }

    /// Makes a steward that knows nothing of what this one did, and numbers its formations after those
    /// of this one.
    pub fn restart(&self) -> Steward {
        Steward { counter: self.counter, ..Steward::new(self.service.clone(), self.token) }
    }

    /// Takes in what came of an order.
    pub fn record_outcome(&mut self, now: Duration, order: &Order, outcome: Outcome) {
        self.pending.remove(&order.host);
        match outcome {
            Outcome::Accepted | Outcome::Fenced => return,
            Outcome::Refused | Outcome::Unanswered | Outcome::Outdated => {}
            Outcome::Unreachable => {
                self.unreachable.insert(order.host.clone(), now + UNREACHABLE_FOR);
            }
        }
        if matches!(order.action, Action::Stage { .. }) {
            self.loads.end(&order.host);
        }
    }

    /// Decides which orders to give now.
    pub fn tick(&mut self, now: Duration, snapshot: &Snapshot<'_>) -> Vec<Order> {
        self.unreachable.retain(|_, until| *until > now);
        self.given.retain(|_, (_, at)| now.saturating_sub(*at) < REPEAT_AFTER);
        self.loads.expire(now, |host, model| {
            snapshot.hosts.get(host).is_none_or(|it| it.has_staged(model))
        });
        let groups = replica::find_groups(snapshot.hosts.values());
        let mut orders = Vec::new();
        self.adopt(now, snapshot, &groups);
        self.advance(now, snapshot, &mut orders);
        let occupied = self.dissolve(snapshot, &groups, &mut orders);
        if snapshot.has_traffic || self.is_settled(now, snapshot) {
            self.plan(now, snapshot, &groups, &occupied, &mut orders);
        }
        orders.retain(|it| self.may_give(it));
        for order in &orders {
            self.note_given(now, order, snapshot.engine);
        }
        orders
    }

    /// Tells whether no hosts have come for a while. At the first start they come one after the other,
    /// and what the first of them loaded would decide which model each fabric domain serves.
    fn is_settled(&mut self, now: Duration, snapshot: &Snapshot<'_>) -> bool {
        if self.listed.0 != snapshot.hosts.len() {
            self.listed = (snapshot.hosts.len(), now);
        }
        now.saturating_sub(self.listed.1) >= SETTLED_AFTER
    }

    /// Tells whether an order may be given: its host answers, has none under way, and didn't get the
    /// same one a moment ago.
    fn may_give(&self, order: &Order) -> bool {
        let is_repeated = self.given.get(&order.host).is_some_and(|it| it.0 == order.action);
        !is_repeated
            && !self.pending.contains(&order.host)
            && !self.unreachable.contains_key(&order.host)
    }

    fn note_given(&mut self, now: Duration, order: &Order, engine: &engine::Engine) {
        self.pending.insert(order.host.clone());
        self.given.insert(order.host.clone(), (order.action.clone(), now));
        if let Action::Stage { model } = &order.action
            && let Some(model) = engine.model(model)
        {
            self.loads.begin(now, order.host.clone(), model);
        }
    }

    /// Continues formations that an earlier steward began and whose members are all there.
    fn adopt(&mut self, now: Duration, snapshot: &Snapshot<'_>, groups: &[replica::Group<'_>]) {
        for group in groups {
            let Some(model) = group.declared_model(snapshot.engine) else { continue };
            let is_forming = group.members.values().all(|it| survey::is_forming(it));
            let is_fit = group.members.values().all(|it| self.is_fit(now, snapshot, it));
            if !is_forming
                || !is_fit
                || !group.is_complete(model.size)
                || self.forming.contains_key(group.name)
            {
                continue;
            }
            let forming = Forming {
                epoch: group.epoch,
                model: model.name.clone(),
                members: group.members.values().map(|it| it.id.clone()).collect(),
                before: group.members.values().map(|it| formation(it)).collect(),
                deadline: now + model.load_time + JOIN_TIMEOUT,
                is_opening: false,
            };
            self.forming.insert(group.name.to_owned(), forming);
        }
    }

    /// Carries the formations under way further.
    fn advance(&mut self, now: Duration, snapshot: &Snapshot<'_>, orders: &mut Vec<Order>) {
        let forming = std::mem::take(&mut self.forming);
        for (group, mut it) in forming {
            match self.step(now, snapshot, &group, &it) {
                survey::Step::Join(missing) => {
                    orders.extend(missing.into_iter().map(|host| join(&group, &it, host)));
                }
                survey::Step::Open => {
                    it.is_opening = true;
                    let formation = Formation { group: group.clone(), epoch: it.epoch };
                    let head = it.members[0].clone();
                    orders.push(Order { host: head, action: Action::Open(formation) });
                }
                survey::Step::Wait => {}
                survey::Step::Done => continue,
                survey::Step::Abandon => {
                    self.abandon(&group, &it);
                    continue;
                }
            }
            self.forming.insert(group, it);
        }
    }

    /// Gives a formation up. A head that may have been told to open could do so late, so its members
    /// have to leave before they join another group.
    fn abandon(&mut self, group: &str, forming: &Forming) {
        if forming.is_opening {
            self.uncertain.insert(group.to_owned());
        }
    }

    /// Dissolves groups that aren't whole. Returns the hosts that are in groups and can't be used.
    fn dissolve(
        &mut self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        orders: &mut Vec<Order>,
    ) -> BTreeSet<id::Host> {
        let mut occupied = BTreeSet::new();
        let is_there = |name: &str| groups.iter().any(|it| it.name == name);
        self.uncertain.retain(|name| is_there(name));
        self.dissolving.retain(|name, _| is_there(name));
        for group in groups {
            if self.forming.contains_key(group.name) {
                continue;
            }
            let members = group.members.values().map(|it| it.id.clone());
            match self.judge(snapshot, group) {
                survey::Verdict::Keep => occupied.extend(members),
                survey::Verdict::Free => {}
                survey::Verdict::Dissolve(action) => {
                    occupied.extend(members);
                    let head = group.members[&0].id.clone();
                    self.dissolving.insert(group.name.to_owned(), head.clone());
                    orders.push(Order { host: head, action });
                }
                survey::Verdict::Scatter => {
                    occupied.extend(members);
                    let formation = Formation { group: group.name.to_owned(), epoch: group.epoch };
                    orders.extend(group.members.values().map(|it| Order {
                        host: it.id.clone(),
                        action: Action::Leave(formation.clone()),
                    }));
                }
            }
        }
        occupied
    }

    fn next_epoch(&mut self) -> id::Epoch {
        self.counter += 1;
        self.token * EPOCHS_PER_TOKEN + self.counter
    }
}

/// Formation in which a host is.
fn formation(host: &Host) -> Option<Formation> {
    let it = host.membership.as_ref()?;
    Some(Formation { group: it.group.clone(), epoch: it.epoch })
}

fn join(group: &str, forming: &Forming, host: id::Host) -> Order {
    let action = Action::Join {
        group: group.to_owned(),
        epoch: forming.epoch,
        model: forming.model.clone(),
        members: forming.members.clone(),
    };
    Order { host, action }
}
