//! Bounds on loads from the weight store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{engine, id};

/// Time over which the rate of loads is bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// Loads under way and lately begun.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    begun: VecDeque<Duration>,
    running: BTreeMap<id::Host, Load>,
}

/// A load under way.
#[derive(Debug, Clone)]
struct Load {
    model: id::Model,
    /// When it is taken for failed.
    until: Duration,
}

/// Times a load's usual time after which it is taken for failed.
const PATIENCE: u32 = 3;

/// Access
impl Loads {
    /// Loads that may begin now. Before the first request of any caller there is no bound.
    pub fn available(&self, engine: &engine::Engine, has_traffic: bool) -> usize {
        if !has_traffic {
            return usize::MAX;
        }
        let rate = bound(engine.loads_per_second.floor() as usize).saturating_sub(self.begun.len());
        let at_once = bound(engine.loads_at_once as usize).saturating_sub(self.running.len());
        rate.min(at_once)
    }

    /// The model that a host is loading.
    pub fn model(&self, host: &str) -> Option<&str> {
        self.running.get(host).map(|it| it.model.as_str())
    }
}

/// Mutation
impl Loads {
    /// Notes that a load begins.
    pub fn begin(&mut self, now: Duration, host: id::Host, model: &engine::Model) {
        self.begun.push_back(now);
        let until = now + model.load_time * PATIENCE + WINDOW;
        self.running.insert(host, Load { model: model.name.clone(), until });
    }

    /// Notes that a host no longer loads.
    pub fn end(&mut self, host: &str) {
        self.running.remove(host);
    }

    /// Forgets loads that ended or took too long; `is_done` tells whether a host has a model.
    pub fn expire(&mut self, now: Duration, is_done: impl Fn(&str, &str) -> bool) {
        self.begun.retain(|it| now.saturating_sub(*it) < WINDOW);
        self.running.retain(|host, it| it.until > now && !is_done(host, &it.model));
    }
}

/// A bound of 0 is none.
fn bound(declared: usize) -> usize {
    if declared == 0 { usize::MAX } else { declared }
}
