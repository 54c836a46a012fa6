//! Runs a generation: makes attempts, resumes a broken stream at the next token, and streams the
//! tokens to the caller.

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
    request::{dispatch, engine_attempt, lease, remote, report, search},
    state,
};

/// Number of tokens that are buffered for a slow caller before backpressure applies to the engine.
const TOKEN_BUFFER: usize = 32;

/// Longest time until the response head of an engine arrives.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time after the start of a generation in which it may be attempted again.
const RETRY_WINDOW: Duration = Duration::from_secs(600);

/// Stream of the events of one generation.
#[derive(Debug)]
pub struct Tokens {
    first: Option<backend::Event>,
    rest: mpsc::Receiver<backend::Event>,
}

/// A generation in progress.
struct Execution {
    state: Arc<state::State>,
    request: backend::Generation,
    criteria: search::Criteria,
    started: Duration,
    sender: mpsc::Sender<backend::Event>,
    attempts: u32,
    next_token: u64,
    /// Time at which the first token of the present attempt arrived.
    first: Option<Duration>,
    may_have_run: bool,
    _in_flight: lease::InFlight,
}

/// Result of an attempt.
enum AttemptEnd {
    Complete,
    CallerDisconnected,
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

/// Starts a generation in a task of its own and waits for its first event. Dropping the stream
/// cancels the generation.
///
/// # Errors
///
/// Returns the refusal of a generation that failed before its first event.
pub async fn start(
    state: Arc<state::State>,
    request: backend::Generation,
    in_flight: lease::InFlight,
) -> Result<Tokens, Refusal> {
    let (sender, mut rest) = mpsc::channel(TOKEN_BUFFER);
    tokio::spawn(Execution::new(state, request, sender, in_flight).run());
    match rest.recv().await {
        Some(backend::Event::Failed(refusal)) => Err(refusal),
        Some(first) => Ok(Tokens { first: Some(first), rest }),
        None => Err(Refusal::unknown(Cause::UpstreamFailed, "the generation ended early")),
    }
}

/// Life cycle
impl Execution {
    fn new(
        state: Arc<state::State>,
        request: backend::Generation,
        sender: mpsc::Sender<backend::Event>,
        in_flight: lease::InFlight,
    ) -> Execution {
        let started = state.now();
        let mut prefixes = Vec::new();
        prefix::compute_ids(request.prompt.as_bytes(), &mut prefixes);
        let limit = state.settings.limits.queue_timeout;
        let criteria = search::Criteria {
            team: request.context.team.clone(),
            priority: request.context.priority,
            deadline: started + request.context.deadline.unwrap_or(limit),
            target: search::Target::Model(search::Model {
                model: request.model.clone(),
                version: request.version.clone(),
                prefixes: Arc::new(prefixes),
                fingerprint: quarantine::fingerprint(&request.model, request.prompt.as_bytes()),
            }),
            avoid: Vec::new(),
            spillover_at: request
                .context
                .relay
                .is_none()
                .then_some(started + state.settings.routing.spill),
            waits_until_deadline: request.context.waits_until_deadline(),
        };
        Execution {
            criteria,
            started,
            sender,
            attempts: 0,
            next_token: request.resume_at,
            first: None,
            may_have_run: 0 < request.resume_at,
            _in_flight: in_flight,
            state,
            request,
        }
    }
}

/// Mutation
impl Execution {
    /// Runs the generation until it is complete or refused, or its caller disconnects.
    async fn run(mut self) {
        let sender = self.sender.clone();
        tokio::select! {
            () = self.run_attempts() => {}
            () = sender.closed() => self.emit(Kind::RequestCancelled { tokens: self.next_token }),
        }
    }

    /// Makes attempts until the generation is complete or refused, or its caller disconnects.
    async fn run_attempts(&mut self) {
        loop {
            let grant = match dispatch::acquire(&self.state, self.criteria.clone()).await {
                Ok(grant) => grant,
                Err(refusal) => {
                    return self.refuse(refusal.after_attempts(self.may_have_run)).await;
                }
            };
            let name = grant.upstream.name().to_owned();
            let end = self.run_attempt(grant).await;
            let failure = match end {
                AttemptEnd::Complete | AttemptEnd::CallerDisconnected => return,
                AttemptEnd::Failed(failure) => failure,
            };
            self.avoid_upstream(name);
            if let Some(refusal) = self.handle_failure(&failure) {
                return self.refuse(refusal).await;
            }
        }
    }

