//! Stand-in for the platform's append-only log.

mod handler;
mod store;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{Router, extract::DefaultBodyLimit, routing};
use cuminward_derive::record;
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;

use crate::server;

/// Largest body of an append, in bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// Settings of the log.
#[record]
pub struct Options {
    /// Records kept per stream.
    pub keep_records: usize,
    /// Longest time that a record is kept.
    pub keep_for: Duration,
    /// Appends accepted each second, over all streams.
    pub appends_per_second: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            keep_records: usize::MAX,
            keep_for: Duration::from_secs(24 * 3600),
            appends_per_second: 400,
        }
    }
}

/// A change of the log's behaviour, as in the body of `POST /control`.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Every call is answered with status 503.
    Down,
    /// Ends `Down`.
    Up,
    /// Delays every call.
    Slow {
        /// Time by which each call is delayed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// The next appends take effect, but their connections are closed without a response.
    LoseAnswers {
        /// Number of appends.
        count: u32,
    },
    /// Sets the retention.
    Keep {
        /// Records kept per stream.
        records: usize,
    },
    /// Sets the rate limit of appends.
    Rate {
        /// Appends accepted each second.
        appends_per_second: u32,
    },
}

/// Counters of the log.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Records appended.
    pub appended: u64,
    /// Reads answered.
    pub reads: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Appends that took effect but got no response.
    pub lost_answers: u64,
}

/// A running log.
#[derive(Debug)]
pub struct Log {
    shared: Arc<Shared>,
    server: server::Server,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<store::Inner>,
    /// Changes at each append or fault and wakes waiting reads.
    appended: watch::Sender<u64>,
}

/// Life cycle
impl Log {
    /// Starts a log on a port of 127.0.0.1; 0 chooses a free one.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start(port: u16, options: Options) -> io::Result<Log> {
        let inner = store::Inner {
            tokens: f64::from(options.appends_per_second),
            options,
            streams: BTreeMap::new(),
            counters: Counters::default(),
            down: false,
            delay: Duration::ZERO,
            lose_answers: 0,
            refilled_at: Instant::now(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(inner), appended: watch::Sender::new(0) });
        let router = Router::new()
            .route(
                "/v1/streams/{stream}/records",
                routing::post(handler::append).get(handler::read),
            )
            .route("/control", routing::post(handler::control))
            .route("/control/counters", routing::get(handler::counters))
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(shared.clone());
        Ok(Log { shared, server: server::Server::start(port, router).await? })
    }
}

/// Access
impl Log {
    /// Returns the address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Returns the values of a stream's records that are still kept, oldest first.
    pub fn records(&self, stream: &str) -> Vec<Value> {
        let inner = self.shared.lock();
        let records = inner.streams.get(stream).map(|it| it.records.iter());
        records.into_iter().flatten().map(|it| it.value.clone()).collect()
    }

    /// Returns the gate that pauses or silences the connections of the log.
    pub fn gate(&self) -> &server::Gate {
        self.server.gate()
    }
}

/// Mutation
impl Log {
    /// Applies a change of the behaviour.
    pub fn inject(&self, fault: &Fault) {
        self.shared.apply(fault);
    }

    /// Removes the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        let mut inner = self.shared.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        while stream.oldest < before && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Appends a record regardless of the rate limit and injected faults, and returns its offset.
    pub fn append(&self, stream: &str, value: Value) -> u64 {
        let offset = self.shared.lock().push(stream, value);
        self.shared.appended.send_modify(|it| *it += 1);
        offset
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, store::Inner> {
        self.state.lock().expect("no holder panics")
    }

    fn apply(&self, fault: &Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::Down => inner.down = true,
            Fault::Up => inner.down = false,
            Fault::Slow { delay_ms } => inner.delay = *delay_ms,
            Fault::LoseAnswers { count } => inner.lose_answers = *count,
            Fault::Keep { records } => inner.options.keep_records = *records,
            Fault::Rate { appends_per_second } => {
                inner.options.appends_per_second = *appends_per_second;
                inner.tokens = inner.tokens.min(f64::from(*appends_per_second));
            }
        }
        inner.trim_all();
        drop(inner);
        self.appended.send_modify(|it| *it += 1);
    }
}
