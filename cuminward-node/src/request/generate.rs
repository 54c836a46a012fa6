//! Runs a generation: attempts, resumption at a token, and the stream to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use cuminward_caller::backend;
use cuminward_core::{
    outcome::{Cause, Outcome, Refusal},
    replica,
};
use cuminward_event::kind::Kind;
use cuminward_route::{attempt, outlier, prefix, quarantine};
use cuminward_upstream::{error, generate, relay};
use futures::{Stream, StreamExt};
use tokio::sync::mpsc;

use crate::{
    request::{dispatch, flight, lease, remote, report, search},
    state,
};

/// Tokens that may wait for a slow caller before the engine is held back.
const BUFFER: usize = 32;

/// Longest time until the head of an engine's answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that a whole generation may take.
const LONGEST: Duration = Duration::from_secs(600);

/// Tokens of one generation.
#[derive(Debug)]
pub struct Tokens {
    first: Option<backend::Event>,
    rest: mpsc::Receiver<backend::Event>,
}

/// One generation on its way.
struct Job {
    state: Arc<state::State>,
    request: backend::Generation,
    wish: search::Wish,
    begun: Duration,
    sink: mpsc::Sender<backend::Event>,
    attempts: u32,
    next: u64,
    /// When the present attempt's first token arrived.
    first: Option<Duration>,
    may_have_run: bool,
    _place: lease::Place,
}

/// How an attempt ended.
enum End {
    Complete,
    CallerLeft,
    Failed(Failure),
}

/// A failed attempt.
struct Failure {
    report: attempt::Report,
    reason: String,
}

impl Stream for Tokens {
    type Item = backend::Event;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<backend::Event>> {
        match self.first.take() {
            Some(event) => Poll::Ready(Some(event)),
            None => self.rest.poll_recv(cx),
        }
    }
}

/// Starts a generation and waits for its first event.
///
/// # Errors
///
/// The refusal of a generation that failed before its first token.
pub async fn start(
    state: Arc<state::State>,
    request: backend::Generation,
    place: lease::Place,
) -> Result<Tokens, Refusal> {
    let (sink, mut rest) = mpsc::channel(BUFFER);
    tokio::spawn(Job::new(state, request, sink, place).run());
    match rest.recv().await {
        Some(backend::Event::Failed(refusal)) => Err(refusal),
        Some(first) => Ok(Tokens { first: Some(first), rest }),
        None => Err(Refusal::unknown(Cause::UpstreamFailed, "the generation ended early")),
    }
}

/// Life cycle
impl Job {
    fn new(
        state: Arc<state::State>,
        request: backend::Generation,
        sink: mpsc::Sender<backend::Event>,
        place: lease::Place,
    ) -> Job {
        let begun = state.now();
        let mut prefixes = Vec::new();
        prefix::compute_ids(request.prompt.as_bytes(), &mut prefixes);
        let limit = state.settings.limits.queue_timeout;
        let wish = search::Wish {
            team: request.context.team.clone(),
            priority: request.context.priority,
            deadline: begun + request.context.deadline.unwrap_or(limit),
            target: search::Target::Model(search::Model {
                model: request.model.clone(),
                version: request.version.clone(),
                prefixes: Arc::new(prefixes),
                fingerprint: quarantine::fingerprint(&request.model, request.prompt.as_bytes()),
            }),
            avoid: Vec::new(),
            spill: request.context.relay.is_none().then_some(begun + state.settings.routing.spill),
            patient: request.context.waits_until_deadline(),
        };
        Job {
            wish,
            begun,
            sink,
            attempts: 0,
            next: request.resume_at,
            first: None,
            may_have_run: 0 < request.resume_at,
            _place: place,
            state,
            request,
        }
    }
}

/// Mutation
impl Job {
    /// Tries until the generation is complete, refused or no longer wanted.
    async fn run(mut self) {
        let sink = self.sink.clone();
        tokio::select! {
            () = self.try_all() => {}
            () = sink.closed() => self.emit(Kind::RequestCancelled { tokens: self.next }),
        }
    }

