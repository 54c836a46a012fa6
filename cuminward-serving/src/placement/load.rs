//! Limits on loading weights from the weight store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{engine, id};

/// Time window over which the rate of loads is limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Loads in progress and recently started, with which new loads are limited.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    /// When the loads within the last rate window were started.
    started: VecDeque<Duration>,
    /// Loads in progress, by host.
    running: BTreeMap<id::Host, Load>,
}

/// A load in progress.
#[derive(Debug, Clone)]
struct Load {
    model: id::Model,
    /// Time at which the load is considered failed.
    deadline: Duration,
}

/// Multiple of the usual load time of a model after which a load is considered failed.
const TIMEOUT_FACTOR: u32 = 3;

/// Access
impl Limiter {
    /// Returns the number of loads that may start now. There is no limit before the first request
    /// of any caller.
    pub fn available(&self, engine: &engine::Engine, has_traffic: bool) -> usize {
        if !has_traffic {
            return usize::MAX;
        }
        let rate = limit_or_max(engine.loads_per_second.floor() as usize)
            .saturating_sub(self.started.len());
        let at_once =
            limit_or_max(engine.loads_at_once as usize).saturating_sub(self.running.len());
        rate.min(at_once)
    }

    /// Returns the model that a host is loading.
    pub fn model(&self, host: &str) -> Option<&str> {
        self.running.get(host).map(|it| it.model.as_str())
    }
}

/// Mutation
impl Limiter {
    /// Records that a host starts to load a model.
    pub fn record_start(&mut self, now: Duration, host: id::Host, model: &engine::Model) {
        self.started.push_back(now);
        let deadline = now + model.load_time * TIMEOUT_FACTOR + RATE_WINDOW;
        self.running.insert(host, Load { model: model.name.clone(), deadline });
    }

    /// Records that a host no longer loads a model.
    pub fn record_end(&mut self, host: &str) {
        self.running.remove(host);
    }

    /// Removes the loads that ended or took too long; `is_done` returns whether a host has a model.
    pub fn expire(&mut self, now: Duration, is_done: impl Fn(&str, &str) -> bool) {
        self.started.retain(|it| now.saturating_sub(*it) < RATE_WINDOW);
        self.running.retain(|host, it| it.deadline > now && !is_done(host, &it.model));
    }
}

/// Returns a declared limit, or the maximum if it is 0, which means that there is no limit.
fn limit_or_max(declared: usize) -> usize {
    if declared == 0 { usize::MAX } else { declared }
}
