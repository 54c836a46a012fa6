//! A request on its way.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cuminward_serving::{attempt, catalog, crash, id, request};
use http::request::Parts;
use tokio::time::Instant;
use xxhash_rust::xxh3;

/// A request that was admitted.
pub(crate) struct Job {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) meta: request::Meta,
    pub(crate) route: Arc<catalog::Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<Arc<catalog::Team>>,
    /// Whether the caller's key is kept from upstreams.
    pub(crate) hides_key: bool,
    pub(crate) priority: u8,
    pub(crate) fingerprint: crash::Fingerprint,
    /// Version of the catalog that admitted the request.
    pub(crate) version: id::Version,
    pub(crate) started: Instant,
    /// When the caller or the route gives it up.
    pub(crate) limit: Instant,
    may_have_run: AtomicBool,
}

/// What a job is made of.
pub(crate) struct Content {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) meta: request::Meta,
    pub(crate) route: Arc<catalog::Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<Arc<catalog::Team>>,
    pub(crate) hides_key: bool,
    pub(crate) version: id::Version,
    pub(crate) started: Instant,
}

/// One in so many requests is logged in full.
const SAMPLED_IN: u64 = 64;

/// Time before the limit at which the node gives its answer.
const MARGIN: Duration = Duration::from_millis(15);

/// Life cycle
impl Job {
    /// Makes a job.
    pub(crate) fn new(it: Content) -> Job {
        let patience = it.meta.timeout.unwrap_or(it.route.timeout).min(it.route.timeout);
        let key = it.meta.key.as_deref().unwrap_or_default();
        let fingerprint = crash::fingerprint(it.parts.uri.path(), key, &it.body);
        let team_priority = it.team.as_ref().and_then(|it| it.priority);
        Job {
            priority: team_priority.unwrap_or(it.route.priority),
            team: it.team,
            fingerprint,
            version: it.version,
            started: it.started,
            limit: it.started + patience.saturating_sub(MARGIN),
            parts: it.parts,
            body: it.body,
            meta: it.meta,
            route: it.route,
            service: it.service,
            hides_key: it.hides_key,
            may_have_run: AtomicBool::new(false),
        }
    }
}

/// Access
impl Job {
    /// Identity of the caller's attempt, for logs.
    pub(crate) fn id(&self) -> &str {
        self.meta.id.as_deref().unwrap_or("-")
    }

    /// Tells whether the request is one of the share that every node logs in full.
    pub(crate) fn is_sampled(&self) -> bool {
        xxh3::xxh3_64(self.id().as_bytes()).is_multiple_of(SAMPLED_IN)
    }

    /// Milliseconds since the request arrived.
    pub(crate) fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Time left.
    pub(crate) fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// Tells whether the request may have run somewhere.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// What the request allows.
    pub(crate) fn bounds(&self) -> attempt::Bounds {
        attempt::Bounds {
            retry: self.route.retry,
            max_attempts: self.route.max_attempts,
            time_left: self.left(),
        }
    }
}

/// Mutation
impl Job {
    /// Notes whether the request may have run somewhere.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}
