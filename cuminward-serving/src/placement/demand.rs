//! Shares of the hosts that the models need, by the load of their replicas.
//!
//! Answers a load that doesn't fit the declared shares: the replicas of one model are full most of the time, so that its
//! requests are late, while those of another one are nearly idle. The declared shares hold until the loads have differed
//! for a while.

use std::{collections::BTreeMap, time::Duration};

use crate::{engine, id};

/// Load of the replicas of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests in flight at the replicas, from all nodes, and those that wait for one at this node.
    pub requests: usize,
    /// Number of replicas that serve.
    pub replicas: usize,
}

/// Shares of the hosts, between 0 and 1, by model.
pub type Shares = BTreeMap<id::Model, f64>;

/// Time constant of the mean load. It is longer than short bursts, for which loads of weights would come too late, and
/// about a part of a wave of demand.
const MEAN_TIME: Duration = Duration::from_secs(4);

/// Time over which loads are observed before the shares change.
const MIN_OBSERVATION: Duration = Duration::from_millis(1500);

/// Used part of the slots of the most loaded model from which the shares change.
const MIN_USE: f64 = 0.3;

/// Ratio of the used parts of the most and the least loaded model from which the shares change.
const MIN_RATIO: f64 = 4.0;

/// Change of a share from which hosts are moved.
const MIN_CHANGE: f64 = 0.08;

/// Used part of its slots that a model has at most with the hosts that it keeps, beside the replicas that it may lose: large
/// ones are lost often and take long to form.
const MAX_USE: f64 = 0.3;
const SPARE_REPLICAS: f64 = 2.0;

/// Part of its declared share that each model keeps at least.
const MIN_PART: f64 = 0.4;

/// What the hosts are divided by among the models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Division<'a> {
    /// The declared shares.
    Declared,
    /// The present shares, as the loads haven't been observed for long enough: a former steward may have moved hosts.
    Kept,
    /// Shares by demand.
    Followed(&'a Shares),
}

/// Mean load of the models of a service, and the shares that follow from it.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    /// Mean number of requests, by model.
    means: BTreeMap<id::Model, f64>,
    /// When the first and the last load was recorded.
    since: Option<(Duration, Duration)>,
    shares: Option<Shares>,
}

/// Access
impl Tracker {
    /// Returns the shares that replace the declared ones; `None` while the declared ones hold.
    pub fn shares(&self) -> Option<&Shares> {
        self.shares.as_ref()
    }

    /// Returns what the hosts are divided by at `now`.
    pub fn division(&self, now: Duration) -> Division<'_> {
        match (&self.shares, self.since) {
            (Some(shares), _) => Division::Followed(shares),
            (None, Some((first, _))) if now < first + MIN_OBSERVATION => Division::Kept,
            (None, _) => Division::Declared,
        }
    }

    /// Returns the mean number of requests of a model.
    pub fn mean(&self, model: &str) -> f64 {
        self.means.get(model).copied().unwrap_or_default()
    }

    /// Returns the used part of the slots of a model's replicas; `None` if it has none.
    fn usage(&self, engine: &engine::Engine, model: &str, usage: &Usage) -> Option<f64> {
        let slots = usage.replicas as f64 * f64::from(engine.slots);
        (slots > 0.0).then(|| self.mean(model) / slots)
    }

    /// Returns whether the loads of the models differ so much that hosts are to be moved.
    fn is_unbalanced(&self, engine: &engine::Engine, usages: &BTreeMap<id::Model, Usage>) -> bool {
        let used = usages.iter().filter_map(|(model, it)| self.usage(engine, model, it));
        let used: Vec<f64> = used.collect();
        let most = used.iter().copied().fold(0.0, f64::max);
        let least = used.iter().copied().fold(f64::INFINITY, f64::min);
        used.len() > 1 && most >= MIN_USE && most >= least * MIN_RATIO
    }

    /// Returns the shares with which the replicas of all models would have the same load, as far as those that give hosts
    /// away keep what they need.
    fn balanced_shares(
        &self,
        engine: &engine::Engine,
        usages: &BTreeMap<id::Model, Usage>,
    ) -> Shares {
        let replicas = |it: &engine::Model| usages.get(&it.name).map_or(0, |it| it.replicas);
        let hosts: usize = engine.models.iter().map(|it| replicas(it) * it.size).sum();
        let weight = |it: &engine::Model| self.mean(&it.name) * it.size as f64;
        let total: f64 = engine.models.iter().map(weight).sum();
        let declared = |it: &engine::Model| engine.declared_part(it);
        let balanced = |it: &engine::Model| weight(it) / total.max(f64::MIN_POSITIVE);
        let kept = |it: &engine::Model| {
            let used = self.mean(&it.name) / (MAX_USE * f64::from(engine.slots.max(1)));
            let needed = (used + SPARE_REPLICAS) * it.size as f64 / hosts.max(1) as f64;
            balanced(it).max(needed.min(declared(it))).max(MIN_PART * declared(it))
        };
        let gives = |it: &&engine::Model| balanced(it) < declared(it);
        let given: f64 = engine.models.iter().filter(gives).map(kept).sum();
        let receivers = engine.models.iter().filter(|it| !gives(it));
        let received: f64 = receivers.map(balanced).sum();
        let share = |it: &engine::Model| {
            if gives(&it) { kept(it) } else { balanced(it) / received * (1.0 - given) }
        };
        engine.models.iter().map(|it| (it.name.clone(), share(it))).collect()
    }
}

/// Mutation
impl Tracker {
    /// Records the loads of the models at `now` and decides on the shares. Returns whether they changed.
    pub fn record(
        &mut self,
        now: Duration,
        engine: &engine::Engine,
        usages: &BTreeMap<id::Model, Usage>,
    ) -> bool {
        let (first, last) = self.since.unwrap_or((now, now));
        self.since = Some((first, now));
        let weight = if first == now { 1.0 } else { weight_after(now.saturating_sub(last)) };
        for (model, usage) in usages {
            let mean = self.means.entry(model.clone()).or_default();
            *mean += (usage.requests as f64 - *mean) * weight;
        }
        if now.saturating_sub(first) < MIN_OBSERVATION || !self.is_unbalanced(engine, usages) {
            return false;
        }
        let shares = self.balanced_shares(engine, usages);
        let current = |it: &engine::Model| match &self.shares {
            Some(shares) => shares.get(&it.name).copied().unwrap_or_default(),
            None => engine.declared_part(it),
        };
        let change = engine.models.iter().map(|it| (shares[&it.name] - current(it)).abs());
        let is_changed = change.fold(0.0, f64::max) >= MIN_CHANGE;
        if is_changed {
            self.shares = Some(shares);
        }
        is_changed
    }
}

/// Returns the weight of a new value in a mean that was last updated `elapsed` ago.
fn weight_after(elapsed: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp()
}
