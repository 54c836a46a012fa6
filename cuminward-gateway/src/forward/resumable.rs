//! Resumable streams: a stream that is interrupted continues at another upstream after its last event,
//! if the route allows another attempt.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::{
    attempt::{Failure, Next},
    event::{self, Event, Remainder, Splitter},
    quarantine,
    queue::Progress,
};
use cuminward_upstream::body;
use http::response::Parts;
use http_body_util::{BodyExt, Full};

use super::{
    attempts::Attempts,
    context::Context,
    crash,
    exchange::{self, Fault},
    report,
    slot::Slot,
    stall::{self, Replacement},
};
use crate::{peer::loan::Grant, state::State};

/// `Retry-After` of a request that upstreams refused.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Yields the events of one request's stream, across attempts at several upstreams.
pub(crate) struct Stream {
    state: Arc<State>,
    context: Arc<Context>,
    attempts: Attempts,
    /// Name of the last upstream that was tried.
    upstream: String,
    /// The attempt whose events are being read.
    current: Option<Attempt>,
    /// Upstream that is reserved for the next attempt.
    reserved: Option<Slot>,
    /// What allowed the next attempt, if it is a retry that may have to wait.
    grant: Option<Grant>,
    /// Last event that was yielded; before the first one, the last event that the caller named.
    last_event: Option<event::Id>,
    /// Whether the head of a stream was returned, after which only a stream can follow.
    has_head: bool,
    /// Whether the caller has received an event.
    has_yielded: bool,
}

/// An attempt whose response is being read.
struct Attempt {
    slot: Slot,
    body: body::Body<Full<Bytes>>,
    splitter: Splitter,
    /// When the request was sent, since the node's start.
    started: Duration,
    /// Whether the connection goes over the node's own path.
    is_direct: bool,
    /// When the last event arrived, or the head of the response, since the node's start.
    progressed: Duration,
    /// Number of events that the attempt has yielded.
    events: u64,
}

/// An item of a stream.
pub(crate) enum Item {
    /// Bytes for the caller.
    Bytes(Bytes),
    /// The end of a complete stream, with the bytes that follow its last event.
    End(Bytes),
}

/// Why a stream ended early. Holds the cause for logs.
pub(crate) enum Error {
    /// The request wasn't executed; the caller should send it again after this time.
    Refused(String, Duration),
    /// The request may have been executed.
    Failed(String),
}

/// What was read from the upstream of the current attempt.
enum UpstreamItem {
    Event(Event),
    /// The end of a complete stream, with the bytes that follow its last event.
    End(Bytes),
    Fault(Fault),
    /// The attempt has stalled, and another upstream is reserved for the request.
    Stall(Replacement),
}

/// Result of sending the request to an upstream.
enum Sent {
    Response(Box<exchange::Response>),
    Fault(Fault),
    /// The upstream has stalled, and another one is reserved for the request.
    Stall(Replacement),
}

/// The first response of an upstream that isn't retried.
pub(crate) enum FirstResponse {
    /// The head of a stream that has started.
    Stream(Box<Parts>),
    /// A response that isn't a stream.
    Other(Box<exchange::Response>, Slot),
}

/// Life cycle
impl Stream {
    /// Creates the stream of a request. Nothing is sent yet.
    pub(crate) fn new(state: Arc<State>, context: Arc<Context>) -> Stream {
        state.record_request(&context.service);
        Stream {
            last_event: context.meta.last_event,
            state,
            context,
            attempts: Attempts::default(),
            upstream: String::new(),
            current: None,
            reserved: None,
            grant: None,
            has_head: false,
            has_yielded: false,
        }
    }
}

/// Access
impl Stream {
    /// Returns the number of attempts so far, including the current one.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts.number()
    }

    /// Returns the last event that was yielded, or that the caller named.
    pub(crate) fn last_event(&self) -> Option<event::Id> {
        self.last_event
    }
}

/// Mutation
impl Stream {
    /// Sends the request to one upstream after another until one responds.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no upstream has capacity or no further attempt is allowed.
    pub(crate) async fn open(&mut self) -> Result<FirstResponse, Error> {
        loop {
            let slot = self.acquire_slot().await?;
            let started = self.state.now();
            match self.send(&slot, started).await {
                Sent::Response(response) if exchange::is_stream(&response.head) => {
                    let head = Box::new(exchange::response_head(response.head));
                    self.current = Some(Attempt {
                        slot,
                        // Tunnels aren't reused.
                        is_direct: response.body.is_connection_reusable(),
                        body: response.body,
                        splitter: Splitter::default(),
                        started,
                        progressed: self.state.now(),
                        events: 0,
                    });
                    self.has_head = true;
                    return Ok(FirstResponse::Stream(head));
                }
                Sent::Response(response) if !self.has_head => {
                    return Ok(FirstResponse::Other(response, slot));
                }
                Sent::Response(response) => {
                    let status = response.head.status;
                    let cause =
                        format!("the upstream responded with status {status}, not a stream");
                    drop(slot);
                    self.handle_failure(Fault { failure: Failure::Unknown, cause }).await?;
                }
                Sent::Fault(fault) => {
                    drop(slot);
                    self.handle_failure(fault).await?;
                }
                Sent::Stall(replacement) => self.replace(replacement),
            }
        }
    }

