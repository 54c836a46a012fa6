//! Answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use cuminward_adapter::header;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream ends before its end: the connection has to close without the mark of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Broken;

/// Body of an answer.
pub(crate) struct Body {
    content: Content,
    done: Option<Done>,
}

enum Content {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

/// Runs a function when it is dropped.
pub(crate) struct Done {
    run: Option<Box<dyn FnOnce() + Send + Sync>>,
}

/// An answer that the node gives by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Denial {
    pub(crate) status: StatusCode,
    /// When the caller should come again.
    pub(crate) retry_after: Option<Duration>,
    /// Why, for logs; empty if the request has its own event.
    pub(crate) cause: &'static str,
}

/// Life cycle
impl Denial {
    /// Makes a denial that says nothing about another try.
    pub(crate) fn of(status: StatusCode) -> Denial {
        Denial { status, retry_after: None, cause: "" }
    }

    /// Makes a denial that says that the request didn't run and may come again.
    pub(crate) fn later(retry_after: Duration) -> Denial {
        let retry_after = Some(retry_after);
        Denial { retry_after, ..Denial::of(StatusCode::SERVICE_UNAVAILABLE) }
    }

    /// Says why.
    pub(crate) fn because(self, cause: &'static str) -> Denial {
        Denial { cause, ..self }
    }
}

/// Life cycle
impl Done {
    /// Makes a guard that runs a function when it is dropped.
    pub(crate) fn new(run: impl FnOnce() + Send + Sync + 'static) -> Done {
        Done { run: Some(Box::new(run)) }
    }
}

impl Drop for Done {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            run();
        }
    }
}

/// Life cycle
impl Body {
    /// Makes a body that is known as a whole.
    pub(crate) fn whole(bytes: Bytes) -> Body {
        Body { content: Content::Whole(Some(bytes)), done: None }
    }

    /// Makes a body whose parts arrive one after the other.
    pub(crate) fn stream(parts: mpsc::Receiver<Result<Bytes, Broken>>) -> Body {
        Body { content: Content::Stream(parts), done: None }
    }
}

/// Mutation
impl Body {
    /// Keeps a guard until the body has been sent or is given up.
    pub(crate) fn on_end(&mut self, done: Done) {
        self.done = Some(done);
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let next = match &mut self.content {
            Content::Whole(bytes) => bytes.take().map(Ok),
            Content::Stream(parts) => ready!(parts.poll_recv(cx)),
        };
        if next.is_none() {
            self.done = None;
        }
        Poll::Ready(next.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the answer ends before its end")
    }
}

impl std::error::Error for Broken {}

/// Makes an answer of the node itself.
pub(crate) fn refuse(denial: &Denial, id: Option<&str>) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = denial.status;
    if let Some(id) = id {
        header::set_request_id(response.headers_mut(), id);
    }
    if let Some(after) = denial.retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
