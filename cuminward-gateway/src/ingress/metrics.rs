//! Serves metrics in the Prometheus text format.

use std::{
    convert::Infallible,
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use cuminward_upstream::discard;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpStream;

use crate::{
    forward::preview::{self, Question},
    state::State,
};

/// Events by kind.
const EVENTS: &str = "cuminward_gateway_events_total";

/// Requests of callers in flight.
const IN_FLIGHT: &str = "cuminward_gateway_requests_in_flight";

/// Connections opened to upstreams.
const CONNECTIONS: &str = "cuminward_gateway_upstream_connections_total";

/// Connections to upstreams that weren't kept for further requests, by cause.
const DISCARDED: &str = "cuminward_gateway_upstream_connections_discarded_total";

/// Version of the catalog in force.
const VERSION: &str = "cuminward_gateway_catalog_version";

/// Whether the node has lost its own paths to hosts: 0 or 1.
const STRANDED: &str = "cuminward_gateway_stranded";

/// Newest era of the store that the node has seen.
const STORE_ERA: &str = "cuminward_gateway_store_era";

/// Other nodes that were heard lately, by their build.
const PEERS: &str = "cuminward_gateway_peers";

/// Datagrams of other nodes that couldn't be decoded.
const UNREADABLE: &str = "cuminward_gateway_unreadable_datagrams_total";

/// Hosts that name a limit on their requests.
const LIMITED_HOSTS: &str = "cuminward_gateway_limited_hosts";

/// Hosts that said that they are leaving.
const LEAVING_HOSTS: &str = "cuminward_gateway_leaving_hosts";

/// Hosts that want no requests from this node for a time.
const PAUSED_HOSTS: &str = "cuminward_gateway_paused_hosts";

/// Pauses that hosts asked for and whose value couldn't be read.
const UNREADABLE_PAUSES: &str = "cuminward_gateway_unreadable_pauses_total";

/// Connections of callers, bytes that requests take with their heads and bodies, and what was turned away for want of room.
const CALLER_CONNECTIONS: &str = "cuminward_gateway_caller_connections";
const BODY_BYTES: &str = "cuminward_gateway_request_body_bytes";
const BODIES_REFUSED: &str = "cuminward_gateway_request_bodies_refused_total";
const CONNECTIONS_EVICTED: &str = "cuminward_gateway_caller_connections_evicted_total";

/// Time between two reports of another node on its load, by which requests are spread; 0 if each round reaches all nodes.
const REPORT_PERIOD: &str = "cuminward_gateway_report_period_seconds";

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Recorder of the process, which all of its nodes share; `None` if it couldn't be installed.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The metrics page. With several nodes in one process, gauges are those of the node whose page was rendered last.
#[derive(Clone)]
pub(crate) struct Page {
    handle: Option<PrometheusHandle>,
}

/// Life cycle
impl Page {
    /// Installs the metrics recorder of the process, unless another node has done so.
    pub(crate) fn new() -> Page {
        Page { handle: RECORDER.get_or_init(Page::install).clone() }
    }

    fn install() -> Option<PrometheusHandle> {
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix(String::from("_seconds")), &BUCKETS);
        builder
            .map_err(|error| log::error!("the metrics exporter can't be configured: {error}"))
            .ok()
            .map(PrometheusBuilder::build_recorder)
            .and_then(|recorder| {
                let handle = recorder.handle();
                ::metrics::set_global_recorder(recorder).ok().map(|()| handle)
            })
    }
}

/// Access
impl Page {
    /// Returns the metrics as text, with the gauges and counters that are read from `state`.
    fn render(&self, state: &State) -> String {
        let Some(handle) = &self.handle else { return String::new() };
        for it in state.events.counts().filter(|it| it.count > 0) {
            ::metrics::counter!(EVENTS, "event" => it.entry.name).absolute(it.count);
        }
        let in_flight = state.requests_in_flight.load(std::sync::atomic::Ordering::Relaxed);
        ::metrics::gauge!(IN_FLIGHT).set(in_flight as f64);
        ::metrics::counter!(CONNECTIONS).absolute(state.upstreams.opened());
        for cause in discard::Cause::ALL {
            let count = state.upstreams.discards().count(cause);
            ::metrics::counter!(DISCARDED, "cause" => cause.to_string()).absolute(count);
        }
        let version = state.routing.load().catalog.as_ref().map_or(0, |it| it.version);
        ::metrics::gauge!(VERSION).set(version as f64);
        ::metrics::gauge!(STRANDED).set(f64::from(u8::from(state.paths.is_stranded())));
        ::metrics::gauge!(STORE_ERA).set(*state.store.era().borrow() as f64);
        for (build, count) in state.builds().iter() {
            ::metrics::gauge!(PEERS, "build" => build.clone()).set(*count as f64);
        }
        ::metrics::counter!(UNREADABLE).absolute(state.unreadable());
        ::metrics::gauge!(LIMITED_HOSTS).set(state.limited_hosts() as f64);
        ::metrics::gauge!(LEAVING_HOSTS).set(state.leaving_hosts() as f64);
        ::metrics::gauge!(PAUSED_HOSTS).set(state.paused_hosts() as f64);
        ::metrics::counter!(UNREADABLE_PAUSES).absolute(state.unreadable_pauses());
        ::metrics::gauge!(CALLER_CONNECTIONS).set(state.callers.connections() as f64);
        ::metrics::gauge!(BODY_BYTES).set(state.callers.used() as f64);
        let (refused, evicted) = state.callers.turned_away();
        ::metrics::counter!(BODIES_REFUSED).absolute(refused);
        ::metrics::counter!(CONNECTIONS_EVICTED).absolute(evicted);
        ::metrics::gauge!(REPORT_PERIOD).set(state.report_period().as_secs_f64());
        handle.run_upkeep();
        handle.render()
    }
}

/// Path to which a [`Question`] is sent, which is answered with the upstreams of its route.
const PREVIEW_PATH: &str = "/where";

/// Largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 16 << 10;

/// Serves a connection of a metrics scraper, or of an operator who asks where a request would go.
pub(crate) async fn serve(state: Arc<State>, page: Page, stream: TcpStream) {
    let handler = service::service_fn(async |request: Request<Incoming>| {
        let is_question = request.method() == Method::POST && request.uri().path() == PREVIEW_PATH;
        let (status, text) = if is_question {
            answer(&state, request.into_body()).await
        } else {
            (StatusCode::OK, page.render(&state))
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        Ok::<_, Infallible>(response)
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        log::debug!("serving a metrics connection failed: {error}");
    }
}

/// Returns the status and text of the response to a question.
async fn answer(state: &State, body: Incoming) -> (StatusCode, String) {
    let Ok(body) = Limited::new(body, MAX_QUESTION_BYTES).collect().await else {
        return (StatusCode::BAD_REQUEST, String::from("the question can't be read"));
    };
    let question: Question = match serde_json::from_slice(&body.to_bytes()) {
        Ok(it) => it,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()),
    };
    match preview::preview(state, &question) {
        Ok(rows) => (StatusCode::OK, serde_json::json!(rows).to_string()),
        Err(preview::Error::NoRoute) => (StatusCode::NOT_FOUND, String::from("no route matches")),
        Err(preview::Error::NoCatalog) => {
            (StatusCode::SERVICE_UNAVAILABLE, String::from("the node has no configuration yet"))
        }
    }
}