    /// Excludes an upstream on which the request failed from further attempts. If no known upstream
    /// is left, only this one stays excluded.
    fn avoid_upstream(&mut self, failed: String) {
        self.criteria.avoid.push(failed.clone());
        if search::is_unservable(&self.state, &self.criteria) {
            self.criteria.avoid = vec![failed];
        }
    }

    /// Sends the request to an upstream and forwards its tokens.
    async fn run_attempt(&mut self, grant: search::Grant) -> AttemptEnd {
        self.attempts += 1;
        let search::Grant { upstream, lease, entry } = grant;
        let mut attempt = match (&upstream, lease.zip(entry)) {
            (search::Upstream::Replica(replica), Some(guards)) => {
                Some(engine_attempt::Attempt::new(
                    &self.state,
                    replica.clone(),
                    self.attempt_id(),
                    guards,
                ))
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
            Ok(chunks) => self.forward_tokens(chunks, attempt.as_mut()).await,
            Err(error) => {
                self.may_have_run |= error.outcome() != Outcome::NotRun;
                (AttemptEnd::Failed(self.failure(&error)), Some(error))
            }
        };
        if let Some(attempt) = attempt {
            self.record_sample(upstream.name(), sent, error.as_ref());
            end_attempt(attempt, &end, error).await;
        }
        end
    }

    async fn send(&self, upstream: &search::Upstream) -> Result<generate::Chunks, error::Error> {
        let engines = &self.state.engines;
        match upstream {
            search::Upstream::Replica(replica) => {
                engines
                    .generate(&replica.address, &self.engine_request(replica), HEAD_TIMEOUT)
                    .await
            }
            search::Upstream::Node(node) => {
                let headers = remote::headers(&self.state, &self.request.context);
                let wait = self.criteria.deadline.saturating_sub(self.state.now());
                engines
                    .relay(&node.address, &self.relay_request(wait), headers, wait + HEAD_TIMEOUT)
                    .await
            }
            search::Upstream::Plain(_) => unreachable!("plain hosts serve no models"),
        }
    }

    /// Forwards the tokens of an upstream to the caller until the stream ends.
    async fn forward_tokens(
        &mut self,
        mut chunks: generate::Chunks,
        mut attempt: Option<&mut engine_attempt::Attempt>,
    ) -> (AttemptEnd, Option<error::Error>) {
        self.may_have_run = true;
        while let Some(chunk) = chunks.next().await {
            let event = match chunk {
                Ok(generate::Chunk::Token(token)) => {
                    self.record_token(token.index);
                    if let Some(attempt) = &mut attempt {
                        attempt.record_progress(chunks.tokens());
                    }
                    backend::Event::Token(token.text)
                }
                Ok(generate::Chunk::Finish(finish)) => {
                    self.emit(Kind::RequestCompleted {
                        tokens: self.next_token,
                        after_ms: self.age_ms(),
                    });
                    let event = backend::Event::Finish(self.finish(&finish));
                    let _ = self.sender.send(event).await;
                    return (AttemptEnd::Complete, None);
                }
                Err(error) => return (AttemptEnd::Failed(self.failure(&error)), Some(error)),
            };
            if self.sender.send(event).await.is_err() {
                return (AttemptEnd::CallerDisconnected, None);
            }
        }
        let reason = "the token stream ended without a finish chunk".to_owned();
        (AttemptEnd::Failed(Failure { report: self.broken_report(), reason }), None)
    }

    /// Records the result of an attempt on a replica for outlier detection. Lost and silent
    /// connections don't count as failures: the host may still be healthy, and if it isn't, failed
    /// health checks take it out of routing.
    fn record_sample(&mut self, group: &str, sent: Duration, error: Option<&error::Error>) {
        let sample = match (error, self.first.take()) {
            (Some(error::Error::Answer(_) | error::Error::Malformed { .. }), _) => {
                outlier::Sample::Failed
            }
            (_, Some(first)) => outlier::Sample::Answered(first.saturating_sub(sent)),
            (_, None) => return,
        };
        self.state.outliers.record(&self.request.model, group, sample);
    }

    /// Records the arrival of a token, and emits an event for the first token of the generation.
    fn record_token(&mut self, index: u64) {
        self.first.get_or_insert(self.state.now());
        if self.next_token == self.request.resume_at {
            self.emit(Kind::RequestFirstToken { after_ms: self.age_ms() });
        }
        self.next_token = index + 1;
    }

    /// Decides whether another attempt follows a failure; returns the refusal if none does.
    fn handle_failure(&mut self, failure: &Failure) -> Option<Refusal> {
        let now = self.state.now();
        let state = attempt::State {
            semantics: attempt::Semantics::Generation,
            attempts: self.attempts,
            max_attempts: attempt::DEFAULT_MAX_ATTEMPTS,
            deadline: self.started + RETRY_WINDOW,
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
                let upstream = self.criteria.avoid.last().cloned().unwrap_or_default();
                self.emit(Kind::RequestResumed { upstream, token: u64::from(at), reason });
                self.criteria.deadline = now + self.state.settings.limits.queue_timeout;
                self.criteria.waits_until_deadline = true;
                None
            }
            attempt::Decision::Refuse(refusal) => Some(refusal),
            attempt::Decision::Finish(_) => None,
        }
    }

