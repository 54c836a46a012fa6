//! Faults of a fleet.

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

/// A change of behaviour, as a body of `POST /control` at the fleet's control address.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// A host dies: its port closes, its connections break, its group breaks.
    Kill {
        /// Name of the host.
        host: id::Host,
    },
    /// A dead host starts again, with a new incarnation and no group; a live one dies first.
    Restart {
        /// Name of the host.
        host: id::Host,
    },
    /// All hosts of a fabric domain die.
    KillFabric {
        /// Name of the fabric domain.
        fabric: id::Fabric,
    },
    /// All dead hosts of a fabric domain start again.
    RestartFabric {
        /// Name of the fabric domain.
        fabric: id::Fabric,
    },
    /// A host accepts connections but answers nothing, and its replica produces nothing.
    Pause {
        /// Name of the host.
        host: id::Host,
    },
    /// Ends a pause.
    Resume {
        /// Name of the host.
        host: id::Host,
    },
    /// The connections open to a host never carry another byte; new ones work.
    Silence {
        /// Name of the host.
        host: id::Host,
    },
    /// A host becomes slower than normal, and its replica with it.
    Slow {
        /// Name of the host.
        host: id::Host,
        /// How many times slower; 1 is normal.
        factor: f64,
    },
    /// Orders to a host take effect after a delay.
    DelayOrders {
        /// Name of the host.
        host: id::Host,
        /// The delay.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// The next orders to a host take effect, but the connection closes without an answer.
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
        /// Whether it refuses them.
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

/// Settable behaviour of one host.
#[derive(Debug, Clone)]
pub(super) struct Traits {
    pub(super) enforcing: bool,
    pub(super) paused: bool,
    pub(super) slowdown: f64,
    pub(super) order_delay: Duration,
    pub(super) lose_order_answers: u32,
}

#[derive(serde::Deserialize)]
struct Since {
    domain: id::Domain,
    since_ms: u64,
}

/// Routes of the control interface.
pub(super) fn router(fleet: Arc<fleet::Shared>) -> Router {
    Router::new()
        .route("/control", routing::post(control))
        .route("/control/counters", routing::get(counters))
        .route("/control/begun", routing::get(begun))
        .with_state(fleet)
}

async fn control(State(fleet): State<Arc<fleet::Shared>>, Json(fault): Json<Fault>) {
    fleet.inject(&fault).await;
}

async fn counters(State(fleet): State<Arc<fleet::Shared>>) -> Json<counter::Counters> {
    Json(fleet.lock().book.counters.clone())
}

/// Requests begun in a failure domain since a wall time in milliseconds.
async fn begun(State(fleet): State<Arc<fleet::Shared>>, Query(since): Query<Since>) -> Json<u64> {
    let age = Duration::from_millis(reply::wall_ms().saturating_sub(since.since_ms));
    let instant = Instant::now().checked_sub(age).unwrap_or(fleet.started);
    Json(fleet.lock().book.begun.since(&since.domain, instant))
}
