//! Requests to a replica: prefill, decode and the stream of chunks.

use std::sync::Arc;

use axum::{
    Json,
    body::Body,
    extract::{Path, State},
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use cuminward_core::{host, id};
use cuminward_derive::record;
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::{
    cache, fleet,
    machine::Node,
    replica::{Registration, Replica, Slot, Start},
    state, token,
};
use crate::reply;

/// Chunks that wait for a slow reader before the decoding waits as well.
const CHUNKS_BUFFERED: usize = 64;

/// A request, as a body of `POST /v1/generate`.
#[record]
pub(super) struct Generate {
    request: id::Request,
    group: id::Group,
    generation: id::Generation,
    version: id::Version,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    resume_at: u64,
    #[serde(default)]
    fingerprint: String,
}

/// How a request ended.
enum End {
    Completed,
    Cancelled,
    Abandoned,
    Overrun,
    Broken,
    Crashed,
}

/// A request while it runs.
struct Run {
    fleet: Arc<fleet::Shared>,
    replica: Arc<Replica>,
    request: Generate,
    registration: Registration,
    chunks: mpsc::Sender<Bytes>,
}

/// Handles `POST /v1/generate`.
pub(super) async fn begin(State(node): State<Node>, Json(request): Json<Generate>) -> Response {
    let found = admit(&mut node.fleet.lock(), &node.host, &request);
    let replica = match found {
        Ok(replica) => replica,
        Err(refusal) => return *refusal,
    };
    let (chunks, receiver) = mpsc::channel(CHUNKS_BUFFERED);
    let registration = replica.register(&request.request);
    let run = Run { fleet: node.fleet.clone(), replica, request, registration, chunks };
    tokio::spawn(run.finish());
    let stream = ReceiverStream::new(receiver).map(Ok::<Bytes, std::io::Error>);
    ([("content-type", "application/x-ndjson")], Body::from_stream(stream)).into_response()
}

/// Handles `DELETE /v1/generate/{request}`.
pub(super) async fn cancel(State(node): State<Node>, Path(request): Path<String>) -> Json<Value> {
    let replica = node.replica();
    let cancelled = replica.is_some_and(|it| it.cancel(&request));
    Json(json!({"cancelled": cancelled}))
}

/// Finds the replica for a request, or refuses it.
fn admit(
    state: &mut state::State,
    host: &str,
    request: &Generate,
) -> Result<Arc<Replica>, Box<Response>> {
    let machine = &state.machines[host];
    let ours = machine.in_formation(&request.group, request.generation);
    let starting = ours && machine.in_phase(host::Phase::Loading);
    let domain = machine.entry.domain.clone();
    let replica = machine.replica.clone().filter(|_| ours);
    let counters = &mut state.book.counters;
    if starting {
        counters.starting += 1;
        return Err(Box::new(reply::error(503, "starting", "the replica is loading")));
    }
    let version_matches = |it: &Arc<Replica>| it.membership.version == request.version;
    let Some(replica) = replica.filter(version_matches) else {
        counters.not_whole += 1;
        let message = "the group isn't ready here in that formation and version";
        return Err(Box::new(reply::error(409, "not-whole", message)));
    };
    if replica.full() {
        counters.overloaded += 1;
        return Err(Box::new(reply::error(429, "overloaded", "the engine's queue is full")));
    }
    let partial = !state.whole(&replica.membership);
    state.book.counters.partial_begun += u64::from(partial);
    state.book.begin(&domain, &replica.membership, &replica.name());
    state.book.note_request(&request.request);
    Ok(replica)
}

impl Run {
    async fn finish(self) {
        let broken = self.replica.broken.clone();
        let end = tokio::select! {
            biased;
            () = broken.cancelled() => End::Broken,
            () = self.registration.cancel.cancelled() => End::Cancelled,
            () = self.chunks.closed() => End::Abandoned,
            end = self.serve() => end,
        };
        self.replica.unregister(&self.registration);
        self.count(&end);
        match end {
            End::Overrun => self.fail("overrun", "the replica ran more than it bears").await,
            End::Cancelled => self.fail("cancelled", "the request was cancelled").await,
            End::Crashed => self.fleet.crash(&self.replica),
            End::Completed | End::Abandoned | End::Broken => {}
        }
    }

    fn count(&self, end: &End) {
        let mut state = self.fleet.lock();
        let counters = &mut state.book.counters;
        match end {
            End::Completed => counters.completed += 1,
            End::Cancelled => counters.cancelled += 1,
            End::Abandoned => {
                counters.cut_off += 1;
                counters.abandoned += 1;
            }
            End::Overrun | End::Broken | End::Crashed => counters.cut_off += 1,
        }
    }

    /// Sends an error chunk; the reader may have gone.
    async fn fail(&self, code: &str, message: &str) {
        let error = json!({"error": {"code": code, "message": message}});
        self.send(&error).await;
    }

    async fn send(&self, chunk: &Value) {
        let mut line = chunk.to_string();
        line.push('\n');
        // A reader that has gone is noticed by `closed`.
        let _ = self.chunks.send(Bytes::from(line)).await;
    }

    async fn serve(&self) -> End {
        let (slot, start) = self.replica.slot(self.request.priority).await;
        self.count_start(start);
        let failed = slot.failed.clone();
        tokio::select! {
            biased;
            () = failed.cancelled() => End::Overrun,
            end = self.compute(&slot) => end,
        }
    }

    fn count_start(&self, start: Start) {
        let mut state = self.fleet.lock();
        let counters = &mut state.book.counters;
        counters.cold_overruns += u64::from(start.overrun);
        let load = start.in_flight * 1000 / start.bound.max(1);
        counters.most_load_permille = counters.most_load_permille.max(load);
        if start.cold && start.in_flight > counters.cold_most_in_flight {
            counters.cold_most_in_flight = start.in_flight;
            counters.cold_bound_then = start.bound;
        }
    }

    async fn compute(&self, _slot: &Slot) -> End {
        let request = &self.request;
        let cached = self.prefill().await;
        if request.prompt.contains(&self.fleet.options.crash_marker) {
            return End::Crashed;
        }
        let seed = token::seed(&request.version, &request.prompt);
        let natural = token::natural_length(seed);
        let length = natural.min(request.max_tokens);
        for index in request.resume_at..length {
            self.decode(seed, index).await;
        }
        self.check_whole();
        let finish = if natural <= request.max_tokens { "stop" } else { "length" };
        let finish = json!({
            "finish": finish,
            "prompt_tokens": request.prompt.len().div_ceil(token::BYTES_PER_TOKEN),
            "cached_tokens": cached / token::BYTES_PER_TOKEN,
            "tokens": length,
        });
        self.send(&finish).await;
        End::Completed
    }

    /// Processes the prompt; returns how many of its bytes were cached.
    async fn prefill(&self) -> usize {
        let prefixes = cache::prefixes(&self.request.prompt);
        let cached = self.replica.cache(|it| it.count_cached(&prefixes)) * cache::BLOCK_BYTES;
        let resumed = self.request.resume_at as usize * token::BYTES_PER_TOKEN;
        let bytes = self.request.prompt.len() - cached + resumed;
        tokio::time::sleep(self.replica.prefill_time(bytes)).await;
        self.replica.cache(|it| it.store(&prefixes));
        cached
    }

    async fn decode(&self, seed: token::Seed, index: u64) {
        tokio::time::sleep(self.replica.decode_time()).await;
        let mut paused = self.replica.paused.subscribe();
        // The sender lives as long as the replica, which this request holds.
        let _ = paused.wait_for(|it| *it == 0).await;
        self.fleet.lock().book.counters.tokens += 1;
        self.send(&json!({"token": index, "text": token::text(seed, index)})).await;
    }

    fn check_whole(&self) {
        let mut state = self.fleet.lock();
        let partial = !state.whole(&self.replica.membership);
        state.book.counters.partial_answers += u64::from(partial);
    }
}
