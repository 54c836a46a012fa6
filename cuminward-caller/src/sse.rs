//! A generation as server-sent events.

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

/// Ends a stream of events.
const DONE: &str = "data: [DONE]\n\n";

/// Body of a streamed answer; it ends with the outcome as a trailer.
pub(crate) struct Events<T> {
    tokens: T,
    head: generate::Head,
    state: State,
}

enum State {
    First,
    Running,
    Trailer(outcome::Outcome),
    Done,
}

/// Life cycle
impl<T> Events<T> {
    /// Wraps the tokens of one generation.
    pub(crate) fn new(tokens: T, head: generate::Head) -> Events<T> {
        Events { tokens, head, state: State::First }
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
        let event = event.unwrap_or_else(|| backend::Event::Failed(cut_off()));
        Poll::Ready(Some(Ok(Frame::data(self.write(event)))))
    }
}

impl<T> Events<T> {
    fn write(&mut self, event: backend::Event) -> Bytes {
        let first = matches!(self.state, State::First);
        self.state = State::Running;
        match event {
            backend::Event::Token(text) => self.token(&text, first).into(),
            backend::Event::Finish(finish) => {
                self.state = State::Trailer(outcome::Outcome::Complete);
                self.finish(&finish).into()
            }
            backend::Event::Failed(refusal) => {
                self.state = State::Trailer(refusal.outcome);
                data(&failure::Body::new(&refusal)).into()
            }
        }
    }

    fn token(&self, text: &str, first: bool) -> String {
        let content = match self.head.kind {
            Kind::Chat => {
                let role = first.then_some("assistant");
                api::Content::Delta(api::Delta { role, content: Some(text) })
            }
            Kind::Text => api::Content::Text(text),
        };
        data(&self.head.chunk(content))
    }

    fn finish(&self, finish: &backend::Finish) -> String {
        let content = match self.head.kind {
            Kind::Chat => api::Content::Delta(api::Delta { role: None, content: None }),
            Kind::Text => api::Content::Text(""),
        };
        let mut chunk = self.head.chunk(content);
        chunk.choices[0].finish_reason = Some(&finish.reason);
        chunk.usage = Some(api::Usage::from(finish));
        chunk.cuminward_outcome = Some(outcome::Outcome::Complete.as_str());
        data(&chunk) + DONE
    }
}

fn data(value: &impl serde::Serialize) -> String {
    let json = serde_json::to_string(value).expect("the API's types have JSON forms");
    format!("data: {json}\n\n")
}

fn trailer(outcome: outcome::Outcome) -> Frame<Bytes> {
    let mut trailers = HeaderMap::new();
    trailers.insert(names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    Frame::trailers(trailers)
}

fn cut_off() -> outcome::Refusal {
    outcome::Refusal::unknown(outcome::Cause::UpstreamFailed, "the generation ended early")
}
