//! Runs a call of a plain service: makes attempts and buffers the whole answer. A call that isn't
//! safe to repeat runs at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_caller::backend;
use cuminward_core::{
    catalog,
    outcome::{Cause, Outcome, Refusal},
};
use cuminward_event::kind::Kind;
use cuminward_once::key;
use cuminward_route::attempt;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    request::{dispatch, lease, once, remote, report, search},
    state,
};

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A call in progress.
struct Execution {
    state: Arc<state::State>,
    call: backend::Call,
    semantics: attempt::Semantics,
    timeout: Duration,
    started: Duration,
    deadline: Duration,
    attempts: u32,
    may_have_run: bool,
    /// Hash of the idempotency key that was claimed for the call.
    key: Option<key::Hash>,
    _in_flight: lease::InFlight,
}

/// A failed attempt.
struct Failure {
    report: attempt::Report,
    reason: String,
}

/// Runs a call until it is answered or refused. A call with an unsafe method and an idempotency key
/// first claims the key, unless it was relayed: the node where it arrived first has claimed the key
/// already.
///
/// # Errors
///
/// Returns a refusal whose outcome states whether the call may have run.
pub async fn run(
    state: Arc<state::State>,
    service: &catalog::Plain,
    call: backend::Call,
    in_flight: lease::InFlight,
) -> Result<backend::Answer, Refusal> {
    let must_claim = !call.method.is_safe() && call.context.relay.is_none();
    match call.key.clone().filter(|_| must_claim) {
        Some(key) => once::run(state, service.timeout, call, key, in_flight).await,
        None => execute(state, service.timeout, call, None, in_flight).await,
    }
}

/// Makes attempts until one is answered or no other may follow. `key` is the hash of the
/// idempotency key that was claimed for the call.
///
/// # Errors
///
/// Returns a refusal whose outcome states whether the call may have run.
pub async fn execute(
    state: Arc<state::State>,
    timeout: Duration,
    call: backend::Call,
    key: Option<key::Hash>,
    in_flight: lease::InFlight,
) -> Result<backend::Answer, Refusal> {
    let started = state.now();
    let limit = state.settings.limits.queue_timeout;
    let mut execution = Execution {
        semantics: semantics(&call.method),
        timeout,
        started,
        deadline: started + call.context.deadline.unwrap_or(limit),
        attempts: 0,
        may_have_run: false,
        key,
        _in_flight: in_flight,
        state,
        call,
    };
    let answer = execution.run_attempts().await;
    execution.record_result(&answer);
    answer
}

/// Returns the retry semantics of a method: safe methods may be repeated, all others run at most
/// once.
fn semantics(method: &Method) -> attempt::Semantics {
    if method.is_safe() { attempt::Semantics::Idempotent } else { attempt::Semantics::Once }
}

/// Mutation
impl Execution {
    /// Makes attempts until one is answered or no other may follow.
    async fn run_attempts(&mut self) -> Result<backend::Answer, Refusal> {
        let mut avoid = Vec::new();
        loop {
            let criteria = self.criteria(avoid);
            let grant = dispatch::acquire(&self.state, criteria).await;
            let grant = grant.map_err(|it| it.after_attempts(self.may_have_run))?;
            self.check_key()?;
            let failure = match self.run_attempt(&grant.upstream).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            avoid = vec![grant.upstream.name().to_owned()];
            self.handle_failure(failure)?;
        }
    }

    /// Checks that the claim of the call's idempotency key still permits sending the call.
    fn check_key(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        if self.key.is_none_or(|it| self.state.once.may_send(now, &it)) {
            return Ok(());
        }
        let message = "the claim of the idempotency key is too old";
        Err(Refusal::not_run(Cause::KeyRefused, message).after_attempts(self.may_have_run))
    }

    /// Makes one attempt and records it.
    async fn run_attempt(
        &mut self,
        upstream: &search::Upstream,
    ) -> Result<backend::Answer, Failure> {
        self.attempts += 1;
        self.emit(Kind::RequestRouted {
            upstream: upstream.name().to_owned(),
            domain: upstream.domain(&self.state).to_owned(),
            attempt: u64::from(self.attempts),
        });
        let failure = match self.send(upstream).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        self.may_have_run |= failure.report != attempt::Report::NotRun;
        Err(failure)
    }

