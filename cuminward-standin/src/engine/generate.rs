//! Runs requests in a replica: prefill, decode and the stream of chunks.

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
    handler::Context,
    replica::{Occupancy, Registration, Replica, Slot},
    state, token,
};
use crate::reply;

/// Chunks buffered for a slow reader; decoding stalls while the buffer is full.
const CHUNKS_BUFFERED: usize = 64;

/// Body of `POST /v1/generate`.
#[record]
pub(super) struct Request {
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
enum Outcome {
    Completed,
    Cancelled,
    Abandoned,
    Overrun,
    Broken,
    Crashed,
}

/// Running request.
struct Run {
    fleet: Arc<fleet::Shared>,
    replica: Arc<Replica>,
    request: Request,
    registration: Registration,
    chunks: mpsc::Sender<Bytes>,
}

/// Handles `POST /v1/generate`.
pub(super) async fn begin(
    State(context): State<Context>,
    Json(request): Json<Request>,
) -> Response {
    let admitted = admit(&mut context.fleet.lock(), &context.host, &request);
    let replica = match admitted {
        Ok(replica) => replica,
        Err(refusal) => return *refusal,
    };
    let (chunks, receiver) = mpsc::channel(CHUNKS_BUFFERED);
    let registration = replica.register(&request.request);
    let run = Run { fleet: context.fleet.clone(), replica, request, registration, chunks };
    tokio::spawn(run.execute());
    let stream = ReceiverStream::new(receiver).map(Ok::<Bytes, std::io::Error>);
    ([("content-type", "application/x-ndjson")], Body::from_stream(stream)).into_response()
}

/// Handles `DELETE /v1/generate/{request}`.
pub(super) async fn cancel(
    State(context): State<Context>,
    Path(request): Path<String>,
) -> Json<Value> {
    let replica = context.replica();
    let cancelled = replica.is_some_and(|it| it.cancel(&request));
    Json(json!({"cancelled": cancelled}))
}

/// Admits a request: returns the replica for it, or the refusal as a response.
fn admit(
    state: &mut state::State,
    host: &str,
    request: &Request,
) -> Result<Arc<Replica>, Box<Response>> {
    let engine = &state.engines[host];
    let in_formation = engine.in_formation(&request.group, request.generation);
    let starting = in_formation && engine.in_phase(host::Phase::Loading);
    let domain = engine.entry.domain.clone();
    let replica = engine.replica.clone().filter(|_| in_formation);
    let counters = &mut state.stats.counters;
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
    if replica.is_full() {
        counters.overloaded += 1;
        return Err(Box::new(reply::error(429, "overloaded", "the engine's queue is full")));
    }
    let partial = !state.has_all_members(&replica.membership);
    state.stats.counters.partial_begun += u64::from(partial);
    state.stats.record_begin(&domain, &replica.membership, &replica.name());
    state.stats.record_request(&request.request);
    Ok(replica)
}

impl Run {
    /// Serves the request, counts its outcome and sends an error chunk where the outcome has one.
    async fn execute(self) {
        let broken = self.replica.broken.clone();
        let outcome = tokio::select! {
            biased;
            () = broken.cancelled() => Outcome::Broken,
            () = self.registration.cancel.cancelled() => Outcome::Cancelled,
            () = self.chunks.closed() => Outcome::Abandoned,
            outcome = self.serve() => outcome,
        };
        self.replica.unregister(&self.registration);
        self.count_outcome(&outcome);
        match outcome {
            Outcome::Overrun => self.fail("overrun", "the replica ran more than it bears").await,
            Outcome::Cancelled => self.fail("cancelled", "the request was cancelled").await,
            Outcome::Crashed => self.fleet.crash(&self.replica),
            Outcome::Completed | Outcome::Abandoned | Outcome::Broken => {}
        }
    }

