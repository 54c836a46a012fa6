//! Which hosts form new groups, and which load weights ahead.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Forming, JOIN_TIMEOUT, Steward, Survey, join,
    order::{Action, Order},
};
use crate::{engine, host::Host, id, replica};

/// Hosts that can be used, by fabric domain.
type Free<'a> = BTreeMap<&'a str, Vec<&'a Host>>;

/// A group that could be formed.
struct Choice<'a> {
    fabric: &'a str,
    hosts: Vec<&'a Host>,
    /// Hosts that have yet to load the model.
    loads: usize,
}

/// Mutation
impl Steward {
    /// Forms groups where models have too few, then lets spare hosts load weights.
    pub(super) fn plan(
        &mut self,
        now: Duration,
        survey: &Survey<'_>,
        groups: &[replica::Group<'_>],
        occupied: &BTreeSet<id::Host>,
        orders: &mut Vec<Order>,
    ) {
        let mut free = self.free(now, survey, occupied);
        let targets = self.targets(now, survey);
        let mut counts = self.counts(survey, groups);
        let mut exhausted: BTreeSet<&str> = BTreeSet::new();
        while let Some(model) = neediest(survey.engine, &targets, &counts, &exhausted) {
            let Some(choice) = self.choose(&free, model) else {
                exhausted.insert(&model.name);
                continue;
            };
            take(&mut free, &choice);
            *counts.entry(&model.name).or_default() += 1;
            if choice.loads == 0 {
                orders.extend(self.form(now, model, &choice.hosts));
            } else {
                self.load_missing(now, survey, model, &choice.hosts, orders);
            }
        }
        self.stage_spares(now, survey, groups, &free, orders);
    }

    /// Hosts that are in no group and can be used.
    fn free<'a>(
        &self,
        now: Duration,
        survey: &Survey<'a>,
        occupied: &BTreeSet<id::Host>,
    ) -> Free<'a> {
        let forming: BTreeSet<&id::Host> =
            self.forming.values().flat_map(|it| &it.members).collect();
        let mut free = Free::new();
        for host in survey.hosts.values() {
            let is_free = self.is_fit(now, survey, host)
                && !occupied.contains(&host.id)
                && !forming.contains(&host.id)
                && !self.pending.contains_key(&host.id);
            if let Some(fabric) = host.fabric.as_deref().filter(|_| is_free) {
                free.entry(fabric).or_default().push(host);
            }
        }
        free
    }

    /// Groups that each model should have.
    fn targets<'e>(&self, now: Duration, survey: &Survey<'e>) -> BTreeMap<&'e str, f64> {
        let fit = survey.hosts.values().filter(|it| self.is_fit(now, survey, it)).count();
        let used = fit as f64 * f64::from(1000 - self.options.spare_permille) / 1000.0;
        let shares: f64 = survey.engine.models.iter().map(|it| it.share).sum();
        let target = |it: &'e engine::Model| {
            let hosts = used * it.share / shares.max(f64::MIN_POSITIVE);
            (it.name.as_str(), hosts / it.size.max(1) as f64)
        };
        survey.engine.models.iter().map(target).collect()
    }

    /// Groups that each model has or is about to have.
    fn counts<'e>(
        &self,
        survey: &Survey<'e>,
        groups: &[replica::Group<'_>],
    ) -> BTreeMap<&'e str, usize> {
        let mut counts = BTreeMap::new();
        for model in &survey.engine.models {
            let open = groups.iter().filter(|it| {
                it.model() == Some(&model.name)
                    && it.is_open(model.size)
                    && it.is_staying()
                    && !it.members.values().any(|it| survey.lost.contains(&it.id))
                    && !self.forming.contains_key(it.name)
            });
            let forming = self.forming.values().filter(|it| it.model == model.name);
            counts.insert(model.name.as_str(), open.count() + forming.count());
        }
        counts
    }

    /// The hosts for a new group of a model that need the fewest loads.
    fn choose<'a>(&self, free: &Free<'a>, model: &engine::Model) -> Option<Choice<'a>> {
        let choices = free.iter().filter(|(_, hosts)| hosts.len() >= model.size);
        let choices = choices.map(|(fabric, hosts)| {
            let mut hosts = hosts.clone();
            hosts.sort_by_key(|it| (self.readiness(it, &model.name), it.id.clone()));
            hosts.truncate(model.size);
            let loads = hosts.iter().filter(|it| !it.has_staged(&model.name)).count();
            Choice { fabric, hosts, loads }
        });
        choices.min_by_key(|it| (it.loads, std::cmp::Reverse(free[it.fabric].len())))
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
            deadline: now + JOIN_TIMEOUT + model.warm_time,
            is_opening: false,
        };
        let orders = forming.members.iter().map(|it| join(&group, &forming, it.clone())).collect();
        self.forming.insert(group, forming);
        orders
    }

    /// Lets the hosts of a future group load its model, as far as the bounds on loads allow.
    fn load_missing(
        &mut self,
        now: Duration,
        survey: &Survey<'_>,
        model: &engine::Model,
        hosts: &[&Host],
        orders: &mut Vec<Order>,
    ) {
        for host in hosts {
            if host.has_staged(&model.name) || host.is_busy {
                continue;
            }
            if self.loads.model(&host.id).is_none() && self.may_load(survey) {
                orders.push(self.stage(now, host, model));
            }
        }
    }

    /// Lets hosts that are left over load the model that will most probably need them.
    fn stage_spares(
        &mut self,
        now: Duration,
        survey: &Survey<'_>,
        groups: &[replica::Group<'_>],
        free: &Free<'_>,
        orders: &mut Vec<Order>,
    ) {
        for (fabric, hosts) in free {
            let empty = hosts.iter().filter(|it| it.staged.is_empty() && !it.is_busy);
            for host in empty {
                if self.loads.model(&host.id).is_some() || !self.may_load(survey) {
                    continue;
                }
                if let Some(model) = self.spare_model(survey, groups, fabric, hosts) {
                    orders.push(self.stage(now, host, model));
                }
            }
        }
    }

    /// The model whose groups in a fabric domain have the fewest spares for the hosts they use.
    fn spare_model<'e>(
        &self,
        survey: &Survey<'e>,
        groups: &[replica::Group<'_>],
        fabric: &str,
        free: &[&Host],
    ) -> Option<&'e engine::Model> {
        let need = |model: &engine::Model| {
            let used = groups.iter().filter(|it| {
                it.model() == Some(&model.name)
                    && it.head().is_some_and(|it| it.fabric.as_deref() == Some(fabric))
            });
            let hosts = used.count() * model.size;
            let is_spare = |it: &&&Host| {
                it.has_staged(&model.name) || self.loads.model(&it.id) == Some(&model.name)
            };
            let spares = free.iter().filter(is_spare).count();
            hosts as f64 / (spares + 1) as f64
        };
        survey.engine.models.iter().max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    fn may_load(&self, survey: &Survey<'_>) -> bool {
        self.loads.available(survey.engine, survey.has_traffic) > 0
    }

    fn stage(&mut self, now: Duration, host: &Host, model: &engine::Model) -> Order {
        self.loads.begin(now, host.id.clone(), model);
        Order { host: host.id.clone(), action: Action::Stage { model: model.name.clone() } }
    }
}

/// The model that lacks the largest part of its groups.
fn neediest<'e>(
    engine: &'e engine::Engine,
    targets: &BTreeMap<&str, f64>,
    counts: &BTreeMap<&str, usize>,
    exhausted: &BTreeSet<&str>,
) -> Option<&'e engine::Model> {
    let filled = |it: &engine::Model| {
        let count = counts.get(it.name.as_str()).copied().unwrap_or(0);
        (count + 1) as f64 / targets.get(it.name.as_str()).copied().unwrap_or(0.0).max(0.01)
    };
    let open = engine.models.iter().filter(|it| !exhausted.contains(it.name.as_str()));
    let lacking = open.filter(|it| filled(it) <= 1.0);
    lacking.min_by(|a, b| filled(a).total_cmp(&filled(b)))
}

fn take(free: &mut Free<'_>, choice: &Choice<'_>) {
    if let Some(hosts) = free.get_mut(choice.fabric) {
        hosts.retain(|it| !choice.hosts.iter().any(|chosen| chosen.id == it.id));
    }
}
