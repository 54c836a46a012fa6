//! Metrics in the text format of Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{request::dispatch, state};

/// Counter of events, by node and event.
const EVENTS: &str = "cuminward_events_total";

/// Gauge of requests that wait for a slot.
const WAITING: &str = "cuminward_requests_waiting";

/// Gauge of routable replicas.
const REPLICAS: &str = "cuminward_replicas_routable";

/// Gauge of the configuration revision in force.
const REVISION: &str = "cuminward_config_revision";

/// Renders all metrics of a node in the text format of Prometheus.
pub fn render(state: &state::State) -> String {
    let handle = handle();
    let node = state.settings.node.clone();
    for it in state.events.counts().filter(|it| 0 < it.count) {
        let labels = [("node", node.clone()), ("event", it.entry.name.to_owned())];
        metrics::counter!(EVENTS, &labels).absolute(it.count);
    }
    let labels = [("node", node)];
    metrics::gauge!(WAITING, &labels).set(f64::from(dispatch::count_waiting(state)));
    metrics::gauge!(REPLICAS, &labels).set(state.replicas.load().routable.len() as f64);
    metrics::gauge!(REVISION, &labels).set(*state.revision.borrow() as f64);
    handle.render()
}

/// Returns the handle of the process's recorder, which is installed at the first call.
fn handle() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("the metrics recorder was not installed: the process has another one");
        }
        handle
    })
}
