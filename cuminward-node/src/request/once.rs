//! Runs calls with an idempotency key at most once.
//!
//! The node where a call arrived first claims the key, whichever node or failure domain then runs
//! the call; a relayed call doesn't claim it again. The claim is sent to a ledger of the node's own
//! failure domain. The order of the platform's log decides which claim of a key is the first.
//! Repeated calls get the reply from the node that holds the claim.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cuminward_caller::{backend, header};
use cuminward_core::{
    id,
    outcome::{Cause, Outcome, Refusal},
};
use cuminward_event::kind::Kind;
use cuminward_once::{
    claim::{self, Reason, Verdict},
    key,
    mint::{self, Minter},
    reply::{self, Lookup, Reply},
    store::{self, Action, Store},
};
use cuminward_peer::client;
use http::{HeaderName, HeaderValue, StatusCode};
use tokio::sync::Notify;

use crate::{
    control::keys,
    request::{call, lease},
    state,
};

/// Share of a repeated call's remaining time that the node with the claim may wait for the first
/// call to end, in thousandths. The rest is left for the transfer of the reply.
const REPLY_WAIT_PERMILLE: u32 = 900;

/// Idempotency keys of this node: issues keys and stores the state and reply of calls with a key.
pub struct Registry {
    store: Mutex<Store>,
    minter: Mutex<Minter>,
    /// Notified when the state of a call with a key changes: its claim was decided or the call
    /// ended.
    changed: Notify,
}

/// A call with an idempotency key.
struct KeyedCall {
    state: Arc<state::State>,
    call: backend::Call,
    key: id::Key,
    hash: key::Hash,
    fingerprint: reply::Fingerprint,
    timeout: Duration,
    deadline: Duration,
}

/// Result of claiming a key.
enum ClaimOutcome {
    /// The claim is the first; the call may run.
    First,
    /// Another call claimed the key first; this is its answer.
    Repeated(backend::Answer),
}

/// Life cycle
impl Registry {
    /// Makes an empty registry, for a node that has just started.
    pub fn new(node: &str) -> Registry {
        let minter = Minter::new(node.to_owned(), rand::random(), mint::Options::default());
        let store = Store::new(store::Options::default());
        Registry { store: Mutex::new(store), minter: Mutex::new(minter), changed: Notify::new() }
    }
}

/// Access
impl Registry {
    /// Issues a key to a team.
    pub fn mint(&self, team: &str) -> id::Key {
        self.minter().mint(state::unix_time(), team, rand::random())
    }

    /// Returns whether a call whose key was started may be sent to an upstream now.
    pub fn may_send(&self, now: Duration, hash: &key::Hash) -> bool {
        self.store().may_send(now, hash)
    }

    /// Returns the reply of the call with a key, for a repeated call at another node; waits for at
    /// most `wait` if the call is running. A call that did not run isn't sent by this node
    /// afterwards.
    pub async fn wait_for_reply(&self, hash: &key::Hash, wait: Duration) -> Lookup {
        let lookup = async {
            loop {
                let mut changed = pin!(self.changed.notified());
                changed.as_mut().enable();
                match self.store().lookup_and_close(hash) {
                    Lookup::Running => {}
                    lookup => return lookup,
                }
                changed.await;
            }
        };
        tokio::time::timeout(wait, lookup).await.unwrap_or(Lookup::Running)
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no code panics while it has the lock")
    }

    fn minter(&self) -> MutexGuard<'_, Minter> {
        self.minter.lock().expect("no code panics while it has the lock")
    }
}

/// Runs a call, or answers it with the reply of an earlier call with the same key.
///
/// A call that has started continues if its caller disconnects, so that a repeated call gets its
/// reply.
///
/// # Errors
///
/// Returns a refusal whose outcome states whether this call may have run.
pub async fn run(
    state: Arc<state::State>,
    timeout: Duration,
    call: backend::Call,
    key: id::Key,
    in_flight: lease::InFlight,
) -> Result<backend::Answer, Refusal> {
    let wait = call.context.deadline.unwrap_or(state.settings.limits.queue_timeout);
    let keyed_call = KeyedCall {
        hash: key::hash(&call.context.team, &call.service, &key),
        fingerprint: reply::fingerprint(call.method.as_str(), &call.path, &call.body),
        deadline: state.now() + wait + timeout,
        timeout,
        state,
        call,
        key,
    };
    let is_claimed = match keyed_call.begin().await? {
        Action::Held(reply) => return keyed_call.replay(&reply),
        Action::Claim => false,
        Action::Run => true,
        Action::NotRun | Action::Wait | Action::Full => return Err(key_unusable()),
    };
    let task = tokio::spawn(keyed_call.execute(in_flight, is_claimed));
    task.await.unwrap_or_else(|_| Err(outcome_unknown()))
}

