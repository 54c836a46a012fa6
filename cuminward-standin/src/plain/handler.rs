//! HTTP interface of one host of the plain service.

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

/// State of the handlers of one host: the service and the name of the host.
#[derive(Clone)]
struct Context {
    shared: Arc<Shared>,
    host: id::Host,
}

#[record]
struct Reservation {
    item: String,
    quantity: u64,
}

/// Running request, which ends when dropped.
struct Run {
    context: Context,
    failing: CancellationToken,
    /// Whether the answer is to be lost.
    lost: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.context.shared.update(&self.context.host, |it| it.in_flight -= 1);
    }
}

/// Returns the routes of one host.
pub(super) fn router(shared: Arc<Shared>, host: id::Host) -> Router {
    Router::new()
        .route("/v1/host", routing::get(get_report))
        .route("/reservations", routing::post(reserve))
        .route("/stock/{item}", routing::get(get_stock))
        .with_state(Context { shared, host })
}

async fn get_report(State(context): State<Context>) -> Json<Value> {
    let incarnation = context.shared.lock().instances[&context.host].incarnation;
    Json(json!({"host": context.host, "incarnation": incarnation}))
}

async fn reserve(
    State(context): State<Context>,
    Extension(connection): Extension<server::Connection>,
    headers: HeaderMap,
    Json(reservation): Json<Reservation>,
) -> Response {
    let run = match begin(&context) {
        Ok(run) => run,
        Err(refusal) => return *refusal,
    };
    let number = context.reserve(&headers, &reservation);
    let body = json!({
        "reservation": number,
        "item": reservation.item,
        "quantity": reservation.quantity,
    });
    run.finish(&connection, (StatusCode::CREATED, Json(body)).into_response()).await
}

async fn get_stock(
    State(context): State<Context>,
    Extension(connection): Extension<server::Connection>,
    Path(item): Path<String>,
) -> Response {
    let run = match begin(&context) {
        Ok(run) => run,
        Err(refusal) => return *refusal,
    };
    let reserved = context.shared.lock().reserved.get(&item).copied().unwrap_or_default();
    let free = context.shared.options.stock.saturating_sub(reserved);
    let answer = if context.take_empty_answer() {
        StatusCode::OK.into_response()
    } else {
        Json(json!({"item": item, "free": free})).into_response()
    };
    run.finish(&connection, answer).await
}

/// Starts a request, or refuses it without running anything.
fn begin(context: &Context) -> Result<Run, Box<Response>> {
    let mut inner = context.shared.lock();
    let inner = &mut *inner;
    let instance = inner.instances.get_mut(&context.host).expect("hosts are never removed");
    if instance.not_run > 0 {
        instance.not_run -= 1;
        inner.counters.not_run += 1;
        let mut refusal = reply::error(503, "unavailable", "nothing ran");
        let header = http::HeaderValue::from_static("true");
        refusal.headers_mut().insert("cuminward-not-run", header);
        return Err(Box::new(refusal));
    }
    instance.in_flight += 1;
    let limit = context.shared.options.ramp().limit_at(instance.started.elapsed());
    let cold = limit < context.shared.options.slots;
    if cold && instance.in_flight > inner.counters.cold_most_in_flight {
        inner.counters.cold_most_in_flight = instance.in_flight;
        inner.counters.cold_bound_then = limit;
    }
    let failing = instance.failing.clone();
    if instance.in_flight > limit {
        inner.counters.cold_overruns += 1;
        instance.failing.cancel();
        instance.failing = CancellationToken::new();
    }
    let lost = instance.lose_answers > 0;
    instance.lose_answers = instance.lose_answers.saturating_sub(1);
    let domain = instance.entry.domain.clone();
    inner.begun_in_domain.record(&domain);
    inner.begun_at_host.record(&context.host);
    *inner.counters.begun_by_domain.entry(domain).or_default() += 1;
    *inner.counters.begun_by_host.entry(context.host.clone()).or_default() += 1;
    Ok(Run { context: context.clone(), failing, lost })
}

impl Context {
    /// Returns whether this answer is to be empty, and uses up one of the empty answers.
    fn take_empty_answer(&self) -> bool {
        let mut inner = self.shared.lock();
        let instance = inner.instances.get_mut(&self.host).expect("hosts are never removed");
        let is_due = instance.empty_answers > 0;
        instance.empty_answers = instance.empty_answers.saturating_sub(1);
        is_due
    }

    /// Reserves the quantity and counts the reservation. Returns the number of the reservation.
    fn reserve(&self, headers: &HeaderMap, reservation: &Reservation) -> u64 {
        let header = |name: &str| {
            let value = headers.get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let request = header("cuminward-request");
        let key = Some(header("idempotency-key")).filter(|it| !it.is_empty());
        let mut inner = self.shared.lock();
        *inner.reserved.entry(reservation.item.clone()).or_default() += reservation.quantity;
        let counters = &mut inner.counters;
        *counters.runs_by_key.entry(key.unwrap_or(request.clone())).or_default() += 1;
        *counters.runs_by_request.entry(request).or_default() += 1;
        counters.reservations += 1;
        counters.reservations
    }
}

impl Run {
    /// Waits for the service time and returns the answer. Closes the connection instead when the
    /// request fails or the answer is to be lost.
    async fn finish(self, connection: &server::Connection, answer: Response) -> Response {
        let shared = &self.context.shared;
        let delay = shared.lock().instances[&self.context.host].delay;
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
