//! Control interface of a fleet: injects faults and reads counters.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Query, State},
    routing,
};
use cuminward_core::id;
use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

use super::{counter, fleet};
use crate::reply;

/// Fault to inject, or the end of one: the body of `POST /control` at the control address.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Stops a host: closes its port and its connections and breaks its group.
    Kill {
        /// Name of the host.
        host: id::Host,
    },
    /// Restarts a host with a new incarnation and without a group; stops a running host first.
    Restart {
        /// Name of the host.
        host: id::Host,
    },
    /// Stops all hosts of a fabric domain.
    KillFabric {
        /// Name of the fabric domain.
        fabric: id::Fabric,
    },
    /// Restarts all hosts of a fabric domain.
    RestartFabric {
        /// Name of the fabric domain.
        fabric: id::Fabric,
    },
    /// Pauses a host: accepts connections but sends no answer, and its replica produces no token.
    Pause {
        /// Name of the host.
        host: id::Host,
    },
    /// Ends the pause of a host.
    Resume {
        /// Name of the host.
        host: id::Host,
    },
    /// Silences the open connections of a host: they stay open without data; new connections work.
    Silence {
        /// Name of the host.
        host: id::Host,
    },
    /// Slows a host and the replica that it belongs to.
    Slow {
        /// Name of the host.
        host: id::Host,
        /// Factor by which times grow; 1 is normal.
        factor: f64,
    },
    /// Delays the effect of orders to a host.
    DelayOrders {
        /// Name of the host.
        host: id::Host,
        /// The delay.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// Applies the next orders to a host but closes the connection without an answer.
    LoseOrderAnswers {
        /// Name of the host.
        host: id::Host,
        /// Number of orders.
        count: u32,
    },
    /// Sets whether a host refuses orders with old fencing numbers.
    Fencing {
        /// Name of the host.
        host: id::Host,
        /// Whether the host refuses these orders.
        enforced: bool,
    },
    /// Sets how many ready groups a failure domain should have, for `group_down_seconds`.
    Expect {
        /// Name of the failure domain.
        domain: id::Domain,
        /// Number of groups.
        groups: u32,
    },
}

/// Current behaviour of one host, which faults change.
#[derive(Debug, Clone)]
pub(super) struct Behaviour {
    pub(super) fencing: bool,
    pub(super) paused: bool,
    pub(super) slowdown: f64,
    pub(super) order_delay: Duration,
    /// Number of further orders whose answer is lost.
    pub(super) lose_order_answers: u32,
}

#[derive(serde::Deserialize)]
struct BegunQuery {
    domain: id::Domain,
    since_ms: u64,
}

/// Returns the routes of the control interface.
pub(super) fn router(fleet: Arc<fleet::Shared>) -> Router {
    Router::new()
        .route("/control", routing::post(inject_fault))
        .route("/control/counters", routing::get(get_counters))
        .route("/control/begun", routing::get(count_begun))
        .with_state(fleet)
}

async fn inject_fault(State(fleet): State<Arc<fleet::Shared>>, Json(fault): Json<Fault>) {
    fleet.inject(&fault).await;
}

async fn get_counters(State(fleet): State<Arc<fleet::Shared>>) -> Json<counter::Counters> {
    Json(fleet.lock().stats.counters.clone())
}

/// Returns the number of requests begun in a failure domain since a wall time in milliseconds.
async fn count_begun(
    State(fleet): State<Arc<fleet::Shared>>,
    Query(query): Query<BegunQuery>,
) -> Json<u64> {
    let age = Duration::from_millis(reply::wall_ms().saturating_sub(query.since_ms));
    let instant = Instant::now().checked_sub(age).unwrap_or(fleet.started);
    Json(fleet.lock().stats.begun_in_domain.count_since(&query.domain, instant))
}
