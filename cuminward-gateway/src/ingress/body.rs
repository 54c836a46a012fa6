//! Bodies of callers' requests, whose progress is recorded.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;

use super::activity::Activity;
use crate::forward::upload::Error;

/// Body of a request. Its bytes and its end are recorded in the activity of its connection.
pub(super) struct Body {
    incoming: Incoming,
    activity: Arc<Activity>,
}

/// Life cycle
impl Body {
    /// Wraps the body of a request that begins.
    pub(super) fn new(incoming: Incoming, activity: Arc<Activity>) -> Body {
        activity.connection().set_body_open(!incoming.is_end_stream());
        Body { incoming, activity }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let connection = self.activity.connection();
        if polled.is_pending() && connection.is_evicted() {
            return Poll::Ready(Some(Err(Error::Evicted)));
        }
        let frame = ready!(polled);
        if let Some(Ok(data)) = frame.as_ref().map(|it| it.as_ref().map(Frame::data_ref)) {
            connection.record_body_bytes(data.map_or(0, Bytes::len));
        }
        if frame.is_none() || self.incoming.is_end_stream() {
            connection.set_body_open(false);
        }
        Poll::Ready(frame.map(|it| it.map_err(Error::Read)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
