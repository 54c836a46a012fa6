//! Runs calls with an idempotency key at most once.
//!
//! The node where a call arrived first claims its key, whichever node or failure domain then runs
//! it: a relayed call is not claimed again. The claim goes to the ledgers of the node's own failure
//! domain; which claim of a key is the first is decided by the order of the platform's log. Repeats
//! are answered by the node that holds the claim.

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

/// Part of the time for a repeat that the other node may wait; the rest is for its answer.
const ASK_PERMILLE: u32 = 900;

/// Keys of this node.
pub struct Registry {
    store: Mutex<Store>,
    mint: Mutex<Minter>,
    /// Notified when a request with a key has ended.
    ended: Notify,
}

/// A call with a key.
struct Keyed {
    state: Arc<state::State>,
    call: backend::Call,
    key: id::Key,
    hash: key::Hash,
    fingerprint: reply::Fingerprint,
    timeout: Duration,
    until: Duration,
}

/// What a claim came to.
enum Claimed {
    /// The call may run here.
    First,
    /// The reply of the first call.
    Repeated(backend::Answer),
}

/// Life cycle
impl Registry {
    /// Makes the keys of a node that has started just now.
    pub fn new(node: &str) -> Registry {
        let mint = Minter::new(node.to_owned(), rand::random(), mint::Options::default());
        let store = Store::new(store::Options::default());
        Registry { store: Mutex::new(store), mint: Mutex::new(mint), ended: Notify::new() }
    }
}

/// Access
impl Registry {
    /// Makes a key for a team.
    pub fn mint(&self, team: &str) -> id::Key {
        self.minter().mint(state::unix_time(), team, rand::random())
    }

    /// Tells whether a started call may be sent to an upstream now.
    pub fn may_send(&self, now: Duration, hash: &key::Hash) -> bool {
        self.store().may_send(now, hash)
    }

    /// Answers another node that has a call with the key; waits for a running one for at most
    /// `wait`.
    pub async fn wait_for_reply(&self, hash: &key::Hash, wait: Duration) -> Lookup {
        let answer = async {
            loop {
                let mut ended = pin!(self.ended.notified());
                ended.as_mut().enable();
                match self.store().lookup_and_close(hash) {
                    Lookup::Running => {}
                    lookup => return lookup,
                }
                ended.await;
            }
        };
        tokio::time::timeout(wait, answer).await.unwrap_or(Lookup::Running)
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no code panics while it has the lock")
    }

    fn minter(&self) -> MutexGuard<'_, Minter> {
        self.mint.lock().expect("no code panics while it has the lock")
    }
}

/// Runs a call, or answers it with the reply of an earlier one with the same key.
///
/// A call that has begun goes on when its caller leaves, so that a repeat finds its reply.
///
/// # Errors
///
/// The refusal, which says truthfully whether this call ran.
pub async fn run(
    state: Arc<state::State>,
    timeout: Duration,
    call: backend::Call,
    key: id::Key,
    place: lease::Place,
) -> Result<backend::Answer, Refusal> {
    let wait = call.context.deadline.unwrap_or(state.settings.limits.queue_timeout);
    let keyed = Keyed {
        hash: key::hash(&call.context.team, &call.service, &key),
        fingerprint: reply::fingerprint(call.method.as_str(), &call.path, &call.body),
        until: state.now() + wait + timeout,
        timeout,
        state,
        call,
        key,
    };
    let is_claimed = match keyed.begin().await? {
        Action::Held(reply) => return keyed.replay(&reply),
        Action::Claim => false,
        Action::Run => true,
        Action::NotRun | Action::Wait | Action::Full => return Err(used_up()),
    };
    let running = tokio::spawn(keyed.execute(place, is_claimed));
    running.await.unwrap_or_else(|_| Err(started()))
}

/// Steps
impl Keyed {
    /// Looks at what is known here; waits for another call with the key that is under way.
    async fn begin(&self) -> Result<Action, Refusal> {
        loop {
            let mut ended = pin!(self.state.once.ended.notified());
            ended.as_mut().enable();
            let now = self.state.now();
            let begin = self.state.once.store().begin(now, self.hash);
            match begin {
                Action::Wait => {}
                Action::Full => return Err(refused(Reason::Overloaded)),
                begin => return Ok(begin),
            }
            let left = self.until.saturating_sub(now);
            if tokio::time::timeout(left, ended).await.is_err() {
                return Err(started());
            }
        }
    }

    async fn execute(
        self,
        place: lease::Place,
        is_claimed: bool,
    ) -> Result<backend::Answer, Refusal> {
        if !is_claimed {
            let claimed = self.claim().await;
            self.state.once.ended.notify_waiters();
            if let Claimed::Repeated(answer) = claimed? {
                return Ok(answer);
            }
        }
        let Keyed { state, call, hash, fingerprint, timeout, .. } = self;
        let answer = call::attempt(Arc::clone(&state), timeout, call, Some(hash), place).await;
        state.once.end(state.now(), &hash, fingerprint, &answer);
        answer
    }

    /// Claims the key.
    async fn claim(&self) -> Result<Claimed, Refusal> {
        if let Some(parts) = mint::parse(&self.key) {
            return self.admit(&parts);
        }
        match self.verdict().await {
            Some(Verdict::First { offset }) => {
                self.start()?;
                self.emit(Kind::KeyStarted { key: key::to_hex(&self.hash), offset });
                Ok(Claimed::First)
            }
            Some(Verdict::Repeated { by }) => {
                self.state.once.store().forget(&self.hash);
                self.repeated(by).await.map(Claimed::Repeated)
            }
            Some(Verdict::Refused(reason)) => Err(self.refuse(Some(reason))),
            None => Err(self.refuse(None)),
        }
    }

