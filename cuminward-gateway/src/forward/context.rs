//! Context of an admitted request: its content, route, team and deadline.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cuminward_serving::{
    attempt, catalog, crash, id,
    quarantine::{self, Subject},
    request,
};
use http::request::Parts;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::state::callers::Reservation;

/// An admitted request and the data that all attempts at it share.
pub(crate) struct Context {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// Memory that the request takes.
    _reservation: Reservation,
    pub(crate) meta: request::Meta,
    /// Parts of the prompt, in their order.
    pub(crate) prompt_parts: Vec<id::PromptPart>,
    pub(crate) route: Arc<catalog::Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<Arc<catalog::Team>>,
    /// Whether the caller's API key is removed before the request is forwarded.
    pub(crate) hides_key: bool,
    pub(crate) priority: u8,
    pub(crate) fingerprint: crash::Fingerprint,
    /// What a crash while the request is in flight may be due to.
    pub(crate) subjects: Vec<Subject>,
    /// Version of the catalog that admitted the request.
    pub(crate) version: id::Version,
    pub(crate) started: Instant,
    /// When the node stops working on the request: the earlier of the caller's and the route's timeout,
    /// less [`DEADLINE_MARGIN`].
    pub(crate) deadline: Instant,
    may_have_run: AtomicBool,
}

/// Arguments of [`Context::new`].
pub(crate) struct Input {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) prompt_parts: Vec<id::PromptPart>,
    pub(crate) reservation: Reservation,
    pub(crate) meta: request::Meta,
    pub(crate) route: Arc<catalog::Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<Arc<catalog::Team>>,
    pub(crate) hides_key: bool,
    pub(crate) version: id::Version,
    pub(crate) started: Instant,
}

/// One in this many requests is logged in full.
const SAMPLING_INTERVAL: u64 = 64;

/// Time before the caller's timeout at which the node ends the request with a response of its own.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Returns when a request that arrived at `started` must have a response: before its caller's timeout and that
/// of the route.
pub(super) fn deadline(started: Instant, meta: &request::Meta, route: &catalog::Route) -> Instant {
    let timeout = meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    started + timeout.saturating_sub(DEADLINE_MARGIN)
}

/// Life cycle
impl Context {
    /// Creates the context of a request. The priority of the team takes precedence over that of the
    /// route.
    pub(crate) fn new(it: Input) -> Context {
        let key = it.meta.key.as_deref().unwrap_or_default();
        let fingerprint = crash::fingerprint(it.parts.uri.path(), key, &it.body);
        let team_priority = it.team.as_ref().and_then(|it| it.priority);
        Context {
            priority: team_priority.unwrap_or(it.route.priority),
            team: it.team,
            fingerprint,
            subjects: quarantine::subjects(fingerprint, &it.prompt_parts),
            prompt_parts: it.prompt_parts,
            version: it.version,
            started: it.started,
            deadline: deadline(it.started, &it.meta, &it.route),
            parts: it.parts,
            body: it.body,
            _reservation: it.reservation,
            meta: it.meta,
            route: it.route,
            service: it.service,
            hides_key: it.hides_key,
            may_have_run: AtomicBool::new(false),
        }
    }
}

/// Access
impl Context {
    /// Returns the request id that the caller sent, or `-`, for logs.
    pub(crate) fn id(&self) -> &str {
        self.meta.id.as_deref().unwrap_or("-")
    }

    /// Returns whether the request is one of the sample that is logged in full. The sample depends only
    /// on the request id, so all nodes log the same requests.
    pub(crate) fn is_sampled(&self) -> bool {
        xxh3::xxh3_64(self.id().as_bytes()).is_multiple_of(SAMPLING_INTERVAL)
    }

    /// Returns the milliseconds since the request arrived.
    pub(crate) fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the time until the deadline, zero if it has passed.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the request may have been executed by an upstream.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Returns the limits on further attempts.
    pub(crate) fn bounds(&self) -> attempt::Bounds {
        attempt::Bounds {
            retry: self.route.retry,
            max_attempts: self.route.max_attempts,
            time_left: self.remaining(),
        }
    }
}

/// Mutation
impl Context {
    /// Sets whether the request may have been executed by an upstream.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}