/// Execution
impl KeyedCall {
    /// Looks up the key in the node's store. If another call with the key is running, waits until
    /// it has ended or the deadline passes.
    async fn begin(&self) -> Result<Action, Refusal> {
        loop {
            let mut changed = pin!(self.state.once.changed.notified());
            changed.as_mut().enable();
            let now = self.state.now();
            let action = self.state.once.store().begin(now, self.hash);
            match action {
                Action::Wait => {}
                Action::Full => return Err(key_refused(Reason::Overloaded)),
                action => return Ok(action),
            }
            let remaining = self.deadline.saturating_sub(now);
            if tokio::time::timeout(remaining, changed).await.is_err() {
                return Err(outcome_unknown());
            }
        }
    }

    /// Claims the key unless it `is_claimed`, then runs the call and stores its reply.
    async fn execute(
        self,
        in_flight: lease::InFlight,
        is_claimed: bool,
    ) -> Result<backend::Answer, Refusal> {
        if !is_claimed {
            let claimed = self.claim().await;
            self.state.once.changed.notify_waiters();
            if let ClaimOutcome::Repeated(answer) = claimed? {
                return Ok(answer);
            }
        }
        let KeyedCall { state, call, hash, fingerprint, timeout, .. } = self;
        let answer = call::execute(Arc::clone(&state), timeout, call, Some(hash), in_flight).await;
        state.once.finish(state.now(), &hash, fingerprint, &answer);
        answer
    }

    /// Claims the key: one that a node issued by redeeming it here, any other at a ledger.
    async fn claim(&self) -> Result<ClaimOutcome, Refusal> {
        if let Some(parts) = mint::parse(&self.key) {
            return self.redeem(&parts);
        }
        match self.request_verdict().await {
            Some(Verdict::First { offset }) => {
                self.start()?;
                self.emit(Kind::KeyStarted { key: key::to_hex(&self.hash), offset });
                Ok(ClaimOutcome::First)
            }
            Some(Verdict::Repeated { by }) => {
                self.state.once.store().forget(&self.hash);
                self.fetch_reply(by).await.map(ClaimOutcome::Repeated)
            }
            Some(Verdict::Refused(reason)) => Err(self.refuse(Some(reason))),
            None => Err(self.refuse(None)),
        }
    }

    /// Redeems a key that a node issued, which needs no record in the log.
    fn redeem(&self, parts: &mint::Key) -> Result<ClaimOutcome, Refusal> {
        let team = &self.call.context.team;
        let redemption = self.state.once.minter().redeem(state::unix_time(), team, parts);
        match redemption {
            mint::Redemption::First => self.start().map(|()| ClaimOutcome::First),
            mint::Redemption::Repeated => {
                self.state.once.store().forget(&self.hash);
                Err(outcome_unknown())
            }
            mint::Redemption::Refused(reason) => Err(self.refuse(Some(reason))),
        }
    }

    /// Requests a verdict on the claim from the ledgers of the failure domain. Returns `None` if
    /// the claim may have been recorded although no verdict arrived.
    async fn request_verdict(&self) -> Option<Verdict> {
        let query = self.query_ledgers();
        tokio::time::timeout(claim::START_TIMEOUT, query).await.unwrap_or(None)
    }

    /// Queries the ledgers one after the other until one decides.
    async fn query_ledgers(&self) -> Option<Verdict> {
        let mut may_be_recorded = false;
        let mut last_reason = Reason::LogUnavailable;
        for node in keys::ledger_nodes(&self.state) {
            match self.query_ledger(&node).await {
                Ok(Verdict::Refused(reason)) if !reason.is_recorded() => last_reason = reason,
                Ok(verdict) => return Some(verdict),
                Err(client::Error::UnknownNode | client::Error::Unreachable { .. }) => {}
                Err(client::Error::Timeout | client::Error::Failed { .. }) => {
                    may_be_recorded = true;
                }
            }
        }
        (!may_be_recorded).then_some(Verdict::Refused(last_reason))
    }

    /// Queries the ledger of a node, which may be this one.
    async fn query_ledger(&self, node: &id::Node) -> Result<Verdict, client::Error> {
        let own = &self.state.settings.node;
        let claim = claim::Claim { hash: self.hash, issuer: own.clone() };
        if node == own {
            return Ok(self.state.keys.claim(claim).await);
        }
        let verdicts = self.state.pool.claim_keys(node, vec![claim]).await?;
        let missing = || client::Error::Failed { message: "no verdict".to_owned() };
        verdicts.into_iter().next().ok_or_else(missing)
    }

