//! The events of a stream, wherever they come from: a stream that breaks off is taken up at another
//! upstream after its last event, if its route allows that.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_route::attempt::Budget;
use cuminward_serving::{
    attempt::{self, Failure, Next},
    event::{self, Event, Splitter},
    id,
    queue::Progress,
};
use cuminward_upstream::body;
use http::response::Parts;
use http_body_util::{BodyExt, Full};

use super::{
    exchange::{self, Answer, Fault},
    job::Job,
    report,
    slot::{self, Slot},
};
use crate::state::State;

/// Shortest time for which a request stays at a replica that stalls.
const MOVE_AFTER: Duration = Duration::from_millis(350);

/// Yields the events of a stream.
pub(crate) struct Source {
    state: Arc<State>,
    job: Arc<Job>,
    budget: Arc<Budget>,
    attempts: attempt::Counts,
    tried: Vec<id::Host>,
    /// Name of the last upstream that was tried.
    upstream: String,
    current: Option<Current>,
    /// Last event that was yielded.
    last_event: Option<event::Id>,
    is_begun: bool,
}

/// The upstream from which events come now.
struct Current {
    slot: Slot,
    body: body::Body<Full<Bytes>>,
    splitter: Splitter,
    since: Duration,
    /// Whether the request goes elsewhere when the replica stalls, which is so while nothing has come of
    /// it and another attempt is allowed.
    may_move: bool,
}

/// What a stream yields.
pub(crate) enum Item {
    /// Bytes for the caller.
    Bytes(Bytes),
    /// The end of a complete stream.
    End,
}

/// Why a stream yields nothing further.
pub(crate) enum Stop {
    /// The request didn't run.
    Refused(String),
    /// The request may have run.
    Failed(String),
}

/// What an upstream yields.
enum Step {
    Event(Event),
    Rest(Bytes),
    End,
    Fault(Fault),
}

/// The first answer of an upstream.
pub(crate) enum Opening {
    /// A stream has begun, with this head.
    Stream(Box<Parts>),
    /// The answer isn't a stream.
    Other(Box<Answer>, Slot),
}

/// Life cycle
impl Source {
    /// Makes the source of a request's stream.
    pub(crate) fn new(state: Arc<State>, job: Arc<Job>) -> Source {
        let budget = state.retry_budget(&job.service);
        budget.deposit();
        Source {
            last_event: job.meta.last_event,
            state,
            job,
            budget,
            attempts: attempt::Counts::default(),
            tried: Vec::new(),
            upstream: String::new(),
            current: None,
            is_begun: false,
        }
    }
}

/// Access
impl Source {
    /// Attempts so far, the current one included.
    pub(crate) fn attempts(&self) -> u32 {
        self.tried.len() as u32
    }

    /// Last event that was yielded.
    pub(crate) fn last_event(&self) -> Option<event::Id> {
        self.last_event
    }
}

/// Mutation
impl Source {
    /// Sends the request until an upstream answers.
    pub(crate) async fn open(&mut self) -> Result<Opening, Stop> {
        loop {
            let slot = self.slot().await?;
            let left = self.job.left();
            let since = self.state.now();
            let may_move = self.may_move();
            let sending = exchange::send(&self.state, &self.job, &slot, self.resume_after(), left);
            let sent = tokio::select! {
                sent = sending => sent,
                () = stalled(&self.state, &slot, since, may_move) => Err(Fault {
                    failure: Failure::Unknown,
                    cause: String::from("the replica stalled before it answered"),
                }),
            };
            match sent {
                Ok(answer) if exchange::is_stream(&answer.head) => {
                    let head = Box::new(exchange::head(answer.head));
                    let splitter = Splitter::default();
                    let body = answer.body;
                    let current = Current { slot, body, splitter, since, may_move };
                    self.current = Some(current);
                    return Ok(Opening::Stream(head));
                }
                Ok(answer) if !self.is_begun => {
                    return Ok(Opening::Other(Box::new(answer), slot));
                }
                Ok(answer) => {
                    let cause = format!("the upstream answered {}", answer.head.status);
                    drop(slot);
                    self.note(Fault { failure: Failure::Unknown, cause })?;
                }
                Err(fault) => {
                    drop(slot);
                    self.note(fault)?;
                }
            }
        }
    }

