//! Hosts and engines for tests.

use std::time::Duration;

use cuminward_serving::{
    engine, host,
    host::{Host, Membership, Phase},
};

/// Model whose replicas have four hosts.
pub(crate) const LARGE: &str = "large";

/// Model whose replicas have two hosts.
pub(crate) const SMALL: &str = "small";

/// An engine with a large and a small model that share the hosts evenly.
pub(crate) fn engine() -> engine::Engine {
    let model = |name: &str, size| engine::Model {
        name: name.to_owned(),
        size,
        share: 0.5,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1600),
    };
    engine::Engine {
        slots: 17,
        models: vec![model(LARGE, 4), model(SMALL, 2)],
        loads_per_second: 5.0,
        loads_at_once: 7,
        open_time: Duration::from_millis(300),
    }
}

/// A host of an engine without weights.
pub(crate) fn host(id: &str, fabric: &str) -> Host {
    Host {
        id: id.to_owned(),
        service: String::from("chat"),
        address: String::from("10.0.0.1:80"),
        domain: fabric.split('-').next().unwrap_or(fabric).to_owned(),
        slots: 17,
        state: host::State::Ready,
        cold_left: Duration::ZERO,
        started_ms: 1,
        seq: 0,
        fabric: Some(fabric.to_owned()),
        staged: Vec::new(),
        model: None,
        is_busy: false,
        membership: None,
        slowdown: 1.0,
    }
}

/// A host that is in a group.
pub(crate) fn member(id: &str, group: &str, rank: usize, phase: Phase, model: &str) -> Host {
    let membership = Membership { group: group.to_owned(), epoch: 1, rank, phase };
    Host {
        membership: Some(membership),
        model: Some(model.to_owned()),
        staged: vec![model.to_owned()],
        ..host(id, "a-0")
    }
}