    /// Records a refusal and sends it to the caller.
    async fn refuse(&self, refusal: Refusal) {
        self.emit(report::refusal_event(&refusal));
        let _ = self.sender.send(backend::Event::Failed(refusal)).await;
    }
}

/// Access
impl Execution {
    /// Returns the request to the engine of a replica.
    fn engine_request(&self, replica: &replica::Replica) -> generate::Request {
        generate::Request {
            request: self.attempt_id(),
            group: replica.group.clone(),
            generation: replica.generation,
            version: replica.version.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: u64::from(self.request.max_tokens),
            priority: i64::from(self.request.context.priority),
            resume_at: self.next_token,
            fingerprint: self.fingerprint(),
        }
    }

    /// Returns the id of the present attempt, so that a late cancel request for an earlier attempt
    /// can't cancel this one.
    fn attempt_id(&self) -> String {
        let (request, node) = (&self.request.context.request, &self.state.settings.node);
        format!("{request}.{node}.{}", self.attempts)
    }

    /// Returns the fingerprint of the request, in hexadecimal.
    fn fingerprint(&self) -> String {
        match &self.criteria.target {
            search::Target::Model(it) => quarantine::to_hex(it.fingerprint),
            search::Target::Plain(_) => String::new(),
        }
    }

    /// Returns the request to another node, which may queue it for up to `wait`.
    fn relay_request(&self, wait: Duration) -> relay::Request {
        relay::Request {
            model: self.request.model.clone(),
            version: self.request.version.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            resume_at: self.next_token,
            wait,
        }
    }

    /// Returns the failure of an attempt that ended with an error.
    fn failure(&self, error: &error::Error) -> Failure {
        let report = match error.outcome() {
            Outcome::NotRun if self.next_token == 0 => attempt::Report::NotRun,
            _ => self.broken_report(),
        };
        Failure { report, reason: error.to_string() }
    }

    /// Returns the report of an attempt whose stream broke after the tokens received so far.
    fn broken_report(&self) -> attempt::Report {
        attempt::Report::Broken(u32::try_from(self.next_token).unwrap_or(u32::MAX))
    }

    /// Converts the end of an engine's stream to the final event for the caller.
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
            tokens: count(self.next_token),
        }
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.request.context.request, kind);
    }

    /// Returns the time since the start of the generation, in milliseconds.
    fn age_ms(&self) -> u64 {
        self.state.now().saturating_sub(self.started).as_millis() as u64
    }
}

/// Ends an attempt on an engine according to its result.
async fn end_attempt(
    attempt: engine_attempt::Attempt,
    end: &AttemptEnd,
    error: Option<error::Error>,
) {
    match (end, error) {
        (AttemptEnd::Complete, _) => attempt.complete(),
        (_, Some(error::Error::Connect { .. })) => attempt.end_unreachable(),
        (_, Some(error)) if engine_attempt::is_disconnect(&error) => {
            attempt.end_disconnected().await;
        }
        (_, Some(error::Error::Refused(_))) => attempt.end_not_run(),
        _ => drop(attempt),
    }
}
