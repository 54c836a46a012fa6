//! Which hosts form new groups, and which load weights ahead.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Forming, JOIN_TIMEOUT, ModelStatus, Snapshot, Steward,
    allot::{self, Allotment, Fabric},
    formation, join,
    order::{Action, Order},
};
use crate::{engine, host::Host, id, replica};

/// Time for which a host stays free before it gives up its model for another one.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// Hosts that can be used, by fabric domain.
type Free<'a> = BTreeMap<&'a str, Vec<&'a Host>>;

/// Mutation
impl Steward {
    /// Forms groups where models have too few, then lets spare hosts load weights.
    pub(super) fn plan(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        occupied: &BTreeSet<id::Host>,
        orders: &mut Vec<Order>,
    ) {
        let mut free = self.free(now, snapshot, occupied);
        self.note_idle(now, &free);
        let allotments = allot::run(snapshot.engine, self.fabrics(now, snapshot));
        self.model_statuses = self.levels_of(snapshot, groups, &allotments, &free);
        for allotment in &allotments {
            let Some(hosts) = free.get_mut(allotment.fabric.as_str()) else { continue };
            let has = self.count(snapshot, groups, allotment.model, Some(&allotment.fabric));
            for _ in has..allotment.groups {
                let Some(chosen) = self.choose(hosts, allotment.model) else { break };
                if chosen.iter().all(|it| self.can_join(it, &allotment.model.name)) {
                    orders.extend(self.form(now, allotment.model, &chosen));
                } else {
                    self.load_missing(now, snapshot, allotment.model, &chosen, orders);
                }
            }
        }
        self.form_idle(now, snapshot, &mut free, orders);
        self.stage_spares(now, snapshot, &allotments, &free, orders);
    }

    /// Notes since when hosts have been free.
    fn note_idle(&mut self, now: Duration, free: &Free<'_>) {
        let ids: BTreeSet<&id::Host> = free.values().flatten().map(|it| &it.id).collect();
        self.idle.retain(|host, _| ids.contains(host));
        for id in ids {
            self.idle.entry(id.clone()).or_insert(now);
        }
    }

    /// Forms groups of hosts that are left over and have a model, the largest first, whatever their
    /// fabric domain is meant to serve.
    fn form_idle(
        &mut self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        free: &mut Free<'_>,
        orders: &mut Vec<Order>,
    ) {
        let mut models: Vec<&engine::Model> = snapshot.engine.models.iter().collect();
        models.sort_by_key(|it| std::cmp::Reverse(it.size));
        for hosts in free.values_mut() {
            for model in &models {
                while let Some(chosen) = self.choose_staged(hosts, model) {
                    orders.extend(self.form(now, model, &chosen));
                }
            }
        }
    }

