//! Runs a call of a plain service: attempts, whole answers, at most once where it can't be repeated.

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

/// Largest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// One call on its way.
struct Job {
    state: Arc<state::State>,
    call: backend::Call,
    work: attempt::Semantics,
    timeout: Duration,
    begun: Duration,
    deadline: Duration,
    attempts: u32,
    may_have_run: bool,
    /// Hash of the idempotency key that was claimed for the call.
    key: Option<key::Hash>,
    _place: lease::Place,
}

/// A failed attempt.
struct Failure {
    report: attempt::Report,
    reason: String,
}

/// Runs a call until it is answered or refused. One with an idempotency key that isn't safe goes
/// through the claim of its key, at the node where it arrived first.
///
/// # Errors
///
/// The refusal, which says truthfully whether the call ran.
pub async fn run(
    state: Arc<state::State>,
    service: &catalog::Plain,
    call: backend::Call,
    place: lease::Place,
) -> Result<backend::Answer, Refusal> {
    let claims = !call.method.is_safe() && call.context.relay.is_none();
    match call.key.clone().filter(|_| claims) {
        Some(key) => once::run(state, service.timeout, call, key, place).await,
        None => attempt(state, service.timeout, call, None, place).await,
    }
}

/// Makes attempts until one is answered or none may follow; `key` is the hash of a key that was
/// claimed for the call.
///
/// # Errors
///
/// The refusal, which says truthfully whether the call ran.
pub async fn attempt(
    state: Arc<state::State>,
    timeout: Duration,
    call: backend::Call,
    key: Option<key::Hash>,
    place: lease::Place,
) -> Result<backend::Answer, Refusal> {
    let begun = state.now();
    let limit = state.settings.limits.queue_timeout;
    let mut job = Job {
        work: work(&call.method),
        timeout,
        begun,
        deadline: begun + call.context.deadline.unwrap_or(limit),
        attempts: 0,
        may_have_run: false,
        key,
        _place: place,
        state,
        call,
    };
    let answer = job.try_all().await;
    job.report(&answer);
    answer
}

/// Safe methods may be repeated; all others run at most once.
fn work(method: &Method) -> attempt::Semantics {
    if method.is_safe() { attempt::Semantics::Idempotent } else { attempt::Semantics::Once }
}

/// Mutation
impl Job {
    async fn try_all(&mut self) -> Result<backend::Answer, Refusal> {
        let mut avoid = Vec::new();
        loop {
            let wish = self.wish(avoid);
            let granted = dispatch::acquire(&self.state, wish).await;
            let granted = granted.map_err(|it| it.after_attempts(self.may_have_run))?;
            self.check_key()?;
            let failure = match self.attempt(&granted.upstream).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            avoid = vec![granted.upstream.name().to_owned()];
            self.decide(failure)?;
        }
    }

    /// Checks that the claim of the call's key still holds.
    fn check_key(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        if self.key.is_none_or(|it| self.state.once.may_send(now, &it)) {
            return Ok(());
        }
        let message = "the claim of the idempotency key is too old";
        Err(Refusal::not_run(Cause::KeyRefused, message).after_attempts(self.may_have_run))
    }

    async fn attempt(&mut self, upstream: &search::Upstream) -> Result<backend::Answer, Failure> {
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

    async fn send(&self, upstream: &search::Upstream) -> Result<backend::Answer, Failure> {
        let (address, request, timeout) = match upstream {
            search::Upstream::Plain(host) => (&host.address, self.request(), self.timeout),
            search::Upstream::Node(node) => {
                let wait = self.deadline.saturating_sub(self.state.now());
                (&node.address, self.relayed(wait), wait + self.timeout)
            }
            search::Upstream::Replica(_) => unreachable!("replicas serve no plain services"),
        };
        let called = self.state.plains.call(address, request, timeout).await;
        let response = called.map_err(|failure| {
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
            Ok(Err(error)) => return Err(unknown(format!("the answer was cut off: {error}"))),
            Err(_) => return Err(unknown("the answer took too long".to_owned())),
        };
        if let search::Upstream::Node(_) = upstream
            && let Some(failure) = relayed_failure(&parts.headers, &body)
        {
            return Err(failure);
        }
        if self.is_empty_look_up(parts.status, &body) {
            return Err(unknown("the answer to a look-up was empty".to_owned()));
        }
        Ok(backend::Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Decides whether to go on after a failure.
    fn decide(&self, failure: Failure) -> Result<(), Refusal> {
        let state = attempt::State {
            semantics: self.work,
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
impl Job {
    fn wish(&self, avoid: Vec<String>) -> search::Wish {
        search::Wish {
            team: self.call.context.team.clone(),
            priority: self.call.context.priority,
            deadline: self.deadline,
            target: search::Target::Plain(self.call.service.clone()),
            avoid,
            spill: self
                .call
                .context
                .relay
                .is_none()
                .then_some(self.begun + self.state.settings.routing.spill),
            patient: self.call.context.waits_until_deadline(),
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = self.call.path.parse().unwrap_or_default();
        *request.headers_mut() = self.call.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.call.context.request) {
            request.headers_mut().insert(cuminward_caller::header::REQUEST, id);
        }
        request
    }

    /// The request as another node takes it.
    fn relayed(&self, wait: Duration) -> Request<Full<Bytes>> {
        let mut request = self.request();
        let path = format!("/services/{}{}", self.call.service, self.call.path);
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.extend(remote::headers(&self.state, &self.call.context));
        let wait_ms = wait.as_millis().max(1) as u64;
        headers.insert(cuminward_caller::header::DEADLINE, HeaderValue::from(wait_ms));
        request
    }

    /// A successful look-up has content, or says by its status that there is none.
    fn is_empty_look_up(&self, status: StatusCode, body: &Bytes) -> bool {
        self.call.method == Method::GET && status == StatusCode::OK && body.is_empty()
    }

    fn report(&self, answer: &Result<backend::Answer, Refusal>) {
        match answer {
            Ok(_) => {
                let after_ms = self.state.now().saturating_sub(self.begun).as_millis() as u64;
                self.emit(Kind::RequestCompleted { tokens: 0, after_ms });
            }
            Err(refusal) => self.emit(report::refused(refusal)),
        }
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.call.context.request, kind);
    }
}

/// The failure that another node reports, if it does.
fn relayed_failure(headers: &HeaderMap, body: &Bytes) -> Option<Failure> {
    let outcome = headers.get(cuminward_caller::header::OUTCOME).map(HeaderValue::as_bytes);
    let report = match outcome {
        Some(b"complete") => return None,
        Some(b"not-run") => attempt::Report::NotRun,
        _ => attempt::Report::Unknown,
    };
    Some(Failure { report, reason: String::from_utf8_lossy(body).into_owned() })
}

fn unknown(reason: String) -> Failure {
    Failure { report: attempt::Report::Unknown, reason }
}

/// Refuses a call of a service that isn't declared, or that the team may not use.
///
/// # Errors
///
/// A refusal that says "not run".
pub fn declared<'a>(
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
