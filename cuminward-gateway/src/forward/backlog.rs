//! Parts of a response that its caller hasn't read yet.
//!
//! A caller may read more slowly than the upstream responds. The upstream is read on within bounds, so that its slot becomes
//! free when it is done, and not when the caller is.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{self, Instant},
};

use super::reply::Part;
use crate::state::callers::{Callers, Reservation};

/// Bytes of one response that wait for its caller, beyond which the upstream isn't read on.
pub(crate) const MAX_BYTES: usize = 256 << 10;

/// Bytes that a part takes beside its own.
const PART_BYTES: usize = 64;

/// Why a part wasn't taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stopped {
    /// The response was abandoned, as the caller has disconnected.
    Closed,
    /// The caller hasn't read earlier parts in time.
    Unread,
}

/// Takes the parts of a response.
pub(crate) struct Sender {
    parts: mpsc::UnboundedSender<Waiting>,
    /// Bytes that may still wait.
    room: Arc<Semaphore>,
    callers: Arc<Callers>,
}

/// Yields the parts of a response in their order.
pub(crate) struct Receiver {
    parts: mpsc::UnboundedReceiver<Waiting>,
}

/// A part that waits, with what it takes.
struct Waiting {
    part: Part,
    _room: OwnedSemaphorePermit,
    _reservation: Reservation,
}

/// Creates the two ends of a backlog, whose bytes count as bodies of callers.
pub(crate) fn create(callers: Arc<Callers>) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let room = Arc::new(Semaphore::new(MAX_BYTES));
    (Sender { parts: sender, room, callers }, Receiver { parts: receiver })
}

/// Mutation
impl Sender {
    /// Adds a part as soon as there is room for it. While bodies take all memory that callers may take, there is room only
    /// when the caller has read all earlier parts.
    ///
    /// # Errors
    ///
    /// [`Stopped::Unread`] if there is no room until `deadline`, and [`Stopped::Closed`].
    pub(crate) async fn send(
        &self,
        part: Part,
        now: Duration,
        deadline: Instant,
    ) -> Result<(), Stopped> {
        let bytes = match &part {
            Part::Bytes(it) => it.len() + PART_BYTES,
            Part::End => PART_BYTES,
        };
        let mut reservation = Reservation::for_response(Arc::clone(&self.callers));
        let is_reserved = reservation.resize(now, bytes);
        let taken = if is_reserved { bytes.min(MAX_BYTES) } else { MAX_BYTES };
        let room = Arc::clone(&self.room).acquire_many_owned(taken as u32);
        let room = tokio::select! {
            it = time::timeout_at(deadline, room) => it.map_err(|_| Stopped::Unread)?,
            () = self.parts.closed() => return Err(Stopped::Closed),
        };
        let room = room.expect("the semaphore is never closed");
        let waiting = Waiting { part, _room: room, _reservation: reservation };
        self.parts.send(waiting).map_err(|_| Stopped::Closed)
    }

    /// Waits until the response is abandoned.
    pub(crate) async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Mutation
impl Receiver {
    /// Returns the next part, which no longer waits then; `None` if the sender has gone.
    pub(crate) fn poll_part(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Part>> {
        self.parts.poll_recv(cx).map(|it| it.map(|it| it.part))
    }
}
