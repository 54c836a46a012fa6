//! What a service says about its model engine.

use std::time::Duration;

use crate::id;

/// A model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Models, in the order of the declaration.
    pub models: Vec<Model>,
    /// Loads that may start a second, over all hosts; 0 if there is no bound.
    pub loads_per_second: f64,
    /// Loads that run at once without slowing each other down; 0 if there is no bound.
    pub loads_at_once: u32,
    /// Time that a replica needs to open.
    pub open_time: Duration,
}

/// A model of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub name: id::Model,
    /// Hosts of a replica.
    pub size: usize,
    /// Share of the hosts that the model needs at first, between 0 and 1.
    pub share: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join with weights that are staged on the host.
    pub warm_time: Duration,
}

/// Access
impl Engine {
    /// The model with a name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| it.name == name)
    }
}
