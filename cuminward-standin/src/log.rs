//! Stand-in of the platform's append-only log.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Extension, Json, Router,
    extract::{DefaultBodyLimit, Path, Query, State},
    response::{IntoResponse, Response},
    routing,
};
use cuminward_derive::record;
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;

use crate::{reply, server};

/// Largest record, in bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Records of one answer when the caller doesn't say.
const DEFAULT_READ: usize = 1000;
/// Longest time that a read waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Settings of the log.
#[record]
pub struct Options {
    /// Records kept per stream.
    pub keep_records: usize,
    /// Longest time that a record is kept.
    pub keep_for: Duration,
    /// Appends that the service takes each second.
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

/// A change of behaviour, as a body of `POST /control`.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Every call answers 503.
    Down,
    /// Ends `Down`.
    Up,
    /// Every call takes longer by a time.
    Slow {
        /// Added time.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// The next appends take effect, but the connection closes without an answer.
    LoseAnswers {
        /// Number of appends.
        count: u32,
    },
    /// Sets the retention.
    Keep {
        /// Records kept per stream.
        records: usize,
    },
    /// Sets the rate limit.
    Rate {
        /// Appends each second.
        appends_per_second: u32,
    },
}

/// Figures of the log.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Records appended.
    pub appended: u64,
    /// Reads answered.
    pub reads: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Answers lost after the append took effect.
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
    state: Mutex<Inner>,
    appended: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    streams: BTreeMap<String, Stream>,
    counters: Counters,
    down: bool,
    delay: Duration,
    lose_answers: u32,
    tokens: f64,
    refilled: Instant,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Record>,
}

#[derive(Debug, Clone)]
struct Record {
    at_ms: u64,
    value: Value,
}

#[derive(serde::Deserialize)]
struct Range {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

/// Life cycle
impl Log {
    /// Starts a log at a port of 127.0.0.1; 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, options: Options) -> io::Result<Log> {
        let inner = Inner {
            tokens: f64::from(options.appends_per_second),
            options,
            streams: BTreeMap::new(),
            counters: Counters::default(),
            down: false,
            delay: Duration::ZERO,
            lose_answers: 0,
            refilled: Instant::now(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(inner), appended: watch::Sender::new(0) });
        let router = Router::new()
            .route("/v1/streams/{stream}/records", routing::post(append).get(read))
            .route("/control", routing::post(control))
            .route("/control/counters", routing::get(counters))
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(shared.clone());
        Ok(Log { shared, server: server::Server::start(port, router).await? })
    }
}

/// Access
impl Log {
    /// The address where the log listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Figures since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// The kept records of a stream.
    pub fn records(&self, stream: &str) -> Vec<Value> {
        let inner = self.shared.lock();
        let records = inner.streams.get(stream).map(|it| it.records.iter());
        records.into_iter().flatten().map(|it| it.value.clone()).collect()
    }

    /// Holds and silences connections.
    pub fn gate(&self) -> &server::Gate {
        self.server.gate()
    }
}

/// Mutation
impl Log {
    /// Changes the behaviour.
    pub fn fault(&self, fault: &Fault) {
        self.shared.apply(fault);
    }

    /// Forgets the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        let mut inner = self.shared.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        while stream.oldest < before && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Appends a record past rate limit and faults; returns its offset.
    pub fn append(&self, stream: &str, value: Value) -> u64 {
        let offset = self.shared.lock().push(stream, value);
        self.shared.appended.send_modify(|it| *it += 1);
        offset
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
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

impl Inner {
    /// Takes one append from the budget, which holds one second's worth.
    fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.appends_per_second);
        let refill = self.refilled.elapsed().as_secs_f64() * rate;
        self.refilled = Instant::now();
        self.tokens = (self.tokens + refill).min(rate);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    fn push(&mut self, stream: &str, value: Value) -> u64 {
        self.counters.appended += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(Record { at_ms: reply::wall_ms(), value });
        let offset = stream.next() - 1;
        self.trim_all();
        offset
    }

    fn trim_all(&mut self) {
        let oldest_ms = reply::wall_ms().saturating_sub(self.options.keep_for.as_millis() as u64);
        let keep = self.options.keep_records;
        for stream in self.streams.values_mut() {
            stream.trim(keep, oldest_ms);
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn trim(&mut self, keep: usize, oldest_ms: u64) {
        let expired = |it: &Record| it.at_ms < oldest_ms;
        while self.records.len() > keep || self.records.front().is_some_and(expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}

fn valid(stream: &str) -> bool {
    let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    !stream.is_empty() && stream.chars().all(allowed)
}

fn unavailable() -> Response {
    reply::error(503, "unavailable", "the log is down; nothing was appended")
}

async fn append(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    Extension(connection): Extension<server::Connection>,
    Json(value): Json<Value>,
) -> Response {
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    if !valid(&stream) {
        return reply::error(400, "invalid-stream", "the stream's name has other characters");
    }
    let (offset, lost) = {
        let mut inner = shared.lock();
        if inner.down {
            return unavailable();
        }
        if !inner.take_token() {
            inner.counters.limited += 1;
            return reply::error(429, "rate-limited", "too many appends a second");
        }
        let offset = inner.push(&stream, value);
        let lost = inner.lose_answers > 0;
        inner.lose_answers = inner.lose_answers.saturating_sub(1);
        inner.counters.lost_answers += u64::from(lost);
        (offset, lost)
    };
    shared.appended.send_modify(|it| *it += 1);
    if lost {
        return connection.abandon().await;
    }
    Json(json!({"offset": offset})).into_response()
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    Query(range): Query<Range>,
) -> Response {
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    let mut changes = shared.appended.subscribe();
    let wait = Duration::from_millis(range.wait_ms).min(MAX_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        if let Some(answer) = read_now(&shared, &stream, &range, false) {
            return answer;
        }
        let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
        if changed.is_err() {
            break;
        }
    }
    read_now(&shared, &stream, &range, true).expect("an empty answer is allowed")
}

/// Answers a read; `None` when there is no record yet and an empty answer isn't wanted.
fn read_now(shared: &Shared, stream: &str, range: &Range, empty: bool) -> Option<Response> {
    let mut inner = shared.lock();
    if inner.down {
        return Some(unavailable());
    }
    inner.trim_all();
    let none = Stream::default();
    let found = inner.streams.get(stream).unwrap_or(&none);
    let (oldest, next) = (found.oldest, found.next());
    if range.from < oldest {
        let message = "the record is no longer kept";
        return Some(reply::error_with(410, "trimmed", message, &[("oldest", oldest)]));
    }
    if range.from >= next && !empty {
        return None;
    }
    let skipped = (range.from - oldest) as usize;
    let kept = found.records.iter().enumerate().skip(skipped);
    let records: Vec<Value> = kept
        .take(range.max.unwrap_or(DEFAULT_READ))
        .map(|(index, it)| {
            json!({"offset": oldest + index as u64, "at_ms": it.at_ms, "value": it.value})
        })
        .collect();
    inner.counters.reads += 1;
    Some(Json(json!({"oldest": oldest, "next": next, "records": records})).into_response())
}

async fn control(State(shared): State<Arc<Shared>>, Json(fault): Json<Fault>) {
    shared.apply(&fault);
}

async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
