//! Reads the bodies of callers' requests.

use std::{fmt, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use cuminward_serving::share::{self, Head};
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{self, Interval};

use super::reply::Rejection;
use crate::state::{State, callers::Reservation};

/// `Retry-After` sent if other requests take all memory: those that make no progress end within a moment.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Time over which the rate of a body is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(1000);

/// Error of reading a body.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection failed, or the body is malformed.
    Read(hyper::Error),
    /// The connection is closed to make room for others.
    Evicted,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(error) => error.fmt(f),
            Error::Evicted => write!(f, "the connection is closed to make room for others"),
        }
    }
}

impl std::error::Error for Error {}

/// Memory that a request takes of what all of them share.
pub(super) struct Memory {
    /// Memory of the head, in bytes.
    head: usize,
    reservation: Reservation,
}

/// Life cycle
impl Memory {
    /// Reserves the memory of a request's head.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is none left.
    pub(super) fn reserve(state: &State, head: Head) -> Result<Memory, Rejection> {
        let reservation = Reservation::new(Arc::clone(&state.callers));
        let mut memory = Memory { head: head.memory_bytes(), reservation };
        memory.resize(state, 0)?;
        Ok(memory)
    }

    /// Returns the reservation of the head and the body.
    pub(super) fn into_reservation(self) -> Reservation {
        self.reservation
    }
}

/// Mutation
impl Memory {
    /// Reserves the memory of the head and of a body of `body_bytes`.
    fn resize(&mut self, state: &State, body_bytes: usize) -> Result<(), Rejection> {
        if self.reservation.resize(state.now(), self.head + body_bytes) {
            return Ok(());
        }
        let rejection = Rejection::unavailable(NO_MEMORY_RETRY_AFTER);
        Err(rejection.with_cause("other requests take all memory"))
    }
}

/// Rate at which a body arrives.
struct Rate {
    interval: Interval,
    /// Bytes since the last tick of the interval.
    bytes: usize,
    /// Whether the interval has begun.
    is_measured: bool,
}

/// Life cycle
impl Rate {
    /// Creates the rate of a body that begins to arrive.
    fn new() -> Rate {
        Rate { interval: time::interval(RATE_INTERVAL), bytes: 0, is_measured: false }
    }
}

/// Mutation
impl Rate {
    /// Waits for the end of the current interval. Returns whether too few bytes have arrived in it.
    async fn falls_short(&mut self) -> bool {
        /// Bytes that have to arrive in an interval.
        const MIN_BYTES: usize = share::MIN_BODY_RATE * RATE_INTERVAL.as_millis() as usize / 1000;
        self.interval.tick().await;
        let is_short = self.is_measured && self.bytes < MIN_BYTES;
        // The first tick comes at once.
        self.is_measured = true;
        self.bytes = 0;
        is_short
    }
}

/// Reads a whole body of up to `max_bytes`. It takes memory of what all requests share.
///
/// # Errors
///
/// Returns a [`Rejection`] if the body is too large, if there is no memory for it or if it can't be read; and while memory or
/// connections are short, if it arrives too slowly.
pub(super) async fn read<B>(
    state: &State,
    body: B,
    max_bytes: usize,
    memory: &mut Memory,
) -> Result<Bytes, Rejection>
where
    B: http_body::Body<Data = Bytes, Error = Error>,
{
    let mut body = std::pin::pin!(body);
    let declared = body.size_hint().exact().map(|it| it as usize);
    if declared.is_some_and(|it| it > max_bytes) {
        return Err(too_large());
    }
    let expected = declared.unwrap_or(max_bytes);
    // Frames are copied, as each of many small ones would keep a buffer of the connection.
    let mut bytes = Vec::new();
    let mut rate = Rate::new();
    while let Some(frame) = next_frame(state, body.as_mut(), &mut rate).await? {
        let Ok(data) = frame.into_data() else { continue };
        let needed = bytes.len() + data.len();
        if needed > max_bytes {
            return Err(too_large());
        }
        if needed > bytes.capacity() {
            let size = share::grown(bytes.capacity(), needed, expected);
            memory.resize(state, size)?;
            bytes.reserve_exact(size - bytes.len());
        }
        bytes.extend_from_slice(&data);
        rate.bytes += data.len();
    }
    Ok(Bytes::from(bytes))
}

/// Returns the next frame of a body, or `None` at its end.
async fn next_frame<B>(
    state: &State,
    mut body: Pin<&mut B>,
    rate: &mut Rate,
) -> Result<Option<Frame<Bytes>>, Rejection>
where
    B: http_body::Body<Data = Bytes, Error = Error>,
{
    loop {
        tokio::select! {
            biased;
            frame = body.frame() => return frame.transpose().map_err(|it| reject(&it)),
            falls_short = rate.falls_short() => {
                if falls_short && state.callers.is_short() {
                    return Err(incomplete());
                }
            }
        }
    }
}

/// Returns the rejection of a request whose body couldn't be read.
fn reject(error: &Error) -> Rejection {
    log::debug!("reading a request body failed: {error}");
    match error {
        Error::Evicted => incomplete(),
        Error::Read(_) => {
            Rejection::new(StatusCode::BAD_REQUEST).with_cause("the request body could not be read")
        }
    }
}

/// Returns the rejection of a request whose body didn't arrive in time. It states that the request wasn't executed.
pub(super) fn incomplete() -> Rejection {
    Rejection::new(StatusCode::REQUEST_TIMEOUT).with_cause("the request body didn't arrive in time")
}

/// Returns the rejection of a request whose body is larger than the catalog allows.
fn too_large() -> Rejection {
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE).with_cause("the request body is too large")
}
