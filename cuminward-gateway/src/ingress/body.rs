//! Bodies of callers' requests, whose end is recorded.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;

use super::activity::Activity;

/// Body of a request. Its end is recorded in the activity of its connection.
pub(super) struct Body {
    incoming: Incoming,
    activity: Arc<Activity>,
}

/// Life cycle
impl Body {
    /// Wraps the body of a request that begins.
    pub(super) fn new(incoming: Incoming, activity: Arc<Activity>) -> Body {
        activity.set_body_open(!incoming.is_end_stream());
        Body { incoming, activity }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() || self.incoming.is_end_stream() {
            self.activity.set_body_open(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