    /// Sends the request to the upstream of a slot and waits for the head of its response, or until another
    /// upstream is reserved as this one has stalled.
    async fn send(&self, slot: &Slot, started: Duration) -> Sent {
        let left = self.context.remaining();
        let sending = exchange::send(&self.state, &self.context, slot, self.resume_after(), left);
        let watch = self.watch(slot, started, started, false, false);
        tokio::select! {
            biased;
            sent = sending => match sent {
                Ok(response) => Sent::Response(Box::new(response)),
                Err(fault) => Sent::Fault(fault),
            },
            replacement = watch.replacement() => Sent::Stall(replacement),
        }
    }

    /// Returns the watch of an attempt.
    fn watch<'a>(
        &'a self,
        slot: &'a Slot,
        started: Duration,
        progressed: Duration,
        has_events: bool,
        is_direct: bool,
    ) -> stall::Watch<'a> {
        let candidate = stall::Candidate {
            state: &self.state,
            context: &self.context,
            attempts: &self.attempts,
            progress: self.progress(),
        };
        stall::Watch { candidate, slot, started, progressed, has_events, is_direct }
    }

    /// Yields the next item, from another upstream if the current one fails.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no further attempt is allowed or an event is missing.
    pub(crate) async fn next(&mut self) -> Result<Item, Error> {
        loop {
            if self.current.is_none() {
                // The caller already has the head of the first upstream's response.
                let _ = self.open().await?;
            }
            match self.read_upstream().await {
                UpstreamItem::Event(event) => {
                    if let Some(bytes) = self.filter_event(event)? {
                        return Ok(Item::Bytes(bytes));
                    }
                }
                UpstreamItem::End(padding) => {
                    if let Some(current) = self.current.take() {
                        current.slot.upstream.stats.record_success();
                    }
                    return Ok(Item::End(padding));
                }
                UpstreamItem::Fault(fault) => {
                    self.current = None;
                    self.handle_failure(fault).await?;
                }
                UpstreamItem::Stall(replacement) => {
                    self.current = None;
                    self.replace(replacement);
                }
            }
        }
    }

    /// Returns the bytes of an event; `None` for one that was yielded before.
    ///
    /// # Errors
    ///
    /// Fails if events between the last one and this one are missing.
    fn filter_event(&mut self, event: Event) -> Result<Option<Bytes>, Error> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return Ok(None);
            }
            if id > last + 1 {
                return Err(Error::Failed(format!("event {id} follows event {last}")));
            }
        }
        self.last_event = event.id.or(self.last_event);
        self.has_yielded = true;
        Ok(Some(event.bytes))
    }

    /// Reads the next event of the current attempt, its end or its failure.
    async fn read_upstream(&mut self) -> UpstreamItem {
        let Some(mut current) = self.current.take() else {
            return unknown_failure(String::from("no upstream is streaming"));
        };
        let item = self.read_attempt(&mut current).await;
        self.current = Some(current);
        item
    }

    async fn read_attempt(&self, current: &mut Attempt) -> UpstreamItem {
        loop {
            if let Some(event) = current.splitter.next_event() {
                current.events += 1;
                current.progressed = self.state.now();
                self.record_event(current);
                return UpstreamItem::Event(event);
            }
            let Attempt { slot, body, started, progressed, events, is_direct, .. } = &mut *current;
            let watch = self.watch(slot, *started, *progressed, *events > 0, *is_direct);
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                replacement = watch.replacement() => return UpstreamItem::Stall(replacement),
            };
            let Some(frame) = frame else {
                return self.end_attempt(current);
            };
            let frame = match frame {
                Ok(it) => it,
                Err(error) => return self.break_off(current, error.to_string()),
            };
            let Ok(data) = frame.into_data() else { continue };
            if current.splitter.push(&data).is_err() {
                return unknown_failure(String::from("an event exceeds the size limit"));
            }
        }
    }

    /// Decides whether a stream whose body ended without an error is complete. The end of a connection
    /// looks the same after a failure, so that only what was received can tell.
    fn end_attempt(&self, current: &mut Attempt) -> UpstreamItem {
        let framing = current.body.framing();
        let remainder = current.splitter.take_remainder();
        let end =
            report::StreamEnd { framing, last_event: self.last_event, remainder: remainder.len() };
        report::record_stream_end(&self.state, &self.context, &self.upstream, &end);
        let has_events = current.events > 0 || self.last_event.is_some();
        match remainder {
            Remainder::PartialEvent(_) => {
                self.break_off(current, format!("the stream ended inside an event ({framing})"))
            }
            Remainder::Padding(_) if !has_events && framing == body::Framing::Connection => {
                self.break_off(current, String::from("the connection ended before the first event"))
            }
            Remainder::Padding(bytes) => {
                if current.events > 0 {
                    self.record_harmless();
                }
                UpstreamItem::End(bytes)
            }
        }
    }

    /// Records what an event of an attempt tells about replicas and about the request.
    fn record_event(&self, current: &Attempt) {
        current.slot.upstream.stats.record_progress(current.progressed);
        if current.events == 1 {
            self.state.record_first_event(self.state.now() - current.started);
        }
        if current.events == quarantine::HARMLESS_EVENTS {
            self.record_harmless();
        }
    }

    /// Records that the request crashes no host.
    fn record_harmless(&self) {
        self.state.quarantine.record_response(self.state.now(), &self.context.subjects);
    }

    /// Ends an attempt whose stream was broken off, which may indicate a crash of the host.
    fn break_off(&self, current: &Attempt, cause: String) -> UpstreamItem {
        let progress = crash::Progress { started: current.started, events: current.events };
        let upstream = &current.slot.upstream;
        crash::detect(&self.state, &self.context, upstream, progress);
        unknown_failure(cause)
    }

    /// Returns how far the response to the caller has come.
    fn progress(&self) -> Progress {
        if self.has_yielded { Progress::Started } else { Progress::New }
    }

    /// Returns the slot that is reserved for the next attempt, or reserves one.
    ///
    /// # Errors
    ///
    /// Fails if no upstream has capacity within the time that the request may wait.
    async fn acquire_slot(&mut self) -> Result<Slot, Error> {
        let slot = match self.reserved.take() {
            Some(it) => it,
            None => {
                let progress = self.progress();
                let acquired = self.attempts.reserve(&self.state, &self.context, progress).await;
                acquired.map_err(|it| self.error(it.to_string(), it.retry_after()))?
            }
        };
        if let Some(grant) = self.grant.take()
            && !self.state.record_retry_sent(&self.context.service, grant).await
        {
            let cause = String::from("the loan of a retry ran out before a host was free");
            return Err(self.error(cause, RETRY_AFTER));
        }
        self.attempts.begin(&slot.upstream);
        self.upstream.clone_from(&slot.upstream.name);
        Ok(slot)
    }

    /// Counts and reports a failed attempt.
    ///
    /// # Errors
    ///
    /// Fails if no further attempt is allowed or the retry budget is used up.
    async fn handle_failure(&mut self, fault: Fault) -> Result<(), Error> {
        let next = self.attempts.record_failure(fault.failure, &self.context.bounds());
        self.report_failure(&fault, next);
        if matches!(next, Next::Retry | Next::Return) {
            self.grant = self.state.try_retry(&self.context.service).await;
        }
        match self.grant {
            Some(_) => Ok(()),
            None => Err(self.error(fault.cause, RETRY_AFTER)),
        }
    }

    /// Counts and reports a stalled attempt, and keeps the upstream that is reserved for the next one.
    fn replace(&mut self, replacement: Replacement) {
        let fault = replacement.stall.fault();
        self.attempts.leave();
        self.report_failure(&fault, Next::Retry);
        self.reserved = Some(replacement.slot);
    }

    /// Reports a failed attempt and what follows it.
    fn report_failure(&self, fault: &Fault, next: Next) {
        let last_event = self.last_event;
        let (state, context, upstream) = (&self.state, &self.context, &self.upstream);
        report::record_failed_attempt(state, context, upstream, fault, last_event, next);
    }

    /// Returns the error that ends the stream: [`Error::Failed`] if any attempt may have been executed,
    /// otherwise [`Error::Refused`].
    fn error(&self, cause: String, retry_after: Duration) -> Error {
        if self.attempts.counts().maybe_ran == 0 {
            Error::Refused(cause, retry_after)
        } else {
            Error::Failed(cause)
        }
    }

    /// Returns the event after which the upstream continues the stream; `None` before the first event, as
    /// the caller's own `Last-Event-ID` is forwarded then.
    fn resume_after(&self) -> Option<event::Id> {
        self.last_event.filter(|_| self.has_yielded)
    }
}

fn unknown_failure(cause: String) -> UpstreamItem {
    UpstreamItem::Fault(Fault { failure: Failure::Unknown, cause })
}
