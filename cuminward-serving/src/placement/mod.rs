//! Placement of replicas: which groups are formed, opened and dissolved, and which hosts load
//! weights in advance.
//!
//! The steward of a service is the node to which the store has assigned the partition of the service.
//! It reads the reports of the hosts and sends them orders. The reports contain all the state that the
//! next steward needs.

mod assign;
pub mod demand;
mod evaluate;
pub mod load;
pub mod order;
mod plan;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{engine, host::Host, id, replica};
use order::{Action, Formation, Order, Outcome};

/// Time without new hosts after which the host list counts as complete while there is no traffic.
const LISTING_SETTLE_TIME: Duration = Duration::from_millis(400);

/// Number of epochs that are available under one fencing token.
const EPOCHS_PER_TOKEN: id::Epoch = 100_000;

/// Time after which an order without a visible effect is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which a host that didn't answer gets no orders.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1500);

/// Time that joining may take in addition to loading the weights.
const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// State of a service on which the steward bases its decisions.
#[derive(Debug, Clone, Copy)]
pub struct Snapshot<'a> {
    /// Hosts of the service that the store lists.
    pub hosts: &'a BTreeMap<id::Host, Host>,
    /// Hosts that don't answer.
    pub lost: &'a BTreeSet<id::Host>,
    /// Those of them that won't go on, as far as that is known: groups stay together while a member is only
    /// silent.
    pub gone: &'a BTreeSet<id::Host>,
    /// Evacuated failure domains, which get no work.
    pub evacuated: &'a BTreeSet<id::Domain>,
    /// Engine of the service.
    pub engine: &'a engine::Engine,
    /// Whether callers may have sent requests since the system first started.
    pub has_traffic: bool,
    /// What the hosts are divided by among the models.
    pub division: demand::Division<'a>,
}

/// Forms and dissolves the groups of one service, under one fencing token.
#[derive(Debug, Clone)]
pub struct Steward {
    service: id::Service,
    token: id::Token,
    epoch_counter: id::Epoch,
    /// Formations in progress.
    forming: BTreeMap<id::Group, FormingGroup>,
    /// Heads that were ordered to close or to leave their groups, by group.
    dissolving: BTreeMap<id::Group, id::Host>,
    /// Hosts that are in no group, with the time since when.
    idle_since: BTreeMap<id::Host, Duration>,
    /// Groups of abandoned formations whose head may have been ordered to open.
    maybe_opening: BTreeSet<id::Group>,
    /// Hosts that didn't answer, with the time until which they get no orders.
    unreachable_until: BTreeMap<id::Host, Duration>,
    /// Hosts to which an order was sent whose outcome is not known yet.
    awaiting_outcome: BTreeSet<id::Host>,
    /// Last order that was sent to each host and when, so that it isn't repeated at once.
    recent_orders: BTreeMap<id::Host, (Action, Duration)>,
    loads: load::Limiter,
    /// Number of hosts in the list, and since when it has been unchanged.
    listed_hosts: (usize, Duration),
    model_statuses: Vec<ModelStatus>,
    /// Groups whose members have loaded another model, so that they can be closed.
    replaceable: BTreeSet<id::Group>,
}

/// Groups and free hosts of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelStatus {
    /// Model.
    pub model: id::Model,
    /// Number of groups that serve.
    pub open: usize,
    /// Number of groups that are being formed.
    pub forming: usize,
    /// Number of groups that the model should have.
    pub target: usize,
    /// Number of hosts outside groups that have the model staged, by fabric domain.
    pub free_by_fabric: BTreeMap<id::Fabric, usize>,
}

/// A formation in progress.
#[derive(Debug, Clone)]
struct FormingGroup {
    epoch: id::Epoch,
    model: id::Model,
    /// Members by rank; the first one is the head.
    members: Vec<id::Host>,
    /// Formation in which each member was when it was chosen, if in any.
    previous: Vec<Option<Formation>>,
    /// When the formation is abandoned, unless the group is open by then.
    deadline: Duration,
    /// Whether the head was ordered to open.
    is_opening: bool,
}

