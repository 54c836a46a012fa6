//! Response bodies with a read timeout.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use cuminward_derive::value;
use http::{Response, Version, header};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    runtime,
    task::coop,
    time::{self, Instant, Sleep},
};

use crate::{connection::Payload, error::Error, pool::Lease};

/// Maximum time to read the rest of a body after its last used part.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// How the end of a response body is marked.
#[value]
pub enum Framing {
    /// The head tells the length.
    Length,
    /// Each part has its own length, and the last one is marked.
    Chunked,
    /// The last frame of HTTP/2 is marked.
    Http2,
    /// The body ends when the upstream closes the connection, which it also does when it fails.
    Connection,
}

/// Life cycle
impl Framing {
    /// Returns the framing that the head of a response declares.
    pub(crate) fn from_head<T>(response: &Response<T>) -> Framing {
        if response.version() == Version::HTTP_2 {
            return Framing::Http2;
        }
        let headers = response.headers();
        match headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
            Some(it) if it.as_bytes().trim_ascii_end().ends_with(b"chunked") => Framing::Chunked,
            Some(_) => Framing::Connection,
            None if headers.contains_key(header::CONTENT_LENGTH) => Framing::Length,
            None => Framing::Connection,
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Http2 => "http2",
            Framing::Connection => "connection",
        })
    }
}

/// Body of a response. The connection returns to its pool when the body has been read completely,
/// also if it is empty, and is discarded when the body fails, times out or is dropped earlier, or when
/// the response is a refusal.
pub struct Body<B> {
    incoming: Incoming,
    framing: Framing,
    lease: Lease<B>,
    is_connection_kept: bool,
    read_timeout: Duration,
    deadline: Pin<Box<Sleep>>,
    ended: bool,
}

/// Life cycle
impl<B> Body<B> {
    pub(crate) fn new(
        incoming: Incoming,
        framing: Framing,
        lease: Lease<B>,
        read_timeout: Duration,
    ) -> Body<B> {
        let ended = http_body::Body::is_end_stream(&incoming);
        let is_connection_kept = lease.is_kept();
        lease.record_part();
        let deadline = Box::pin(time::sleep(read_timeout));
        Body { incoming, framing, lease, is_connection_kept, read_timeout, deadline, ended }
    }
}

/// Access
impl<B> Body<B> {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }
}

/// Access
impl<B> Body<B> {
    /// Returns whether further requests may follow on the connection.
    pub fn is_connection_reusable(&self) -> bool {
        self.lease.is_reusable()
    }

    /// Returns whether the connection had carried an earlier request.
    pub fn is_connection_kept(&self) -> bool {
        self.is_connection_kept
    }
}

/// Mutation
impl<B: Payload> Body<B> {
    /// Reads the whole body, of at most `max_bytes`, into one buffer. A body in many small parts takes no more memory
    /// than one in few large ones.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`], [`Error::Timeout`], and [`Error::Malformed`] if the body is longer.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut buffer = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let Ok(part) = frame?.into_data() else { continue };
            if part.len() > max_bytes - buffer.len() {
                let message = String::from("length limit exceeded");
                return Err(Error::Malformed { tokens: 0, message });
            }
            if self.ended && buffer.is_empty() {
                return Ok(part);
            }
            buffer.extend_from_slice(&part);
        }
        Ok(buffer.freeze())
    }

    /// Reads the rest of the body in the background for at most [`DRAIN_TIMEOUT`], so that the
    /// connection can return to its pool.
    pub(crate) fn drain(mut self) {
        let Ok(runtime) = runtime::Handle::try_current() else { return };
        runtime.spawn(time::timeout(DRAIN_TIMEOUT, async move {
            while let Some(Ok(_)) = self.frame().await {}
        }));
    }
}

impl<B> Body<B> {
    /// Changes the maximum time between bytes and restarts the wait for the next ones.
    pub fn set_read_timeout(&mut self, read_timeout: Duration) {
        self.read_timeout = read_timeout;
        self.deadline.as_mut().reset(Instant::now() + read_timeout);
    }

    /// Closes the connection when the body ends, as its response is a refusal whose copy may follow. Responses whose
    /// status says so by itself need no such call.
    pub fn record_refusal(&mut self) {
        self.lease.record_refusal();
    }

    fn finish(&mut self) {
        self.ended = true;
        self.lease.release();
    }
}

// `B` is the body type of requests, and a response body holds no pinned value of it.
impl<B> Unpin for Body<B> {}

impl<B> http_body::Body for Body<B> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        if this.ended {
            this.lease.release();
            return Poll::Ready(None);
        }
        // An upstream that always has a part ready would keep the task from its timeouts.
        let budget = ready!(coop::poll_proceed(cx));
        let incoming = Pin::new(&mut this.incoming);
        if let Poll::Ready(frame) = http_body::Body::poll_frame(incoming, cx) {
            budget.made_progress();
            return Poll::Ready(this.handle_frame(frame));
        }
        ready!(this.deadline.as_mut().poll(cx));
        this.ended = true;
        this.lease.discard_timed_out();
        Poll::Ready(Some(Err(Error::Timeout { tokens: 0, limit: this.read_timeout })))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl<B> Body<B> {
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Result<Frame<Bytes>, Error>> {
        match frame {
            None => {
                self.finish();
                None
            }
            Some(Ok(frame)) => {
                self.lease.record_part();
                self.deadline.as_mut().reset(Instant::now() + self.read_timeout);
                if http_body::Body::is_end_stream(&self.incoming) {
                    self.finish();
                }
                Some(Ok(frame))
            }
            Some(Err(error)) => {
                self.ended = true;
                Some(Err(Error::Truncated { tokens: 0, message: error.to_string() }))
            }
        }
    }
}
