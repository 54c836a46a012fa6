//! Formation of new groups, and loading of weights in advance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    FormingGroup, JOIN_TIMEOUT, ModelStatus, Snapshot, Steward,
    assign::{self, Assignment, Fabric},
    current_formation,
    demand::Division,
    join_order,
    order::{Action, Order},
};
use crate::{
    engine,
    host::{Host, Phase},
    id, replica,
};

/// Time for which a host must be free before it may replace its staged model by another one.
const MIN_IDLE_TIME: Duration = Duration::from_secs(5);

/// Hosts that can be used for new groups, by fabric domain.
type FreeHosts<'a> = BTreeMap<&'a str, Vec<&'a Host>>;

/// Mutation
impl Steward {
    /// Forms groups of models that have too few, then orders spare hosts to load weights.
    pub(super) fn plan(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        occupied: &BTreeSet<id::Host>,
        orders: &mut Vec<Order>,
    ) {
        let mut free = self.find_free_hosts(now, snapshot, occupied);
        self.update_idle_since(now, &free);
        let fabrics = self.collect_fabrics(now, snapshot);
        let assignments = match snapshot.division {
            Division::Declared => assign::assign_models(snapshot.engine, fabrics),
            Division::Kept => {
                let shares = assign::present_shares(snapshot.engine, &fabrics);
                assign::reassign_models(snapshot.engine, &shares, fabrics)
            }
            Division::Followed(shares) => assign::reassign_models(snapshot.engine, shares, fabrics),
        };
        self.model_statuses = self.collect_model_statuses(snapshot, groups, &assignments, &free);
        for assignment in &assignments {
            let Some(hosts) = free.get_mut(assignment.fabric.as_str()) else { continue };
            let existing =
                self.count_groups(snapshot, groups, assignment.model, Some(&assignment.fabric));
            for _ in existing..assignment.groups {
                let Some(chosen) = self.take_hosts(hosts, assignment.model) else { break };
                if chosen.iter().all(|it| self.can_join(it, &assignment.model.name)) {
                    orders.extend(self.start_formation(now, assignment.model, &chosen));
                } else {
                    self.stage_missing(now, snapshot, assignment.model, &chosen, orders);
                }
            }
        }
        self.form_from_leftovers(now, snapshot, &mut free, orders);
        self.stage_spares(now, snapshot, &assignments, &free, orders);
        self.replaceable.clear();
        if matches!(snapshot.division, Division::Followed(_)) {
            self.move_surplus(snapshot, groups, &assignments, orders);
        }
    }

