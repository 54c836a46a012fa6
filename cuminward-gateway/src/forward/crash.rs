//! Crashes of hosts, noticed when a connection breaks with a request on it.

use std::{sync::Arc, time::Duration};

use cuminward_event::kind::Kind;
use cuminward_serving::quarantine;
use cuminward_upstream::connector::Connector;
use tokio::{task::AbortHandle, time};

use super::context::Context;
use crate::state::{State, routing::Upstream};

/// Delay after a broken connection before the host is probed for a crash.
const PROBE_DELAY: Duration = Duration::from_millis(40);

/// Timeout of the probe, which opens a TCP connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How far an attempt had come when it was broken off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// When the request was sent, since the node's start.
    pub(crate) started: Duration,
    /// Number of events that had arrived.
    pub(crate) events: u64,
}

/// Probes the host of a broken connection in a task of its own, and records a crash if the host accepts no new
/// connection. Returns the handle with which the probe can be ended before.
pub(crate) fn detect(
    state: &Arc<State>,
    context: &Arc<Context>,
    upstream: &Arc<Upstream>,
    progress: Progress,
) -> AbortHandle {
    let (state, context) = (Arc::clone(state), Arc::clone(context));
    let (upstream, broken_at) = (Arc::clone(upstream), state.now());
    let probe = tokio::spawn(async move {
        time::sleep(PROBE_DELAY).await;
        let connecting = state.upstreams.connector().connect(&upstream.address);
        let connected = time::timeout(PROBE_TIMEOUT, connecting).await;
        if !matches!(connected, Ok(Ok(_))) {
            record(&state, &context, &upstream, progress, broken_at);
        }
    });
    probe.abort_handle()
}

/// Records a crash of an upstream at which a request was in flight. The request may have caused it unless the
/// response had come too far.
fn record(
    state: &State,
    context: &Context,
    upstream: &Upstream,
    progress: Progress,
    broken_at: Duration,
) {
    let parts = &context.prompt_parts;
    let ids: Vec<String> = parts.iter().map(|it| format!("{it:x}")).collect();
    let kind = Kind::HostCrashed {
        address: upstream.address.clone(),
        fingerprint: context.fingerprint,
        parts: ids.join(","),
        events: progress.events,
        after_ms: broken_at.saturating_sub(progress.started).as_millis() as u64,
    };
    state.events.emit_for(context.id(), kind);
    if progress.events < quarantine::HARMLESS_EVENTS {
        state.record_crash(broken_at, &context.subjects, upstream.key);
    }
}