/// Life cycle
impl Steward {
    /// Creates a steward without any state.
    pub fn new(service: id::Service, token: id::Token) -> Steward {
        Steward {
            service,
            token,
            epoch_counter: 0,
            forming: BTreeMap::new(),
            dissolving: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            maybe_opening: BTreeSet::new(),
            unreachable_until: BTreeMap::new(),
            awaiting_outcome: BTreeSet::new(),
            recent_orders: BTreeMap::new(),
            loads: load::Limiter::default(),
            listed_hosts: (0, Duration::ZERO),
            model_statuses: Vec::new(),
            replaceable: BTreeSet::new(),
        }
    }
}

/// Access
impl Steward {
    /// Returns the fencing token of the orders.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Returns the status of each model at the time of the last placement decisions.
    pub fn model_statuses(&self) -> &[ModelStatus] {
        &self.model_statuses
    }

    /// Returns whether formations are in progress or orders have no outcome yet.
    pub fn is_active(&self) -> bool {
        !self.forming.is_empty() || !self.awaiting_outcome.is_empty()
    }
}

/// Mutation
impl Steward {
    /// Replaces the fencing token if `token` is newer.
    pub fn renew_token(&mut self, token: id::Token) {
        self.token = self.token.max(token);
    }

    /// Creates a steward without the state of this one. It continues the numbering of the
    /// formations, so that no epoch is used twice.
    pub fn restart(&self) -> Steward {
        Steward {
            epoch_counter: self.epoch_counter,
            ..Steward::new(self.service.clone(), self.token)
        }
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: Duration, order: &Order, outcome: Outcome) {
        self.awaiting_outcome.remove(&order.host);
        match outcome {
            Outcome::Accepted | Outcome::Fenced => return,
            Outcome::Refused | Outcome::Unanswered | Outcome::Outdated => {}
            Outcome::Unreachable => {
                self.unreachable_until.insert(order.host.clone(), now + UNREACHABLE_BACKOFF);
            }
        }
        if matches!(order.action, Action::Stage { .. }) {
            self.loads.record_end(&order.host);
        }
    }

    /// Updates the state from `snapshot` and returns the orders to send at `now`.
    pub fn tick(&mut self, now: Duration, snapshot: &Snapshot<'_>) -> Vec<Order> {
        self.unreachable_until.retain(|_, until| *until > now);
        self.recent_orders.retain(|_, (_, at)| now.saturating_sub(*at) < REPEAT_INTERVAL);
        self.loads.expire(now, |host, model| {
            snapshot.hosts.get(host).is_none_or(|it| it.has_staged(model))
        });
        let groups = replica::find_groups(snapshot.hosts.values());
        let mut orders = Vec::new();
        self.adopt_formations(now, snapshot, &groups);
        self.advance_formations(now, snapshot, &mut orders);
        let occupied = self.dissolve_groups(snapshot, &groups, &mut orders);
        if snapshot.has_traffic || self.is_listing_settled(now, snapshot) {
            self.plan(now, snapshot, &groups, &occupied, &mut orders);
        }
        orders.retain(|it| self.can_send(it));
        for order in &orders {
            self.record_sent(now, order, snapshot.engine);
        }
        orders
    }

    /// Returns whether the length of the host list has been the same for [`LISTING_SETTLE_TIME`]. At
    /// the first start the hosts are added one after the other, and the weights that the first of
    /// them loaded would decide which model each fabric domain serves.
    fn is_listing_settled(&mut self, now: Duration, snapshot: &Snapshot<'_>) -> bool {
        if self.listed_hosts.0 != snapshot.hosts.len() {
            self.listed_hosts = (snapshot.hosts.len(), now);
        }
        now.saturating_sub(self.listed_hosts.1) >= LISTING_SETTLE_TIME
    }

    /// Returns whether an order may be sent: its host is reachable, has no order without an
    /// outcome, and wasn't sent the same order within [`REPEAT_INTERVAL`].
    fn can_send(&self, order: &Order) -> bool {
        let is_repeated =
            self.recent_orders.get(&order.host).is_some_and(|it| it.0 == order.action);
        !is_repeated
            && !self.awaiting_outcome.contains(&order.host)
            && !self.unreachable_until.contains_key(&order.host)
    }