    /// Yields what comes next, from another upstream if the current one fails.
    pub(crate) async fn next(&mut self) -> Result<Item, Stop> {
        loop {
            if self.current.is_none() {
                // The head of the first upstream stays that of the answer.
                let _ = self.open().await?;
            }
            match self.step().await {
                Step::Event(event) => {
                    if let Some(bytes) = self.pass(event)? {
                        return Ok(Item::Bytes(bytes));
                    }
                }
                Step::Rest(bytes) => return Ok(Item::Bytes(bytes)),
                Step::End => {
                    if let Some(current) = self.current.take() {
                        current.slot.upstream.stats.record_success();
                    }
                    return Ok(Item::End);
                }
                Step::Fault(fault) => {
                    self.current = None;
                    self.note(fault)?;
                }
            }
        }
    }

    /// Passes an event on unless it was passed on before.
    fn pass(&mut self, event: Event) -> Result<Option<Bytes>, Stop> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return Ok(None);
            }
            if id > last + 1 {
                return Err(Stop::Failed(format!("event {id} follows event {last}")));
            }
        }
        self.last_event = event.id.or(self.last_event);
        self.is_begun = true;
        Ok(Some(event.bytes))
    }

    async fn step(&mut self) -> Step {
        let Some(current) = &mut self.current else { return Step::End };
        loop {
            if let Some(event) = current.splitter.next_event() {
                current.may_move = false;
                return Step::Event(event);
            }
            let frame = tokio::select! {
                frame = current.body.frame() => frame,
                () = stalled(&self.state, &current.slot, current.since, current.may_move) => {
                    return unknown(String::from("the replica lost a member or stalled"));
                }
            };
            let Some(frame) = frame else {
                let rest = current.splitter.take_remainder();
                return if rest.is_empty() { Step::End } else { Step::Rest(rest) };
            };
            let frame = match frame {
                Ok(it) => it,
                Err(error) => {
                    let address = &current.slot.upstream.address;
                    exchange::suspect_crash(&self.state, &self.job, address);
                    return unknown(error.to_string());
                }
            };
            current.slot.upstream.stats.record_progress(self.state.now());
            let Ok(data) = frame.into_data() else { continue };
            if current.splitter.push(&data).is_err() {
                return unknown(String::from("an event is too large"));
            }
        }
    }

    async fn slot(&mut self) -> Result<Slot, Stop> {
        let progress = if self.is_begun { Progress::Started } else { Progress::New };
        let slot = slot::acquire(&self.state, &self.job, &self.tried, progress).await;
        let slot = slot.map_err(|_| self.stop(String::from("no replica has room")))?;
        self.tried.push(slot.upstream.host.clone());
        self.upstream.clone_from(&slot.upstream.name);
        Ok(slot)
    }

    /// Counts a failed attempt and decides whether another one follows.
    fn note(&mut self, fault: Fault) -> Result<(), Stop> {
        self.attempts.record_failure(fault.failure);
        let next = attempt::decide(self.attempts, fault.failure, &self.job.bounds());
        report::failed(&self.state, &self.job, &self.upstream, &fault, self.last_event, next);
        if next == Next::Retry && self.budget.withdraw() {
            return Ok(());
        }
        Err(self.stop(fault.cause))
    }

    fn stop(&self, cause: String) -> Stop {
        if self.attempts.maybe_ran == 0 { Stop::Refused(cause) } else { Stop::Failed(cause) }
    }

    /// Tells whether another attempt is allowed after the one that begins now.
    fn may_move(&self) -> bool {
        self.attempts.maybe_ran + 1 < self.job.route.max_attempts
    }

    /// Event after which the stream goes on, unless the caller's own word holds.
    fn resume_after(&self) -> Option<event::Id> {
        self.last_event.filter(|_| self.is_begun)
    }
}

fn unknown(cause: String) -> Step {
    Step::Fault(Fault { failure: Failure::Unknown, cause })
}

/// Waits until the replica of a slot is lost or, for a request that may move, stalls.
async fn stalled(state: &State, slot: &Slot, since: Duration, may_move: bool) {
    let stats = &slot.upstream.stats;
    loop {
        let interrupt = stats.interrupt.notified();
        let mut interrupt = std::pin::pin!(interrupt);
        interrupt.as_mut().enable();
        if stats.is_lost_since(since) {
            return;
        }
        interrupt.await;
        let waited = state.now().saturating_sub(since);
        if may_move && waited > MOVE_AFTER && stats.is_suspect(state.now()) {
            return;
        }
    }
}
