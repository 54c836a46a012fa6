//! Responses to callers: bodies, and rejections by the node itself.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use cuminward_adapter::header;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use http_body::{Frame, SizeHint};

use super::backlog;

/// Error of a streamed body that ends early: the connection is closed without the final chunk, so that
/// the caller can tell that the response is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Truncated;

/// Body of a response.
pub(crate) struct Body {
    content: Content,
    /// Dropped when the body has been sent or is abandoned.
    guard: Option<DropGuard>,
}

enum Content {
    Full(Option<Bytes>),
    Stream(backlog::Receiver),
    /// A stream whose end has been sent.
    Ended,
}

/// A part of a streamed body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Part {
    Bytes(Bytes),
    /// The end of a complete body. A body whose parts end without it is truncated.
    End,
}

/// Runs a function when it is dropped.
pub(crate) struct DropGuard {
    run: Option<Box<dyn FnOnce() + Send + Sync>>,
}

/// A response by which the node itself rejects a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    /// Value of `Retry-After`; `None` if a retry wouldn't help.
    pub(crate) retry_after: Option<Duration>,
    /// Cause for logs; empty if the request has its own event.
    pub(crate) cause: &'static str,
}

/// Life cycle
impl Rejection {
    /// Creates a rejection without `Retry-After`.
    pub(crate) fn new(status: StatusCode) -> Rejection {
        Rejection { status, retry_after: None, cause: "" }
    }

    /// Creates a 503 rejection with `Retry-After`. It states that the request wasn't executed.
    pub(crate) fn unavailable(retry_after: Duration) -> Rejection {
        let retry_after = Some(retry_after);
        Rejection { retry_after, ..Rejection::new(StatusCode::SERVICE_UNAVAILABLE) }
    }

    /// Sets the cause for logs.
    pub(crate) fn with_cause(self, cause: &'static str) -> Rejection {
        Rejection { cause, ..self }
    }
}

/// Life cycle
impl DropGuard {
    /// Creates a guard that runs a function when it is dropped.
    pub(crate) fn new(run: impl FnOnce() + Send + Sync + 'static) -> DropGuard {
        DropGuard { run: Some(Box::new(run)) }
    }
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            run();
        }
    }
}

/// Life cycle
impl Body {
    /// Creates a body from bytes that are already complete.
    pub(crate) fn full(bytes: Bytes) -> Body {
        Body { content: Content::Full(Some(bytes)), guard: None }
    }

    /// Creates a body whose parts arrive through a backlog.
    pub(crate) fn stream(parts: backlog::Receiver) -> Body {
        Body { content: Content::Stream(parts), guard: None }
    }
}

/// Mutation
impl Body {
    /// Attaches a guard that is dropped when the body has been sent or is abandoned.
    pub(crate) fn attach_guard(&mut self, guard: DropGuard) {
        self.guard = Some(guard);
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let next = match &mut self.content {
            Content::Full(bytes) => bytes.take().map(Ok),
            Content::Stream(parts) => match ready!(parts.poll_part(cx)) {
                Some(Part::Bytes(bytes)) => Some(Ok(bytes)),
                Some(Part::End) => None,
                None => Some(Err(Truncated)),
            },
            Content::Ended => None,
        };
        if next.is_none() {
            self.content = Content::Ended;
            self.guard = None;
        }
        Poll::Ready(next.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
            Content::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
            Content::Ended => SizeHint::with_exact(0),
        }
    }
}

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the response stream was truncated")
    }
}

impl std::error::Error for Truncated {}

/// Builds the response of a rejection, with the request id if it is known.
pub(crate) fn reject(rejection: &Rejection, id: Option<&str>) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = rejection.status;
    if let Some(id) = id {
        header::set_request_id(response.headers_mut(), id);
    }
    if let Some(after) = rejection.retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