    /// Gets the reply of the first call from the node that holds the claim.
    async fn fetch_reply(&self, by: id::Node) -> Result<backend::Answer, Refusal> {
        self.emit(Kind::KeyRepeated { key: key::to_hex(&self.hash), by: by.clone() });
        let wait = self.deadline.saturating_sub(self.state.now()) * REPLY_WAIT_PERMILLE / 1_000;
        match self.state.pool.reply(&by, self.hash, wait).await {
            Ok(Lookup::Held(reply)) => self.replay(&reply),
            Ok(Lookup::NotRun) => Err(key_unusable()),
            Ok(Lookup::Running | Lookup::Unknown) | Err(_) => Err(outcome_unknown()),
        }
    }

    /// Marks the key as started in the store, which is the last check before the call may be sent.
    fn start(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        let is_started = self.state.once.store().start(now, &self.hash);
        if is_started { Ok(()) } else { Err(key_unusable()) }
    }

    /// Marks the key as refused in the store, records that and returns the refusal. `None` means
    /// that no verdict arrived.
    fn refuse(&self, reason: Option<Reason>) -> Refusal {
        self.state.once.store().refuse(self.state.now(), &self.hash, reason);
        let refusal = reason.map_or_else(key_unusable, key_refused);
        let reason = refusal.message.clone();
        self.emit(Kind::KeyRefused { key: key::to_hex(&self.hash), reason });
        refusal
    }

    /// Returns the answer of the first call, or a refusal if that was another request.
    fn replay(&self, reply: &Reply) -> Result<backend::Answer, Refusal> {
        if reply.fingerprint != self.fingerprint {
            let message = "the idempotency key was used with another request";
            return Err(Refusal::not_run(Cause::KeyRefused, message));
        }
        to_answer(reply).ok_or_else(outcome_unknown)
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.call.context.request, kind);
    }
}

/// Mutation
impl Registry {
    /// Stores the result of a call and wakes the calls that wait for it.
    fn finish(
        &self,
        now: Duration,
        hash: &key::Hash,
        fingerprint: reply::Fingerprint,
        answer: &Result<backend::Answer, Refusal>,
    ) {
        match answer {
            Ok(answer) => {
                let reply = Arc::new(to_reply(fingerprint, answer));
                self.store().finish(now, hash, Some(reply));
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => self.store().abort(now, hash),
            Err(_) => self.store().finish(now, hash, None),
        }
        self.changed.notify_waiters();
    }
}

/// Converts an answer to the form in which it is stored.
fn to_reply(fingerprint: reply::Fingerprint, answer: &backend::Answer) -> Reply {
    let header = |(name, value): (&HeaderName, &HeaderValue)| reply::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    Reply {
        fingerprint,
        status: answer.status.as_u16(),
        headers: answer.headers.iter().map(header).collect(),
        body: answer.body.to_vec(),
    }
}

/// Converts a stored reply to an answer with the header that marks a replayed one; returns `None`
/// if the stored status is invalid.
fn to_answer(reply: &Reply) -> Option<backend::Answer> {
    let header = |it: &reply::Header| {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&it.value).ok()?))
    };
    let mut headers: http::HeaderMap = reply.headers.iter().filter_map(header).collect();
    headers.insert(header::REPLAYED, HeaderValue::from_static("true"));
    Some(backend::Answer {
        status: StatusCode::from_u16(reply.status).ok()?,
        headers,
        body: reply.body.clone().into(),
    })
}

/// Returns the refusal of a call whose key was started, by this call or another, if the outcome of
/// the started call is unknown here.
fn outcome_unknown() -> Refusal {
    Refusal::unknown(Cause::KeyStarted, "started; outcome unknown")
}

/// Returns the refusal of a call that did not run and whose key can't be started any more. The
/// verdict may be lost, so the refusal doesn't show whether earlier calls ran.
fn key_unusable() -> Refusal {
    let message = "this call did not run, and the key can't be started any more";
    Refusal::not_run(Cause::KeyRefused, message)
}

/// Returns the refusal of a call whose key was refused before it was started.
fn key_refused(reason: Reason) -> Refusal {
    let cause = match reason {
        Reason::LogUnavailable | Reason::WindowIncomplete => Cause::Unavailable,
        Reason::Overloaded => Cause::Overloaded,
        Reason::TimedOut | Reason::Expired | Reason::Foreign => Cause::KeyRefused,
    };
    let refusal = Refusal::not_run(cause, reason.as_str());
    let may_repeat = cause != Cause::KeyRefused;
    if may_repeat { refusal.retry_after(1) } else { refusal }
}
