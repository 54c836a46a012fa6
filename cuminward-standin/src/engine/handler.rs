//! HTTP interface of one engine host.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, Query, State},
    response::{AppendHeaders, IntoResponse, Response},
    routing,
};
use bytes::Bytes;
use cuminward_core::{cache::Batch, host, id};
use http::{HeaderMap, StatusCode, header};

use super::{cache, control, fleet, generate, order, replica};
use crate::reply;

/// Limit on the size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// State of the handlers of one host: the fleet and the name of the host.
#[derive(Debug, Clone)]
pub(super) struct Context {
    pub(super) fleet: Arc<fleet::Shared>,
    pub(super) host: id::Host,
}

#[derive(serde::Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

/// Access
impl Context {
    pub(super) fn behaviour(&self) -> control::Behaviour {
        self.fleet.lock().engines[&self.host].behaviour.clone()
    }

    pub(super) fn incarnation(&self) -> id::Incarnation {
        self.fleet.lock().engines[&self.host].incarnation
    }

    pub(super) fn replica(&self) -> Option<Arc<replica::Replica>> {
        self.fleet.lock().engines[&self.host].replica.clone()
    }
}

/// Returns the routes of one host.
pub(super) fn router(fleet: Arc<fleet::Shared>, host: id::Host) -> Router {
    Router::new()
        .route("/v1/host", routing::get(get_report))
        .route("/v1/orders", routing::post(order::handle))
        .route("/v1/generate", routing::post(generate::begin))
        .route("/v1/generate/{request}", routing::delete(generate::cancel))
        .route("/v1/cache-events", routing::get(get_events))
        .route("/v1/kv/{prefix}", routing::get(export_blocks).put(import_blocks))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Context { fleet, host })
}

/// Returns the report, or 304 with the load in a header when the entity tag of the caller matches.
async fn get_report(State(context): State<Context>, headers: HeaderMap) -> Response {
    let report = context.fleet.lock().engines[&context.host].report();
    let tag = entity_tag(&report);
    if headers.get(header::IF_NONE_MATCH).is_some_and(|it| it.as_bytes() == tag.as_bytes()) {
        let load = report.load.iter().map(|it| {
            let text = [it.running, it.queued, it.cache_permille, it.age.as_millis() as u32]
                .map(|it| it.to_string())
                .join(" ");
            ("cuminward-load", text)
        });
        let headers = AppendHeaders(load.collect::<Vec<_>>());
        return (StatusCode::NOT_MODIFIED, headers).into_response();
    }
    ([(header::ETAG, tag)], Json(report)).into_response()
}

/// Returns the entity tag of a report, which doesn't depend on the load.
fn entity_tag(report: &host::Report) -> String {
    let formation = report.membership.as_ref().map(|it| (it.generation, it.phase as u8));
    let (generation, phase) = formation.unwrap_or_default();
    let member = u8::from(formation.is_some());
    format!("\"{:x}.{:x}.{member}{phase}.{generation:x}\"", report.incarnation, report.fence)
}

async fn get_events(
    State(context): State<Context>,
    Query(query): Query<EventsQuery>,
) -> Json<Batch> {
    let lag = context.fleet.options.event_lag;
    let none = Batch { next: query.from, gap: false, events: Vec::new() };
    let events =
        context.replica().map(|it| it.with_cache(|cache| cache.events_since(query.from, lag)));
    Json(events.unwrap_or(none))
}

async fn export_blocks(State(context): State<Context>, Path(prefix): Path<String>) -> Response {
    let prefix = u64::from_str_radix(&prefix, 16).ok();
    let chain = prefix.and_then(|prefix| context.replica()?.with_cache(|it| it.export(prefix)));
    match chain {
        Some(chain) => {
            chain.iter().flat_map(|it| it.to_be_bytes()).collect::<Vec<u8>>().into_response()
        }
        None => reply::error(404, "unknown-prefix", "the prefix isn't cached here"),
    }
}

async fn import_blocks(
    State(context): State<Context>,
    Path(prefix): Path<String>,
    body: Bytes,
) -> Response {
    let chain: Vec<cache::Prefix> = body
        .chunks_exact(size_of::<cache::Prefix>())
        .map(|it| u64::from_be_bytes(it.try_into().expect("the chunks have the exact size")))
        .collect();
    if chain.last().copied() != u64::from_str_radix(&prefix, 16).ok() || chain.is_empty() {
        return reply::error(400, "invalid-kv", "the body isn't an export of this prefix");
    }
    match context.replica() {
        Some(replica) => {
            replica.with_cache(|it| it.store(&chain));
            StatusCode::OK.into_response()
        }
        None => reply::error(409, "not-whole", "the host heads no ready replica"),
    }
}
