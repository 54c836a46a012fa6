//! Declaration of the model engine of a service.

use std::time::Duration;

use crate::id;

/// A model engine: the capacity of its replicas, its models and the limits on loading weights.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that one replica runs concurrently.
    pub slots: u32,
    /// Models, in the order of the declaration.
    pub models: Vec<Model>,
    /// Maximum number of weight loads that start per second, over all hosts; 0 if there is no
    /// limit.
    pub loads_per_second: f64,
    /// Number of weight loads that run concurrently without slowing each other down; 0 if there is
    /// no limit.
    pub loads_at_once: u32,
    /// Time from the order to open until the head of a replica accepts requests.
    pub open_time: Duration,
}

/// A model that replicas of an engine can run.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub name: id::Model,
    /// Number of hosts in a replica.
    pub size: usize,
    /// Share of the hosts that the model needs initially, between 0 and 1.
    pub share: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join a group with weights that are already staged on the host.
    pub warm_time: Duration,
}

/// Access
impl Engine {
    /// Returns the model with a name, if the engine has it.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| it.name == name)
    }

    /// Returns the part of the hosts that a model gets by the declared shares of all models, between 0 and 1.
    pub fn declared_part(&self, model: &Model) -> f64 {
        let sum: f64 = self.models.iter().map(|it| it.share).sum();
        model.share / sum.max(f64::MIN_POSITIVE)
    }
}
