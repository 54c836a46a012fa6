//! Metrics in the text format of Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::{request::dispatch, state};

/// Name of the counter of events.
const EVENTS: &str = "cuminward_events_total";

/// Name of the gauge of waiting requests.
const WAITING: &str = "cuminward_requests_waiting";

/// Name of the gauge of routable replicas.
const REPLICAS: &str = "cuminward_replicas_routable";

/// Name of the gauge of the revision in force.
const REVISION: &str = "cuminward_config_revision";

/// Renders all metrics of a node.
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

/// The process's recorder; it is installed at the first use.
fn handle() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another recorder of metrics is installed");
        }
        handle
    })
}