    async fn try_all(&mut self) {
        loop {
            let granted = match dispatch::acquire(&self.state, self.wish.clone()).await {
                Ok(granted) => granted,
                Err(refusal) => {
                    return self.refuse(refusal.after_attempts(self.may_have_run)).await;
                }
            };
            let name = granted.upstream.name().to_owned();
            let end = self.attempt(granted).await;
            let failure = match end {
                End::Complete | End::CallerLeft => return,
                End::Failed(failure) => failure,
            };
            self.avoid(name);
            if let Some(refusal) = self.decide(&failure) {
                return self.refuse(refusal).await;
            }
        }
    }

    /// Avoids every upstream that failed the request; only the last one where nothing else is left.
    fn avoid(&mut self, failed: String) {
        self.wish.avoid.push(failed.clone());
        if search::is_hopeless(&self.state, &self.wish) {
            self.wish.avoid = vec![failed];
        }
    }

    /// Sends the request to an upstream and passes its tokens on.
    async fn attempt(&mut self, granted: search::Granted) -> End {
        self.attempts += 1;
        let search::Granted { upstream, lease, entry } = granted;
        let mut flight = match (&upstream, lease.zip(entry)) {
            (search::Upstream::Replica(replica), Some(held)) => {
                Some(flight::Flight::new(&self.state, replica.clone(), self.attempt_id(), held))
            }
            _ => None,
        };
        self.emit(Kind::RequestRouted {
            upstream: upstream.name().to_owned(),
            domain: upstream.domain(&self.state).to_owned(),
            attempt: u64::from(self.attempts),
        });
        let sent = self.state.now();
        let (end, error) = match self.send(&upstream).await {
            Ok(chunks) => self.pass(chunks, flight.as_mut()).await,
            Err(error) => {
                self.may_have_run |= error.outcome() != Outcome::NotRun;
                (End::Failed(self.failure(&error)), Some(error))
            }
        };
        if let Some(flight) = flight {
            self.judge(upstream.name(), sent, error.as_ref());
            land(flight, &end, error).await;
        }
        end
    }

    async fn send(&self, upstream: &search::Upstream) -> Result<generate::Chunks, error::Error> {
        let engines = &self.state.engines;
        match upstream {
            search::Upstream::Replica(replica) => {
                engines.generate(&replica.address, &self.body(replica), HEAD_TIMEOUT).await
            }
            search::Upstream::Node(node) => {
                let headers = remote::headers(&self.state, &self.request.context);
                let wait = self.wish.deadline.saturating_sub(self.state.now());
                engines
                    .relay(&node.address, &self.relayed(wait), headers, wait + HEAD_TIMEOUT)
                    .await
            }
            search::Upstream::Plain(_) => unreachable!("plain hosts serve no models"),
        }
    }

    async fn pass(
        &mut self,
        mut chunks: generate::Chunks,
        mut flight: Option<&mut flight::Flight>,
    ) -> (End, Option<error::Error>) {
        self.may_have_run = true;
        while let Some(chunk) = chunks.next().await {
            let event = match chunk {
                Ok(generate::Chunk::Token(token)) => {
                    self.note_token(token.index);
                    if let Some(flight) = &mut flight {
                        flight.progress(chunks.tokens());
                    }
                    backend::Event::Token(token.text)
                }
                Ok(generate::Chunk::Finish(finish)) => {
                    self.emit(Kind::RequestCompleted {
                        tokens: self.next,
                        after_ms: self.age_ms(),
                    });
                    let event = backend::Event::Finish(self.finish(&finish));
                    let _ = self.sink.send(event).await;
                    return (End::Complete, None);
                }
                Err(error) => return (End::Failed(self.failure(&error)), Some(error)),
            };
            if self.sink.send(event).await.is_err() {
                return (End::CallerLeft, None);
            }
        }
        let reason = "the stream ended without a finish".to_owned();
        (End::Failed(Failure { report: self.broken(), reason }), None)
    }

    /// Notes how the attempt at a replica went. Lost and silent connections are nobody's fault as
    /// long as the host answers, and it isn't routed to if it doesn't.
    fn judge(&mut self, group: &str, sent: Duration, error: Option<&error::Error>) {
        let sample = match (error, self.first.take()) {
            (Some(error::Error::Answer(_) | error::Error::Malformed { .. }), _) => {
                outlier::Sample::Failed
            }
            (_, Some(first)) => outlier::Sample::Answered(first.saturating_sub(sent)),
            (_, None) => return,
        };
        self.state.outliers.record(&self.request.model, group, sample);
    }