    /// Takes a key that a node made; it needs no record.
    fn admit(&self, parts: &mint::Key) -> Result<Claimed, Refusal> {
        let team = &self.call.context.team;
        let admission = self.state.once.minter().redeem(state::unix_time(), team, parts);
        match admission {
            mint::Redemption::First => self.start().map(|()| Claimed::First),
            mint::Redemption::Repeated => {
                self.state.once.store().forget(&self.hash);
                Err(started())
            }
            mint::Redemption::Refused(reason) => Err(self.refuse(Some(reason))),
        }
    }

    /// Asks the ledgers of the failure domain, one after the other, until one decides; `None` if the
    /// claim may be recorded without a verdict.
    async fn verdict(&self) -> Option<Verdict> {
        let asking = self.ask_ledgers();
        tokio::time::timeout(claim::START_TIMEOUT, asking).await.unwrap_or(None)
    }

    async fn ask_ledgers(&self) -> Option<Verdict> {
        let mut may_be_recorded = false;
        let mut last = Reason::LogUnavailable;
        for node in keys::ledger_nodes(&self.state) {
            match self.ask_ledger(&node).await {
                Ok(Verdict::Refused(reason)) if !reason.is_recorded() => last = reason,
                Ok(verdict) => return Some(verdict),
                Err(client::Error::UnknownNode | client::Error::Unreachable { .. }) => {}
                Err(client::Error::Timeout | client::Error::Failed { .. }) => {
                    may_be_recorded = true;
                }
            }
        }
        (!may_be_recorded).then_some(Verdict::Refused(last))
    }

    async fn ask_ledger(&self, node: &id::Node) -> Result<Verdict, client::Error> {
        let own = &self.state.settings.node;
        let claim = claim::Claim { hash: self.hash, issuer: own.clone() };
        if node == own {
            return Ok(self.state.keys.claim(claim).await);
        }
        let verdicts = self.state.pool.claim_keys(node, vec![claim]).await?;
        let missing = || client::Error::Failed { message: "no verdict".to_owned() };
        verdicts.into_iter().next().ok_or_else(missing)
    }

    /// Gets the reply from the node that holds the claim.
    async fn repeated(&self, by: id::Node) -> Result<backend::Answer, Refusal> {
        self.emit(Kind::KeyRepeated { key: key::to_hex(&self.hash), by: by.clone() });
        let wait = self.until.saturating_sub(self.state.now()) * ASK_PERMILLE / 1_000;
        match self.state.pool.reply(&by, self.hash, wait).await {
            Ok(Lookup::Held(reply)) => self.replay(&reply),
            Ok(Lookup::NotRun) => Err(used_up()),
            Ok(Lookup::Running | Lookup::Unknown) | Err(_) => Err(started()),
        }
    }

    /// The last check before the call may be sent.
    fn start(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        let is_started = self.state.once.store().start(now, &self.hash);
        if is_started { Ok(()) } else { Err(used_up()) }
    }

    fn refuse(&self, reason: Option<Reason>) -> Refusal {
        self.state.once.store().refuse(self.state.now(), &self.hash, reason);
        let refusal = reason.map_or_else(used_up, refused);
        let reason = refusal.message.clone();
        self.emit(Kind::KeyRefused { key: key::to_hex(&self.hash), reason });
        refusal
    }

    /// Answers with the reply of the first call, if that was the same request.
    fn replay(&self, reply: &Reply) -> Result<backend::Answer, Refusal> {
        if reply.fingerprint != self.fingerprint {
            let message = "the idempotency key was used with another request";
            return Err(Refusal::not_run(Cause::KeyRefused, message));
        }
        answer(reply).ok_or_else(started)
    }

    fn emit(&self, kind: Kind) {
        self.state.events.emit_for(&self.call.context.request, kind);
    }
}

/// Mutation
impl Registry {
    fn end(
        &self,
        now: Duration,
        hash: &key::Hash,
        fingerprint: reply::Fingerprint,
        answer: &Result<backend::Answer, Refusal>,
    ) {
        match answer {
            Ok(answer) => {
                let reply = Arc::new(kept(fingerprint, answer));
                self.store().finish(now, hash, Some(reply));
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => self.store().abort(now, hash),
            Err(_) => self.store().finish(now, hash, None),
        }
        self.ended.notify_waiters();
    }
}

/// The form in which an answer is kept.
fn kept(fingerprint: reply::Fingerprint, answer: &backend::Answer) -> Reply {
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

/// The answer that was kept, marked as one of an earlier call.
fn answer(reply: &Reply) -> Option<backend::Answer> {
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

/// The key was started, and what became of its call is not known here.
fn started() -> Refusal {
    Refusal::unknown(Cause::KeyStarted, "started; outcome unknown")
}

/// The key can't be started any more, and this call did not run. The verdict may be lost, so that
/// nothing is said about earlier calls.
fn used_up() -> Refusal {
    let message = "this call did not run, and the key can't be started any more";
    Refusal::not_run(Cause::KeyRefused, message)
}

/// The key was not started.
fn refused(reason: Reason) -> Refusal {
    let cause = match reason {
        Reason::LogUnavailable | Reason::WindowIncomplete => Cause::Unavailable,
        Reason::Overloaded => Cause::Overloaded,
        Reason::TimedOut | Reason::Expired | Reason::Foreign => Cause::KeyRefused,
    };
    let refusal = Refusal::not_run(cause, reason.as_str());
    let may_repeat = cause != Cause::KeyRefused;
    if may_repeat { refusal.retry_after(1) } else { refusal }
}
