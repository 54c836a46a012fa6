//! Encodes a generation as server-sent events.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cuminward_core::outcome;
use futures::Stream;
use http::{HeaderMap, HeaderValue};
use http_body::Frame;

use crate::{
    api::{self, Kind},
    backend, failure, generate, header as names,
};

/// Event that ends a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Body of a streamed response, which ends with the outcome as a trailer.
pub(crate) struct Events<T> {
    tokens: T,
    metadata: generate::Metadata,
    state: State,
}

enum State {
    /// No event has been sent.
    First,
    /// At least one token has been sent.
    Running,
    /// The last event has been sent; the trailer follows.
    Trailer(outcome::Outcome),
    Done,
}

/// Life cycle
impl<T> Events<T> {
    /// Creates the body from the events of one generation.
    pub(crate) fn new(tokens: T, metadata: generate::Metadata) -> Events<T> {
        Events { tokens, metadata, state: State::First }
    }
}

impl<T: Stream<Item = backend::Event> + Unpin> http_body::Body for Events<T> {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.state {
            State::Trailer(outcome) => {
                self.state = State::Done;
                return Poll::Ready(Some(Ok(trailer(outcome))));
            }
            State::Done => return Poll::Ready(None),
            State::First | State::Running => {}
        }
        let event = std::task::ready!(Pin::new(&mut self.tokens).poll_next(cx));
        let event = event.unwrap_or_else(|| backend::Event::Failed(incomplete()));
        Poll::Ready(Some(Ok(Frame::data(self.encode(event)))))
    }
}

impl<T> Events<T> {
    /// Encodes one event and advances the state.
    fn encode(&mut self, event: backend::Event) -> Bytes {
        let first = matches!(self.state, State::First);
        self.state = State::Running;
        match event {
            backend::Event::Token(text) => self.encode_token(&text, first).into(),
            backend::Event::Finish(finish) => {
                self.state = State::Trailer(outcome::Outcome::Complete);
                self.encode_finish(&finish).into()
            }
            backend::Event::Failed(refusal) => {
                self.state = State::Trailer(refusal.outcome);
                encode_data(&failure::Body::new(&refusal)).into()
            }
        }
    }

    fn encode_token(&self, text: &str, first: bool) -> String {
        let content = match self.metadata.kind {
            Kind::Chat => {
                let role = first.then_some("assistant");
                api::Content::Delta(api::Delta { role, content: Some(text) })
            }
            Kind::Text => api::Content::Text(text),
        };
        encode_data(&self.metadata.chunk(content))
    }

    fn encode_finish(&self, finish: &backend::Finish) -> String {
        let content = match self.metadata.kind {
            Kind::Chat => api::Content::Delta(api::Delta { role: None, content: None }),
            Kind::Text => api::Content::Text(""),
        };
        let mut chunk = self.metadata.chunk(content);
        chunk.choices[0].finish_reason = Some(&finish.reason);
        chunk.usage = Some(api::Usage::from(finish));
        chunk.cuminward_outcome = Some(outcome::Outcome::Complete.as_str());
        encode_data(&chunk) + DONE
    }
}

/// Encodes a value as one server-sent event.
fn encode_data(value: &impl serde::Serialize) -> String {
    let json = serde_json::to_string(value).expect("the API's types have JSON forms");
    format!("data: {json}\n\n")
}

/// Returns the trailer with the outcome.
fn trailer(outcome: outcome::Outcome) -> Frame<Bytes> {
    let mut trailers = HeaderMap::new();
    trailers.insert(names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    Frame::trailers(trailers)
}

/// Returns the refusal for a generation whose events ended without `Finish` or `Failed`.
fn incomplete() -> outcome::Refusal {
    outcome::Refusal::unknown(outcome::Cause::UpstreamFailed, "the generation ended early")
}