    fn count_outcome(&self, outcome: &Outcome) {
        let mut state = self.fleet.lock();
        let counters = &mut state.stats.counters;
        match outcome {
            Outcome::Completed => counters.completed += 1,
            Outcome::Cancelled => counters.cancelled += 1,
            Outcome::Abandoned => {
                counters.cut_off += 1;
                counters.abandoned += 1;
            }
            Outcome::Overrun | Outcome::Broken | Outcome::Crashed => counters.cut_off += 1,
        }
    }

    /// Sends an error chunk. The reader may have closed the stream already.
    async fn fail(&self, code: &str, message: &str) {
        let error = json!({"error": {"code": code, "message": message}});
        self.send_chunk(&error).await;
    }

    async fn send_chunk(&self, chunk: &Value) {
        let mut line = chunk.to_string();
        line.push('\n');
        // `execute` detects a closed stream through `chunks.closed()`.
        let _ = self.chunks.send(Bytes::from(line)).await;
    }

    async fn serve(&self) -> Outcome {
        let (slot, occupancy) = self.replica.acquire_slot(self.request.priority).await;
        self.record_occupancy(occupancy);
        let failed = slot.failed.clone();
        tokio::select! {
            biased;
            () = failed.cancelled() => Outcome::Overrun,
            outcome = self.compute(&slot) => outcome,
        }
    }

    fn record_occupancy(&self, occupancy: Occupancy) {
        let mut state = self.fleet.lock();
        let counters = &mut state.stats.counters;
        counters.cold_overruns += u64::from(occupancy.overrun);
        let load = occupancy.in_flight * 1000 / occupancy.limit.max(1);
        counters.most_load_permille = counters.most_load_permille.max(load);
        if occupancy.cold && occupancy.in_flight > counters.cold_most_in_flight {
            counters.cold_most_in_flight = occupancy.in_flight;
            counters.cold_bound_then = occupancy.limit;
        }
    }

    async fn compute(&self, _slot: &Slot) -> Outcome {
        let request = &self.request;
        let cached = self.prefill().await;
        if request.prompt.contains(&self.fleet.options.crash_marker) {
            return Outcome::Crashed;
        }
        let seed = token::seed(&request.version, &request.prompt);
        let natural = token::natural_length(seed);
        let length = natural.min(request.max_tokens);
        for index in request.resume_at..length {
            self.decode(seed, index).await;
        }
        self.count_partial_answer();
        let finish = if natural <= request.max_tokens { "stop" } else { "length" };
        let finish = json!({
            "finish": finish,
            "prompt_tokens": request.prompt.len().div_ceil(token::BYTES_PER_TOKEN),
            "cached_tokens": cached / token::BYTES_PER_TOKEN,
            "tokens": length,
        });
        self.send_chunk(&finish).await;
        Outcome::Completed
    }

    /// Processes the prompt and returns how many of its bytes were cached.
    async fn prefill(&self) -> usize {
        let prefixes = cache::prefixes(&self.request.prompt);
        let cached = self.replica.with_cache(|it| it.count_cached(&prefixes)) * cache::BLOCK_BYTES;
        let resumed = self.request.resume_at as usize * token::BYTES_PER_TOKEN;
        let bytes = self.request.prompt.len() - cached + resumed;
        tokio::time::sleep(self.replica.prefill_time(bytes)).await;
        self.replica.with_cache(|it| it.store(&prefixes));
        cached
    }

    async fn decode(&self, seed: token::Seed, index: u64) {
        tokio::time::sleep(self.replica.decode_time()).await;
        let mut paused = self.replica.paused.subscribe();
        // The request holds the replica, and with it the sender, so that the wait can't fail.
        let _ = paused.wait_for(|it| *it == 0).await;
        self.fleet.lock().stats.counters.tokens += 1;
        self.send_chunk(&json!({"token": index, "text": token::text(seed, index)})).await;
    }

    fn count_partial_answer(&self) {
        let mut state = self.fleet.lock();
        let partial = !state.has_all_members(&self.replica.membership);
        state.stats.counters.partial_answers += u64::from(partial);
    }
}
