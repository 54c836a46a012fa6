//! Shows where a request would go now, and why, without sending it.

use cuminward_derive::record;
use cuminward_serving::{catalog, id, select::Health};

use super::{
    choice::{self, Options},
    exchange,
};
use crate::state::{
    State,
    admission::{Criteria, Hosts, Target},
    routing::{Snapshot, Upstream},
};

/// A request that isn't sent.
#[record]
pub(crate) struct Question {
    /// Host name that the caller would use.
    pub(crate) host: String,
    /// Path.
    pub(crate) path: String,
    /// Model, if the request would name one.
    #[serde(default)]
    pub(crate) model: Option<id::Model>,
}

/// An upstream of a service that may get the request.
#[record]
pub(crate) struct Row {
    pub(crate) route: String,
    pub(crate) service: id::Service,
    /// Probability that the request goes to this service, by the weights of the route.
    pub(crate) service_chance: f64,
    pub(crate) upstream: String,
    pub(crate) domain: id::Domain,
    /// Requests in flight from all nodes, as this node knows.
    pub(crate) load: u32,
    /// Requests in flight from this node.
    pub(crate) own: u32,
    pub(crate) slots: u32,
    pub(crate) health: String,
    pub(crate) slowdown: f64,
    /// Probability that a request to the service goes to this upstream.
    pub(crate) chance: f64,
    /// Why the upstream can't take the request; empty if it can.
    pub(crate) obstacle: String,
}

/// Why there are no upstreams to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The node has no configuration yet.
    NoCatalog,
    /// No route matches.
    NoRoute,
}

/// Returns the upstreams of a request's route, with the probability of each.
///
/// # Errors
///
/// Fails if no route matches, or the node has no configuration.
pub(crate) fn preview(state: &State, question: &Question) -> Result<Vec<Row>, Error> {
    let snapshot = state.routing.load();
    let catalog = snapshot.catalog.as_ref().ok_or(Error::NoCatalog)?;
    let route = catalog.route(&question.host, &question.path).ok_or(Error::NoRoute)?;
    let weights: f64 = route.targets.iter().map(|it| it.weight).sum();
    let rows = route.targets.iter().flat_map(|it| {
        let service_chance = if weights > 0.0 { it.weight / weights } else { 0.0 };
        rows(state, &snapshot, route, &it.service, question, service_chance)
    });
    Ok(rows.collect())
}

/// Returns the upstreams of one service of a route.
fn rows(
    state: &State,
    snapshot: &Snapshot,
    route: &catalog::Route,
    service: &id::Service,
    question: &Question,
    service_chance: f64,
) -> Vec<Row> {
    let now = state.now();
    let target = Target { service: service.clone(), model: question.model.clone() };
    let all = snapshot.upstreams(&target.service, target.model.as_deref());
    let criteria = Criteria {
        target,
        hosts: Hosts::Except(Vec::new()),
        max_idle: exchange::max_idle(route.retry),
    };
    let options = Options::find(state, snapshot, &criteria, now);
    let chances = options.probabilities();
    let chance = |upstream: &Upstream| {
        let index = options.upstreams.iter().position(|it| it.key == upstream.key);
        index.map_or(0.0, |it| chances[it])
    };
    let obstacle = |upstream: &Upstream| match choice::obstacle(
        state,
        upstream,
        &criteria,
        options.outlook,
        now,
    ) {
        Some(it) => it.name(),
        None if !options.has_room => {
            "all slots of the service look used, and this node has its part"
        }
        None => "",
    };
    let row = |it: &Upstream| Row {
        route: route.name.clone(),
        service: service.clone(),
        service_chance,
        upstream: it.name.clone(),
        domain: it.domain.clone(),
        load: it.stats.load(),
        own: it.stats.in_flight(),
        slots: it.slots,
        health: health_name(choice::assess_health(it, now)).to_owned(),
        slowdown: it.slowdown,
        chance: chance(it),
        obstacle: obstacle(it).to_owned(),
    };
    all.iter().map(|it| row(it)).collect()
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Healthy => "healthy",
        Health::Slow => "slow",
        Health::Suspect => "suspect",
    }
}
