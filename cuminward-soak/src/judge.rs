//! The promises, checked from what callers sent and got and from what hosts ran.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use cuminward_adapter_fake::cluster::Run;

/// What kind of request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Idempotent,
    /// It runs once at most.
    Once,
    /// Its answer is a stream of events that can be resumed.
    Stream,
}

/// A request that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// Identity.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Got {
    /// Status.
    pub status: u16,
    /// Whether a host vouches for the answer.
    pub is_signed: bool,
    /// Body, up to where it broke off.
    pub body: String,
    /// Whether the body is complete.
    pub is_complete: bool,
}

/// Team that the callers' key belongs to.
pub const TEAM: &str = "team";

/// Statuses that promise that the request didn't run and won't.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses that no request of the soak deserves.
const DENIALS: [u16; 4] = [400, 401, 403, 404];

/// What was seen.
#[derive(Debug, Default)]
pub struct Judge {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    sent: HashMap<String, Sent>,
    /// Statuses of the requests that were refused.
    refused: HashMap<String, u16>,
    answered: u64,
    failed: u64,
    violations: Vec<String>,
}

/// Requests by how they ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Answered with success, whole.
    pub answered: u64,
    /// Refused with a promise.
    pub refused: u64,
    /// Ended in another way.
    pub failed: u64,
}

/// Access
impl Judge {
    /// Requests by how they ended.
    pub fn counts(&self) -> Counts {
        let inner = self.lock();
        let (sent, refused) = (inner.sent.len() as u64, inner.refused.len() as u64);
        Counts { sent, answered: inner.answered, refused, failed: inner.failed }
    }

    /// Promises that were broken, those that only all runs together show included.
    pub fn violations(&self, runs: &[Run]) -> Vec<String> {
        let inner = self.lock();
        let mut violations = inner.violations.clone();
        let mut count: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            *count.entry(&run.request).or_default() += 1;
            match inner.sent.get(&run.request) {
                None => violations.push(format!("UNASKED: nobody sent {run:?}")),
                Some(sent) => violations.extend(alteration(sent, run)),
            }
        }
        for sent in inner.sent.values().filter(|it| it.kind == Kind::Once) {
            let ran = count.get(sent.id.as_str()).copied().unwrap_or(0);
            if ran > 1 {
                violations.push(format!("TWICE: {} ran {ran} times", sent.id));
            }
            if let Some(status) = inner.refused.get(&sent.id).filter(|_| ran > 0) {
                violations.push(format!("REFUSED: {} was answered {status} and ran", sent.id));
            }
        }
        violations
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Judge {
    /// Notes a request before it is sent.
    pub fn send(&self, sent: Sent) {
        self.lock().sent.insert(sent.id.clone(), sent);
    }

    /// Notes what came of a request; `None` if its connection ended without an answer. Streams have
    /// `events` events.
    pub fn get(&self, sent: &Sent, got: Option<&Got>, events: u64) {
        let mut inner = self.lock();
        let Some(got) = got else {
            inner.failed += 1;
            return;
        };
        if PROMISES.contains(&got.status) {
            inner.refused.insert(sent.id.clone(), got.status);
            return;
        }
        if DENIALS.contains(&got.status) {
            inner.violations.push(format!("DENIED: {} was answered {}", sent.id, got.status));
        }
        if !(200..300).contains(&got.status) {
            inner.failed += 1;
            return;
        }
        match fault(sent, got, events) {
            Some(fault) => inner.violations.push(fault),
            None if got.is_complete => inner.answered += 1,
            None => inner.failed += 1,
        }
    }

    /// Notes a promise that was broken otherwise.
    pub fn accuse(&self, violation: String) {
        self.lock().violations.push(violation);
    }
}

/// What is wrong with a run of a request.
fn alteration(sent: &Sent, run: &Run) -> Option<String> {
    let is_same = sent.line == run.request_line && sent.body.as_bytes() == run.body.as_ref();
    if !is_same {
        return Some(format!("UNASKED: {sent:?} ran as {run:?}"));
    }
    let is_own = run.team.as_deref() == Some(TEAM);
    (!is_own).then(|| format!("UNASKED: {} ran for the team {:?}", sent.id, run.team))
}

/// What is wrong with an answer that says success.
fn fault(sent: &Sent, got: &Got, events: u64) -> Option<String> {
    if !got.is_signed {
        return Some(format!("MIXED: nobody vouches for the answer to {}", sent.id));
    }
    if sent.kind == Kind::Stream {
        let last = last_event(&sent.id, &got.body);
        return match last {
            None => Some(format!("ORDER: {} got {:?}", sent.id, got.body)),
            Some(last) if got.is_complete && last != events => {
                Some(format!("ORDER: {} was complete after event {last}", sent.id))
            }
            Some(_) => None,
        };
    }
    let whole = format!("answer {}", sent.id);
    let is_right = if got.is_complete { got.body == whole } else { whole.starts_with(&got.body) };
    (!is_right).then(|| format!("MIXED: {} got {:?}", sent.id, got.body))
}

/// Number of the last whole event; `None` if an event is missing, comes twice or is another request's.
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