    /// Prepares the groups that a fabric domain has beyond its assignments for the model that it needs: their hosts load it
    /// while they serve. Those whose hosts have all loaded it are closed with the next decisions, one in each fabric
    /// domain at a time, and their hosts join groups of the other model within its warm time.
    fn move_surplus(
        &mut self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        assignments: &[Assignment<'_>],
        orders: &mut Vec<Order>,
    ) {
        let is_stage = |it: &&Order| matches!(it.action, Action::Stage { .. });
        let planned = orders.iter().filter(is_stage).count();
        // The rest is left for hosts that replace lost ones.
        let available = self.available_loads(snapshot);
        let mut available = (available - available / 4).saturating_sub(planned);
        let mut assigned: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut first: BTreeMap<&str, &engine::Model> = BTreeMap::new();
        for it in assignments {
            *assigned.entry((&it.fabric, &it.model.name)).or_default() += it.groups;
            first.entry(&it.fabric).or_insert(it.model);
        }
        let mut closing: BTreeSet<&str> = BTreeSet::new();
        for group in groups {
            let (Some(model), Some(head)) = (group.declared_model(snapshot.engine), group.head())
            else {
                continue;
            };
            let Some(fabric) = head.fabric.as_deref() else { continue };
            let Some(next) = first.get(fabric).filter(|it| it.name != model.name) else { continue };
            if !group.is_open(model.size)
                || !group.is_staying()
                || self.forming.contains_key(group.name)
            {
                continue;
            }
            let here = self.count_groups(snapshot, groups, model, Some(fabric));
            if here <= assigned.get(&(fabric, model.name.as_str())).copied().unwrap_or(0) {
                continue;
            }
            if group.members.values().all(|it| self.can_join(it, &next.name)) {
                if closing.insert(fabric) {
                    self.replaceable.insert(group.name.to_owned());
                }
                continue;
            }
            for host in group.members.values() {
                let is_loading = self.loads.model(&host.id).is_some();
                if host.has_staged(&next.name) || host.is_busy || is_loading || available == 0 {
                    continue;
                }
                let action = Action::Stage { model: next.name.clone() };
                let order = Order { host: host.id.clone(), action };
                if self.can_send(&order) {
                    available -= 1;
                    orders.push(order);
                }
            }
        }
    }

    /// Updates the time since when each host has been free.
    fn update_idle_since(&mut self, now: Duration, free: &FreeHosts<'_>) {
        let ids: BTreeSet<&id::Host> = free.values().flatten().map(|it| &it.id).collect();
        self.idle_since.retain(|host, _| ids.contains(host));
        for id in ids {
            self.idle_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Forms groups of the remaining hosts that have a model staged, whatever model is assigned to
    /// their fabric domain. Models with larger groups come first.
    fn form_from_leftovers(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        free: &mut FreeHosts<'_>,
        orders: &mut Vec<Order>,
    ) {
        let mut models: Vec<&engine::Model> = snapshot.engine.models.iter().collect();
        models.sort_by_key(|it| std::cmp::Reverse(it.size));
        for hosts in free.values_mut() {
            for model in &models {
                while let Some(chosen) = self.take_staged_hosts(hosts, model) {
                    orders.extend(self.start_formation(now, model, &chosen));
                }
            }
        }
    }

    /// Takes hosts for a new group that all have its model staged. Returns `None` if there are too
    /// few.
    fn take_staged_hosts<'a>(
        &self,
        free: &mut Vec<&'a Host>,
        model: &engine::Model,
    ) -> Option<Vec<&'a Host>> {
        let can_join = |it: &&&Host| self.can_join(it, &model.name);
        if model.size == 0 || free.iter().filter(can_join).count() < model.size {
            return None;
        }
        self.take_hosts(free, model)
    }

    /// Returns the hosts that can be used for new groups, by fabric domain.
    fn find_free_hosts<'a>(
        &self,
        now: Duration,
        snapshot: &Snapshot<'a>,
        occupied: &BTreeSet<id::Host>,
    ) -> FreeHosts<'a> {
        let forming: BTreeSet<&id::Host> =
            self.forming.values().flat_map(|it| &it.members).collect();
        let mut free = FreeHosts::new();
        for host in snapshot.hosts.values() {
            let is_free = self.is_eligible(now, snapshot, host)
                && !occupied.contains(&host.id)
                && !forming.contains(&host.id)
                && !self.awaiting_outcome.contains(&host.id);
            if let Some(fabric) = host.fabric.as_deref().filter(|_| is_free) {
                free.entry(fabric).or_default().push(host);
            }
        }
        free
    }

    /// Returns the fabric domains with the number of hosts that can be used.
    fn collect_fabrics(&self, now: Duration, snapshot: &Snapshot<'_>) -> Vec<Fabric> {
        let mut fabrics: BTreeMap<&str, Fabric> = BTreeMap::new();
        for host in snapshot.hosts.values().filter(|it| self.is_eligible(now, snapshot, it)) {
            let Some(name) = host.fabric.as_deref() else { continue };
            let fabric = fabrics.entry(name).or_insert_with(|| Fabric {
                name: name.to_owned(),
                domain: host.domain.clone(),
                hosts: 0,
                staged: BTreeMap::new(),
            });
            fabric.hosts += 1;
            let loading = self.loads.model(&host.id).map(str::to_owned);
            for model in loading.as_ref().map_or(host.staged.as_slice(), std::slice::from_ref) {
                *fabric.staged.entry(model.clone()).or_default() += 1;
            }
        }
        fabrics.into_values().collect()
    }

    /// Returns the number of groups that a model has or is about to have, in one fabric domain or
    /// in all.
    fn count_groups(
        &self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        model: &engine::Model,
        fabric: Option<&str>,
    ) -> usize {
        let is_here = |host: Option<&Host>| {
            fabric.is_none_or(|it| host.is_some_and(|host| host.fabric.as_deref() == Some(it)))
        };
        let open = groups.iter().filter(|it| {
            it.model() == Some(&model.name)
                && it.is_open(model.size)
                && it.is_staying()
                && is_here(it.head())
                && !it.members.values().any(|it| snapshot.lost.contains(&it.id))
                && !self.forming.contains_key(it.name)
        });
        let forming = self
            .forming
            .values()
            .filter(|it| it.model == model.name && is_here(snapshot.hosts.get(&it.members[0])));
        open.count() + forming.count()
    }

    fn collect_model_statuses(
        &self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        assignments: &[Assignment<'_>],
        free: &FreeHosts<'_>,
    ) -> Vec<ModelStatus> {
        let status = |model: &engine::Model| {
            let name = model.name.as_str();
            let forming = self.forming.values().filter(|it| it.model == name).count();
            let staged = free.iter().map(|(fabric, hosts)| {
                let count = hosts.iter().filter(|it| it.has_staged(name)).count();
                ((*fabric).to_owned(), count)
            });
            let assigned = assignments.iter().filter(|it| it.model.name == name);
            ModelStatus {
                model: model.name.clone(),
                open: self.count_groups(snapshot, groups, model, None).saturating_sub(forming),
                forming,
                target: assigned.map(|it| it.groups).sum(),
                free_by_fabric: staged.filter(|(_, count)| *count > 0).collect(),
            }
        };
        snapshot.engine.models.iter().map(status).collect()
    }

    /// Takes the hosts for a new group of a model, choosing those that can join soonest. Returns
    /// `None` if there are too few.
    fn take_hosts<'a>(
        &self,
        free: &mut Vec<&'a Host>,
        model: &engine::Model,
    ) -> Option<Vec<&'a Host>> {
        if free.len() < model.size {
            return None;
        }
        free.sort_by_key(|it| (self.join_cost(it, &model.name), it.id.clone()));
        Some(free.drain(..model.size).collect())
    }

    /// Returns whether a host has a model staged and isn't replacing it by another one.
    fn can_join(&self, host: &Host, model: &str) -> bool {
        host.has_staged(model) && self.loads.model(&host.id).is_none_or(|it| it == model)
    }

    /// Returns the sort key of a host that could run a model: the lower, the sooner the host can
    /// join.
    fn join_cost(&self, host: &Host, model: &str) -> u8 {
        match self.loads.model(&host.id) {
            Some(loading) if loading == model => 2,
            Some(_) => 5,
            None if host.has_staged(model) && host.model.as_deref() == Some(model) => 0,
            None if host.has_staged(model) => 1,
            None if host.staged.is_empty() => 3,
            None => 4,
        }
    }

    /// Starts a formation of these hosts and returns the orders to join.
    fn start_formation(
        &mut self,
        now: Duration,
        model: &engine::Model,
        hosts: &[&Host],
    ) -> Vec<Order> {
        let epoch = self.next_epoch();
        let group = format!("{}-{epoch}", self.service);
        let forming = FormingGroup {
            epoch,
            model: model.name.clone(),
            members: hosts.iter().map(|it| it.id.clone()).collect(),
            previous: hosts.iter().map(|it| current_formation(it)).collect(),
            deadline: now + JOIN_TIMEOUT + model.warm_time,
            is_opening: false,
        };
        let orders =
            forming.members.iter().map(|it| join_order(&group, &forming, it.clone())).collect();
        self.forming.insert(group, forming);
        orders
    }

    /// Orders the hosts of a future group to load its model, within the limits on loads.
    fn stage_missing(
        &self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        model: &engine::Model,
        hosts: &[&Host],
        orders: &mut Vec<Order>,
    ) {
        let is_stage = |it: &&Order| matches!(it.action, Action::Stage { .. });
        let mut planned = orders.iter().filter(is_stage).count();
        for host in hosts {
            let is_loading = self.loads.model(&host.id).is_some();
            if host.has_staged(&model.name) || host.is_busy || is_loading {
                continue;
            }
            if !host.staged.is_empty() && !self.is_idle(now, &host.id) {
                continue;
            }
            let action = Action::Stage { model: model.name.clone() };
            let order = Order { host: host.id.clone(), action };
            let available = self.available_loads(snapshot);
            if planned < available && self.can_send(&order) {
                planned += 1;
                orders.push(order);
            }
        }
    }

    /// Returns the number of loads that may start now. Hosts that carry out an order of a former steward may be loading.
    fn available_loads(&self, snapshot: &Snapshot<'_>) -> usize {
        let is_joining =
            |it: &Host| it.membership.as_ref().is_some_and(|it| it.phase == Phase::Joining);
        let is_unknown_load =
            |it: &&Host| it.is_busy && !is_joining(it) && self.loads.model(&it.id).is_none();
        let unknown = snapshot.hosts.values().filter(is_unknown_load).count();
        self.loads.available(snapshot.engine, snapshot.has_traffic).saturating_sub(unknown)
    }

    /// Returns whether a host has been free for long enough to replace its staged model by another
    /// one.
    fn is_idle(&self, now: Duration, host: &str) -> bool {
        self.idle_since.get(host).is_some_and(|since| now.saturating_sub(*since) >= MIN_IDLE_TIME)
    }

    /// Orders the remaining hosts to load the first model that is assigned to their fabric domain.
    fn stage_spares(
        &self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        assignments: &[Assignment<'_>],
        free: &FreeHosts<'_>,
        orders: &mut Vec<Order>,
    ) {
        for (fabric, hosts) in free {
            let Some(first) = assignments.iter().find(|it| it.fabric == *fabric) else { continue };
            self.stage_missing(now, snapshot, first.model, hosts, orders);
        }
    }
}