    /// Takes hosts for a new group that all have its model.
    fn choose_staged<'a>(
        &self,
        free: &mut Vec<&'a Host>,
        model: &engine::Model,
    ) -> Option<Vec<&'a Host>> {
        let can_join = |it: &&&Host| self.can_join(it, &model.name);
        if model.size == 0 || free.iter().filter(can_join).count() < model.size {
            return None;
        }
        self.choose(free, model)
    }

    /// Hosts that are in no group and can be used.
    fn free<'a>(
        &self,
        now: Duration,
        snapshot: &Snapshot<'a>,
        occupied: &BTreeSet<id::Host>,
    ) -> Free<'a> {
        let forming: BTreeSet<&id::Host> =
            self.forming.values().flat_map(|it| &it.members).collect();
        let mut free = Free::new();
        for host in snapshot.hosts.values() {
            let is_free = self.is_fit(now, snapshot, host)
                && !occupied.contains(&host.id)
                && !forming.contains(&host.id)
                && !self.pending.contains(&host.id);
            if let Some(fabric) = host.fabric.as_deref().filter(|_| is_free) {
                free.entry(fabric).or_default().push(host);
            }
        }
        free
    }

    /// The fabric domains with the hosts that can be used.
    fn fabrics(&self, now: Duration, snapshot: &Snapshot<'_>) -> Vec<Fabric> {
        let mut fabrics: BTreeMap<&str, Fabric> = BTreeMap::new();
        for host in snapshot.hosts.values().filter(|it| self.is_fit(now, snapshot, it)) {
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

    /// Groups that a model has or is about to have, in one fabric domain or in all.
    fn count(
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

    fn levels_of(
        &self,
        snapshot: &Snapshot<'_>,
        groups: &[replica::Group<'_>],
        allotments: &[Allotment<'_>],
        free: &Free<'_>,
    ) -> Vec<ModelStatus> {
        let level = |model: &engine::Model| {
            let name = model.name.as_str();
            let forming = self.forming.values().filter(|it| it.model == name).count();
            let staged = free.iter().map(|(fabric, hosts)| {
                let count = hosts.iter().filter(|it| it.has_staged(name)).count();
                ((*fabric).to_owned(), count)
            });
            let allotted = allotments.iter().filter(|it| it.model.name == name);
            ModelStatus {
                model: model.name.clone(),
                open: self.count(snapshot, groups, model, None).saturating_sub(forming),
                forming,
                target: allotted.map(|it| it.groups).sum(),
                free_by_fabric: staged.filter(|(_, count)| *count > 0).collect(),
            }
        };
        snapshot.engine.models.iter().map(level).collect()
    }

    /// Takes the hosts for a new group of a model, those that can join soonest.
    fn choose<'a>(&self, free: &mut Vec<&'a Host>, model: &engine::Model) -> Option<Vec<&'a Host>> {
        if free.len() < model.size {
            return None;
        }
        free.sort_by_key(|it| (self.readiness(it, &model.name), it.id.clone()));
        Some(free.drain(..model.size).collect())
    }

    /// Tells whether a host has a model and isn't giving it up for another one.
    fn can_join(&self, host: &Host, model: &str) -> bool {
        host.has_staged(model) && self.loads.model(&host.id).is_none_or(|it| it == model)
    }

    /// Order in which hosts are taken for a model: the sooner they can join, the earlier.
    fn readiness(&self, host: &Host, model: &str) -> u8 {
        match self.loads.model(&host.id) {
            Some(loading) if loading == model => 2,
            Some(_) => 5,
            None if host.has_staged(model) && host.model.as_deref() == Some(model) => 0,
            None if host.has_staged(model) => 1,
            None if host.staged.is_empty() => 3,
            None => 4,
        }
    }

    fn form(&mut self, now: Duration, model: &engine::Model, hosts: &[&Host]) -> Vec<Order> {
        let epoch = self.next_epoch();
        let group = format!("{}-{epoch}", self.service);
        let forming = Forming {
            epoch,
            model: model.name.clone(),
            members: hosts.iter().map(|it| it.id.clone()).collect(),
            before: hosts.iter().map(|it| formation(it)).collect(),
            deadline: now + JOIN_TIMEOUT + model.warm_time,
            is_opening: false,
        };
        let orders = forming.members.iter().map(|it| join(&group, &forming, it.clone())).collect();
        self.forming.insert(group, forming);
        orders
    }

    /// Lets the hosts of a future group load its model, as far as the bounds on loads allow.
    fn load_missing(
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
            let available = self.loads.available(snapshot.engine, snapshot.has_traffic);
            if planned < available && self.may_give(&order) {
                planned += 1;
                orders.push(order);
            }
        }
    }

    /// Tells whether a host has been free for so long that it may give up the model that it has.
    fn is_idle(&self, now: Duration, host: &str) -> bool {
        self.idle.get(host).is_some_and(|since| now.saturating_sub(*since) >= IDLE_FOR)
    }

    /// Lets hosts that are left over load the first model of their fabric domain.
    fn stage_spares(
        &self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        allotments: &[Allotment<'_>],
        free: &Free<'_>,
        orders: &mut Vec<Order>,
    ) {
        for (fabric, hosts) in free {
            let Some(first) = allotments.iter().find(|it| it.fabric == *fabric) else { continue };
            self.load_missing(now, snapshot, first.model, hosts, orders);
        }
    }
}