    /// Records that an order is being sent.
    fn record_sent(&mut self, now: Duration, order: &Order, engine: &engine::Engine) {
        self.awaiting_outcome.insert(order.host.clone());
        self.recent_orders.insert(order.host.clone(), (order.action.clone(), now));
        if let Action::Stage { model } = &order.action
            && let Some(model) = engine.model(model)
        {
            self.loads.record_start(now, order.host.clone(), model);
        }
    }

    /// Adopts the formations that an earlier steward began and whose members are all present.
    fn adopt_formations(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
    ) {
        for group in groups {
            let Some(model) = group.declared_model(snapshot.engine) else { continue };
            let is_forming = group.members.values().all(|it| evaluate::is_forming(it));
            let is_eligible = group.members.values().all(|it| self.is_eligible(now, snapshot, it));
            if !is_forming
                || !is_eligible
                || !group.is_complete(model.size)
                || self.forming.contains_key(group.name)
                || self.dissolving.contains_key(group.name)
            {
                continue;
            }
            let forming = FormingGroup {
                epoch: group.epoch,
                model: model.name.clone(),
                members: group.members.values().map(|it| it.id.clone()).collect(),
                previous: group.members.values().map(|it| current_formation(it)).collect(),
                deadline: now + model.load_time + JOIN_TIMEOUT,
                is_opening: false,
            };
            self.forming.insert(group.name.to_owned(), forming);
        }
    }

    /// Takes the next step of each formation in progress.
    fn advance_formations(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        orders: &mut Vec<Order>,
    ) {
        let forming = std::mem::take(&mut self.forming);
        for (group, mut current) in forming {
            match self.next_step(now, snapshot, &group, &current) {
                evaluate::Step::Join(missing) => {
                    orders
                        .extend(missing.into_iter().map(|host| join_order(&group, &current, host)));
                }
                evaluate::Step::Open => {
                    current.is_opening = true;
                    let formation = Formation { group: group.clone(), epoch: current.epoch };
                    let head = current.members[0].clone();
                    orders.push(Order { host: head, action: Action::Open(formation) });
                }
                evaluate::Step::Wait => {}
                evaluate::Step::Done => continue,
                evaluate::Step::Abandon => {
                    self.abandon(&group, &current);
                    continue;
                }
            }
            self.forming.insert(group, current);
        }
    }

    /// Abandons a formation. If its head may have been ordered to open, it could do so late; the
    /// members then have to leave before they join another group.
    fn abandon(&mut self, group: &str, forming: &FormingGroup) {
        if forming.is_opening {
            self.maybe_opening.insert(group.to_owned());
        }
    }

    /// Dissolves groups that are incomplete or have a draining member. Returns the hosts that are
    /// in groups and can't be used for new ones.
    fn dissolve_groups(
        &mut self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        orders: &mut Vec<Order>,
    ) -> BTreeSet<id::Host> {
        let mut occupied = BTreeSet::new();
        let exists = |name: &str| groups.iter().any(|it| it.name == name);
        self.maybe_opening.retain(|name| exists(name));
        self.dissolving.retain(|name, _| exists(name));
        for group in groups {
            if self.forming.contains_key(group.name) {
                continue;
            }
            let members = group.members.values().map(|it| it.id.clone());
            match self.evaluate_group(snapshot, group) {
                evaluate::GroupAction::Keep => occupied.extend(members),
                evaluate::GroupAction::Release => {}
                evaluate::GroupAction::Dissolve(action) => {
                    occupied.extend(members);
                    let head = group.members[&0].id.clone();
                    self.dissolving.insert(group.name.to_owned(), head.clone());
                    orders.push(Order { host: head, action });
                }
                evaluate::GroupAction::Disband => {
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

    /// Returns the epoch of the next formation, which combines the fencing token and a counter.
    fn next_epoch(&mut self) -> id::Epoch {
        self.epoch_counter += 1;
        self.token * EPOCHS_PER_TOKEN + self.epoch_counter
    }
}

/// Returns the formation that a host is in.
fn current_formation(host: &Host) -> Option<Formation> {
    let membership = host.membership.as_ref()?;
    Some(Formation { group: membership.group.clone(), epoch: membership.epoch })
}

fn join_order(group: &str, forming: &FormingGroup, host: id::Host) -> Order {
    let action = Action::Join {
        group: group.to_owned(),
        epoch: forming.epoch,
        model: forming.model.clone(),
        members: forming.members.clone(),
    };
    Order { host, action }
}