    fn note_token(&mut self, index: u64) {
        self.first.get_or_insert(self.state.now());
        if self.next == self.request.resume_at {
            self.emit(Kind::RequestFirstToken { after_ms: self.age_ms() });
        }
        self.next = index + 1;
    }

    /// Decides whether to go on after a failure; gives the refusal if not.
    fn decide(&mut self, failure: &Failure) -> Option<Refusal> {
        let now = self.state.now();
        let state = attempt::State {
            semantics: attempt::Semantics::Generation,
            attempts: self.attempts,
            max_attempts: attempt::DEFAULT_MAX_ATTEMPTS,
            deadline: self.begun + LONGEST,
            may_have_run: self.may_have_run,
        };
        let reason = failure.reason.clone();
        match attempt::decide(&state, failure.report, &self.state.retry_budget, now) {
            attempt::Decision::Retry => {
                let attempt = u64::from(self.attempts);
                self.emit(Kind::RequestRetried { attempt, reason });
                None
            }
            attempt::Decision::Resume { at } => {
                let upstream = self.wish.avoid.last().cloned().unwrap_or_default();
                self.emit(Kind::RequestResumed { upstream, token: u64::from(at), reason });
                self.wish.deadline = now + self.state.settings.limits.queue_timeout;
                self.wish.patient = true;
                None
            }
            attempt::Decision::Refuse(refusal) => Some(refusal),
            attempt::Decision::Finish(_) => None,
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        self.emit(report::refused(&refusal));
        let _ = self.sink.send(backend::Event::Failed(refusal)).await;
    }
}

/// Access
impl Job {
    fn body(&self, replica: &replica::Replica) -> generate::Request {
        generate::Request {
            request: self.attempt_id(),
            group: replica.group.clone(),
            generation: replica.generation,
            version: replica.version.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: u64::from(self.request.max_tokens),
            priority: i64::from(self.request.context.priority),
            resume_at: self.next,
            fingerprint: self.fingerprint(),
        }
    }

    /// Id of the present attempt: a late cancel of a former one can't reach it.
    fn attempt_id(&self) -> String {
        let (request, node) = (&self.request.context.request, &self.state.settings.node);
        format!("{request}.{node}.{}", self.attempts)
    }

    /// Fingerprint of the request, in hexadecimal.
    fn fingerprint(&self) -> String {
        match &self.wish.target {
            search::Target::Model(it) => quarantine::to_hex(it.fingerprint),
            search::Target::Plain(_) => String::new(),
        }
    }

    fn relayed(&self, wait: Duration) -> relay::Request {
        relay::Request {
            model: self.request.model.clone(),
            version: self.request.version.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            resume_at: self.next,
            wait,
        }
    }

    fn failure(&self, error: &error::Error) -> Failure {
        let report = match error.outcome() {
            Outcome::NotRun if self.next == 0 => attempt::Report::NotRun,
            _ => self.broken(),
        };
        Failure { report, reason: error.to_string() }
    }

    fn broken(&self) -> attempt::Report {
        attempt::Report::Broken(u32::try_from(self.next).unwrap_or(u32::MAX))
    }

    fn finish(&self, finish: &generate::Finish) -> backend::Finish {
        let count = |it: u64| u32::try_from(it).unwrap_or(u32::MAX);
        let reason = match finish.reason {
            generate::Reason::Stop => "stop",
            generate::Reason::Length => "length",
        };
        backend::Finish {
            reason: reason.to_owned(),
            prompt_tokens: count(finish.prompt_tokens),
            cached_tokens: count(finish.cached_tokens),
            tokens: count(self.next),
        }
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.request.context.request, kind);
    }

    fn age_ms(&self) -> u64 {
        self.state.now().saturating_sub(self.begun).as_millis() as u64
    }
}

/// Ends an attempt at an engine by how it went.
async fn land(flight: flight::Flight, end: &End, error: Option<error::Error>) {
    match (end, error) {
        (End::Complete, _) => flight.complete(),
        (_, Some(error::Error::Connect { .. })) => flight.unreachable(),
        (_, Some(error)) if flight::is_disconnect(&error) => flight.disconnected().await,
        (_, Some(error::Error::Refused(_))) => flight.not_run(),
        _ => drop(flight),
    }
}
