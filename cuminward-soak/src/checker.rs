//! Checks the guarantees to callers and upstreams, from the requests that callers sent, the replies that
//! they received, and the runs that hosts recorded.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use cuminward_adapter_fake::cluster::Run;
use tokio::time::Instant;

use crate::caller::Try;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run several times.
    Idempotent,
    /// Must run at most once.
    Once,
    /// Is answered with a stream of events that can be resumed.
    Stream,
    /// Is answered with such a stream, and is sent to one host only.
    SingleStream,
}

/// Access
impl Kind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self, Kind::Stream | Kind::SingleStream)
    }
}

/// A request that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Method, path and query, separated as in an HTTP request line.
    pub line: String,
    /// Body of the request.
    pub body: String,
}

/// An answer that a caller received, perhaps only in part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Whether the answer has the header that proves that a host produced it.
    pub is_stamped: bool,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

/// Team that the callers' key belongs to.
pub const TEAM: &str = "team";

/// HTTP statuses that guarantee that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// HTTP statuses that none of the soak's valid requests should receive.
const UNEXPECTED_STATUSES: [u16; 4] = [400, 401, 403, 404];

/// Records requests and replies, and detects violations of the guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sent: HashMap<String, Request>,
    /// Requests refused with the guarantee that they don't run.
    refused: HashMap<String, Refusal>,
    answered: u64,
    failed: u64,
    tries: Vec<Try>,
    violations: Vec<String>,
}

/// The guarantee that a request doesn't run unless its caller sends it again.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    status: u16,
    /// When the caller began to send the request again, if it did.
    repeated: Option<Instant>,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Those of them that must run at most once.
    pub once: u64,
    /// Requests sent again after they were refused.
    pub repeated: u64,
    /// Requests answered successfully and completely.
    pub answered: u64,
    /// Requests refused with the guarantee that they don't run.
    pub refused: u64,
    /// Requests that failed in another way.
    pub failed: u64,
}

/// Access
impl Checker {
    /// Returns the numbers of requests by outcome.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        let refused = state.refused.values().filter(|it| it.repeated.is_none()).count() as u64;
        let repeated = state.refused.len() as u64 - refused;
        let once = state.sent.values().filter(|it| it.kind == Kind::Once).count() as u64;
        let (sent, answered, failed) = (state.sent.len() as u64, state.answered, state.failed);
        Counts { sent, once, repeated, answered, refused, failed }
    }

    /// Returns the requests that were sent to nodes, as their callers saw them.
    pub fn tries(&self) -> Vec<Try> {
        self.lock().tries.clone()
    }

    /// Returns all violations: the recorded ones and those that follow from `runs`, the runs of all hosts.
    pub fn violations(&self, runs: &[Run]) -> Vec<String> {
        let state = self.lock();
        let mut violations = state.violations.clone();
        let mut began: HashMap<&str, Vec<Instant>> = HashMap::new();
        for run in runs {
            began.entry(&run.request).or_default().push(run.began);
            match state.sent.get(&run.request) {
                None => violations.push(format!("UNASKED: nobody sent {run:?}")),
                Some(sent) => violations.extend(check_run(sent, run)),
            }
        }
        for sent in state.sent.values().filter(|it| it.kind == Kind::Once) {
            let began = began.get(sent.id.as_str()).map_or(&[][..], Vec::as_slice);
            if began.len() > 1 {
                violations.push(format!("TWICE: {} ran {} times", sent.id, began.len()));
            }
            let refusal = state.refused.get(&sent.id);
            if let Some(refusal) = refusal.filter(|it| began.iter().any(|at| it.rules_out(*at))) {
                let status = refusal.status;
                violations.push(format!("REFUSED: {} was answered {status} and ran", sent.id));
            }
        }
        violations
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Access
impl Refusal {
    /// Returns whether the guarantee rules out that the request begins to run at a time.
    fn rules_out(&self, began: Instant) -> bool {
        self.repeated.is_none_or(|it| began < it)
    }
}

/// Mutation
impl Checker {
    /// Records a request; has to be called before the request is sent, also if it is sent again.
    pub fn record_request(&self, sent: Request) {
        let mut state = self.lock();
        if let Some(refusal) = state.refused.get_mut(&sent.id) {
            refusal.repeated = Some(Instant::now());
        }
        state.sent.insert(sent.id.clone(), sent);
    }

    /// Records and checks the reply to a request; `None` if no answer was received. A complete stream has
    /// `events` events.
    pub fn record_reply(&self, sent: &Request, reply: Option<&Reply>, events: u64) {
        let mut state = self.lock();
        let Some(reply) = reply else {
            state.failed += 1;
            return;
        };
        if is_refusal(reply.status) {
            let refusal = Refusal { status: reply.status, repeated: None };
            state.refused.insert(sent.id.clone(), refusal);
            return;
        }
        if UNEXPECTED_STATUSES.contains(&reply.status) {
            state.violations.push(format!("DENIED: {} was answered {}", sent.id, reply.status));
        }
        if !(200..300).contains(&reply.status) {
            state.failed += 1;
            return;
        }
        match check_reply(sent, reply, events) {
            Some(violation) => state.violations.push(violation),
            None if reply.is_complete => state.answered += 1,
            None => state.failed += 1,
        }
    }

    /// Records a request as its caller saw it.
    pub fn record_try(&self, it: Try) {
        self.lock().tries.push(it);
    }

    /// Records a violation that was detected elsewhere.
    pub fn record_violation(&self, violation: String) {
        self.lock().violations.push(violation);
    }
}

/// Returns whether a status guarantees that the request has not run and will not run.
pub fn is_refusal(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Checks that a host ran a request as its caller sent it and for the caller's team; returns the violation.
fn check_run(sent: &Request, run: &Run) -> Option<String> {
    let is_same = sent.line == run.request_line && sent.body.as_bytes() == run.body.as_ref();
    if !is_same {
        return Some(format!("UNASKED: {sent:?} ran as {run:?}"));
    }
    let is_own = run.team.as_deref() == Some(TEAM);
    (!is_own).then(|| format!("UNASKED: {} ran for the team {:?}", sent.id, run.team))
}

/// Checks a reply with a success status; returns the violation.
fn check_reply(sent: &Request, reply: &Reply, events: u64) -> Option<String> {
    if !reply.is_stamped {
        return Some(format!("MIXED: nobody vouches for the answer to {}", sent.id));
    }
    if sent.kind.is_stream() {
        let last = last_event(&sent.id, &reply.body);
        return match last {
            None => Some(format!("ORDER: {} got {:?}", sent.id, reply.body)),
            Some(last) if reply.is_complete && last != events => {
                Some(format!("ORDER: {} was complete after event {last}", sent.id))
            }
            Some(_) => None,
        };
    }
    let expected = format!("answer {}", sent.id);
    let is_valid =
        if reply.is_complete { reply.body == expected } else { expected.starts_with(&reply.body) };
    (!is_valid).then(|| format!("MIXED: {} got {:?}", sent.id, reply.body))
}

/// Returns the number of the last complete event; `None` if an event is missing, duplicated or belongs to
/// another request.
fn last_event(id: &str, body: &str) -> Option<u64> {
    let mut last = 0;
    let mut rest = body;
    while let Some((event, after)) = rest.split_once("\n\n") {
        last += 1;
        if event != format!("id: {last}\ndata: {id} {last}") {
            return None;
        }
        rest = after;
    }
    Some(last)
}