    /// Sends the call to an upstream and reads the whole answer.
    async fn send(&self, upstream: &search::Upstream) -> Result<backend::Answer, Failure> {
        let (address, request, timeout) = match upstream {
            search::Upstream::Plain(host) => (&host.address, self.build_request(), self.timeout),
            search::Upstream::Node(node) => {
                let wait = self.deadline.saturating_sub(self.state.now());
                (&node.address, self.relay_request(wait), wait + self.timeout)
            }
            search::Upstream::Replica(_) => unreachable!("replicas serve no plain services"),
        };
        let result = self.state.plains.call(address, request, timeout).await;
        let response = result.map_err(|failure| {
            let report = match failure.error.outcome() {
                Outcome::NotRun => attempt::Report::NotRun,
                _ => attempt::Report::Unknown,
            };
            Failure { report, reason: failure.error.to_string() }
        })?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = match tokio::time::timeout(self.timeout, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                return Err(unknown_failure(format!("the answer was cut off: {error}")));
            }
            Err(_) => return Err(unknown_failure("the answer took too long".to_owned())),
        };
        if let search::Upstream::Node(_) = upstream
            && let Some(failure) = relay_failure(&parts.headers, &body)
        {
            return Err(failure);
        }
        if self.is_empty_get(parts.status, &body) {
            return Err(unknown_failure("the answer to a look-up was empty".to_owned()));
        }
        Ok(backend::Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Decides whether another attempt follows a failure.
    ///
    /// # Errors
    ///
    /// Returns the refusal if none does.
    fn handle_failure(&self, failure: Failure) -> Result<(), Refusal> {
        let state = attempt::State {
            semantics: self.semantics,
            attempts: self.attempts,
            max_attempts: attempt::DEFAULT_MAX_ATTEMPTS,
            deadline: self.deadline,
            may_have_run: self.may_have_run,
        };
        let now = self.state.now();
        match attempt::decide(&state, failure.report, &self.state.retry_budget, now) {
            attempt::Decision::Refuse(mut refusal) => {
                refusal.message = format!("{}: {}", refusal.message, failure.reason);
                Err(refusal)
            }
            _ => {
                let attempt = u64::from(self.attempts);
                self.emit(Kind::RequestRetried { attempt, reason: failure.reason });
                Ok(())
            }
        }
    }
}

/// Access
impl Execution {
    /// Returns the criteria of the upstream; `avoid` names those that aren't chosen.
    fn criteria(&self, avoid: Vec<String>) -> search::Criteria {
        search::Criteria {
            team: self.call.context.team.clone(),
            priority: self.call.context.priority,
            deadline: self.deadline,
            target: search::Target::Plain(self.call.service.clone()),
            avoid,
            spillover_at: self
                .call
                .context
                .relay
                .is_none()
                .then_some(self.started + self.state.settings.routing.spill),
            waits_until_deadline: self.call.context.waits_until_deadline(),
        }
    }

    /// Returns the request to a host of the service.
    fn build_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = self.call.path.parse().unwrap_or_default();
        *request.headers_mut() = self.call.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.call.context.request) {
            request.headers_mut().insert(cuminward_caller::header::REQUEST, id);
        }
        request
    }

    /// Returns the request to another node, which may queue it for up to `wait`.
    fn relay_request(&self, wait: Duration) -> Request<Full<Bytes>> {
        let mut request = self.build_request();
        let path = format!("/services/{}{}", self.call.service, self.call.path);
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.extend(remote::headers(&self.state, &self.call.context));
        let wait_ms = wait.as_millis().max(1) as u64;
        headers.insert(cuminward_caller::header::DEADLINE, HeaderValue::from(wait_ms));
        request
    }

    /// Returns whether the answer to a GET request is empty although its status is 200. A
    /// successful GET has content, or a status that means that there is none.
    fn is_empty_get(&self, status: StatusCode, body: &Bytes) -> bool {
        self.call.method == Method::GET && status == StatusCode::OK && body.is_empty()
    }

    /// Records the result of the call.
    fn record_result(&self, answer: &Result<backend::Answer, Refusal>) {
        match answer {
            Ok(_) => {
                let after_ms = self.state.now().saturating_sub(self.started).as_millis() as u64;
                self.emit(Kind::RequestCompleted { tokens: 0, after_ms });
            }
            Err(refusal) => self.emit(report::refusal_event(refusal)),
        }
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.call.context.request, kind);
    }
}

/// Returns the failure that another node reports in the headers of its answer, or `None` if the
/// call was answered.
fn relay_failure(headers: &HeaderMap, body: &Bytes) -> Option<Failure> {
    let outcome = headers.get(cuminward_caller::header::OUTCOME).map(HeaderValue::as_bytes);
    let report = match outcome {
        Some(b"complete") => return None,
        Some(b"not-run") => attempt::Report::NotRun,
        _ => attempt::Report::Unknown,
    };
    Some(Failure { report, reason: String::from_utf8_lossy(body).into_owned() })
}

fn unknown_failure(reason: String) -> Failure {
    Failure { report: attempt::Report::Unknown, reason }
}

/// Finds the declaration of a service that a team calls.
///
/// # Errors
///
/// Returns a refusal with the outcome "not run" if the service isn't declared or the team may not
/// use it.
pub fn find_service<'a>(
    catalog: &'a catalog::Catalog,
    service: &str,
    team: &str,
) -> Result<&'a catalog::Plain, Refusal> {
    let declared = catalog.plains.get(service).ok_or_else(|| {
        Refusal::not_run(Cause::NotFound, format!("the service `{service}` is not declared"))
    })?;
    if !declared.teams.contains(team) {
        let message = format!("the team may not use `{service}`");
        return Err(Refusal::not_run(Cause::Forbidden, message));
    }
    Ok(declared)
}
