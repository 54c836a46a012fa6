//! The HTTP interface of one engine host.

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

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A host, as the handlers know it.
#[derive(Debug, Clone)]
pub(super) struct Node {
    pub(super) fleet: Arc<fleet::Shared>,
    pub(super) host: id::Host,
}

#[derive(serde::Deserialize)]
struct Since {
    #[serde(default)]
    from: u64,
}

/// Access
impl Node {
    pub(super) fn traits(&self) -> control::Traits {
        self.fleet.lock().machines[&self.host].traits.clone()
    }

    pub(super) fn incarnation(&self) -> id::Incarnation {
        self.fleet.lock().machines[&self.host].incarnation
    }

    pub(super) fn replica(&self) -> Option<Arc<replica::Replica>> {
        self.fleet.lock().machines[&self.host].replica.clone()
    }
}

/// Routes of one host.
pub(super) fn router(fleet: Arc<fleet::Shared>, host: id::Host) -> Router {
    Router::new()
        .route("/v1/host", routing::get(report))
        .route("/v1/orders", routing::post(order::take))
        .route("/v1/generate", routing::post(generate::begin))
        .route("/v1/generate/{request}", routing::delete(generate::cancel))
        .route("/v1/cache-events", routing::get(events))
        .route("/v1/kv/{prefix}", routing::get(export).put(import))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Node { fleet, host })
}

/// Answers with the report, or with the load alone where the caller knows the rest.
async fn report(State(node): State<Node>, headers: HeaderMap) -> Response {
    let report = node.fleet.lock().machines[&node.host].report();
    let tag = tag(&report);
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

/// Entity tag of a report; the load doesn't count.
fn tag(report: &host::Report) -> String {
    let formation = report.membership.as_ref().map(|it| (it.generation, it.phase as u8));
    let (generation, phase) = formation.unwrap_or_default();
    let member = u8::from(formation.is_some());
    format!("\"{:x}.{:x}.{member}{phase}.{generation:x}\"", report.incarnation, report.fence)
}

async fn events(State(node): State<Node>, Query(since): Query<Since>) -> Json<Batch> {
    let lag = node.fleet.options.event_lag;
    let none = Batch { next: since.from, gap: false, events: Vec::new() };
    let events = node.replica().map(|it| it.cache(|cache| cache.events_since(since.from, lag)));
    Json(events.unwrap_or(none))
}

async fn export(State(node): State<Node>, Path(prefix): Path<String>) -> Response {
    let prefix = u64::from_str_radix(&prefix, 16).ok();
    let chain = prefix.and_then(|prefix| node.replica()?.cache(|it| it.export(prefix)));
    match chain {
        Some(chain) => {
            chain.iter().flat_map(|it| it.to_be_bytes()).collect::<Vec<u8>>().into_response()
        }
        None => reply::error(404, "unknown-prefix", "the prefix isn't cached here"),
    }
}

async fn import(State(node): State<Node>, Path(prefix): Path<String>, body: Bytes) -> Response {
    let chain: Vec<cache::Prefix> = body
        .chunks_exact(size_of::<cache::Prefix>())
        .map(|it| u64::from_be_bytes(it.try_into().expect("the chunks have the exact size")))
        .collect();
    if chain.last().copied() != u64::from_str_radix(&prefix, 16).ok() || chain.is_empty() {
        return reply::error(400, "invalid-kv", "the body isn't an export of this prefix");
    }
    match node.replica() {
        Some(replica) => {
            replica.cache(|it| it.store(&chain));
            StatusCode::OK.into_response()
        }
        None => reply::error(409, "not-whole", "the host heads no ready replica"),
    }
}
