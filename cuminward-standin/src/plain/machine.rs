//! The HTTP interface of one host of the order desk.

use std::sync::Arc;

use axum::{
    Extension, Json, Router,
    extract::{Path, State},
    response::{IntoResponse, Response},
    routing,
};
use cuminward_core::id;
use cuminward_derive::record;
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use super::Shared;
use crate::{reply, server};

#[derive(Clone)]
struct Node {
    shared: Arc<Shared>,
    host: id::Host,
}

#[record]
struct Reservation {
    item: String,
    quantity: u64,
}

/// A request that runs; dropping it ends it.
struct Run {
    node: Node,
    failing: CancellationToken,
    lost: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.node.shared.set(&self.node.host, |it| it.in_flight -= 1);
    }
}

/// Routes of one host.
pub(super) fn router(shared: Arc<Shared>, host: id::Host) -> Router {
    Router::new()
        .route("/v1/host", routing::get(report))
        .route("/reservations", routing::post(reserve))
        .route("/stock/{item}", routing::get(stock))
        .with_state(Node { shared, host })
}

async fn report(State(node): State<Node>) -> Json<Value> {
    let incarnation = node.shared.lock().hosts[&node.host].incarnation;
    Json(json!({"host": node.host, "incarnation": incarnation}))
}

async fn reserve(
    State(node): State<Node>,
    Extension(connection): Extension<server::Connection>,
    headers: HeaderMap,
    Json(reservation): Json<Reservation>,
) -> Response {
    let run = match begin(&node) {
        Ok(run) => run,
        Err(refusal) => return *refusal,
    };
    let number = node.reserve(&headers, &reservation);
    let body = json!({
        "reservation": number,
        "item": reservation.item,
        "quantity": reservation.quantity,
    });
    run.finish(&connection, (StatusCode::CREATED, Json(body)).into_response()).await
}

async fn stock(
    State(node): State<Node>,
    Extension(connection): Extension<server::Connection>,
    Path(item): Path<String>,
) -> Response {
    let run = match begin(&node) {
        Ok(run) => run,
        Err(refusal) => return *refusal,
    };
    let taken = node.shared.lock().taken.get(&item).copied().unwrap_or_default();
    let free = node.shared.options.stock.saturating_sub(taken);
    let answer = if node.takes_empty() {
        StatusCode::OK.into_response()
    } else {
        Json(json!({"item": item, "free": free})).into_response()
    };
    run.finish(&connection, answer).await
}

/// Starts a request, or refuses it with nothing run.
fn begin(node: &Node) -> Result<Run, Box<Response>> {
    let mut inner = node.shared.lock();
    let inner = &mut *inner;
    let machine = inner.hosts.get_mut(&node.host).expect("hosts are never removed");
    if machine.not_run > 0 {
        machine.not_run -= 1;
        inner.counters.not_run += 1;
        let mut refusal = reply::error(503, "unavailable", "nothing ran");
        let header = http::HeaderValue::from_static("true");
        refusal.headers_mut().insert("cuminward-not-run", header);
        return Err(Box::new(refusal));
    }
    machine.in_flight += 1;
    let bound = node.shared.options.ramp().bound(machine.started.elapsed());
    let cold = bound < node.shared.options.slots;
    if cold && machine.in_flight > inner.counters.cold_most_in_flight {
        inner.counters.cold_most_in_flight = machine.in_flight;
        inner.counters.cold_bound_then = bound;
    }
    let failing = machine.failing.clone();
    if machine.in_flight > bound {
        inner.counters.cold_overruns += 1;
        machine.failing.cancel();
        machine.failing = CancellationToken::new();
    }
    let lost = machine.lose_answers > 0;
    machine.lose_answers = machine.lose_answers.saturating_sub(1);
    let domain = machine.entry.domain.clone();
    inner.begun.add(&domain);
    inner.begun_at.add(&node.host);
    *inner.counters.begun_by_domain.entry(domain).or_default() += 1;
    *inner.counters.begun_by_host.entry(node.host.clone()).or_default() += 1;
    Ok(Run { node: node.clone(), failing, lost })
}

impl Node {
    /// Takes one of the empty answers that are due.
    fn takes_empty(&self) -> bool {
        let mut inner = self.shared.lock();
        let machine = inner.hosts.get_mut(&self.host).expect("hosts are never removed");
        let is_due = machine.empty_answers > 0;
        machine.empty_answers = machine.empty_answers.saturating_sub(1);
        is_due
    }

    /// Reserves and counts the run; returns the reservation's number.
    fn reserve(&self, headers: &HeaderMap, reservation: &Reservation) -> u64 {
        let header = |name: &str| {
            let value = headers.get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let request = header("cuminward-request");
        let key = Some(header("idempotency-key")).filter(|it| !it.is_empty());
        let mut inner = self.shared.lock();
        *inner.taken.entry(reservation.item.clone()).or_default() += reservation.quantity;
        let counters = &mut inner.counters;
        *counters.runs_by_key.entry(key.unwrap_or(request.clone())).or_default() += 1;
        *counters.runs_by_request.entry(request).or_default() += 1;
        counters.reservations += 1;
        counters.reservations
    }
}

impl Run {
    /// Takes the service time, then answers, or closes the connection where the answer is lost.
    async fn finish(self, connection: &server::Connection, answer: Response) -> Response {
        let shared = &self.node.shared;
        let delay = shared.lock().hosts[&self.node.host].delay;
        let failed = tokio::select! {
            biased;
            () = self.failing.cancelled() => true,
            () = tokio::time::sleep(shared.options.service_time + delay) => false,
        };
        if failed || self.lost {
            shared.lock().counters.lost_answers += u64::from(self.lost);
            return connection.abandon().await;
        }
        shared.lock().counters.completed += 1;
        answer
    }
}
