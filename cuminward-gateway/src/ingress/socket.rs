//! Socket of a caller's connection, which records when the caller closes its side and when all was sent.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    time,
};

use super::activity::Activity;

/// Bounds on what is read and dropped of a refused request: a pause in which nothing arrives, the whole time, and
/// bytes. A caller that still sends sees its refusal only if the node reads on.
const DRAIN_PAUSE: Duration = Duration::from_secs(3);
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Time for which a connection that is closed to make room is read on after its last response.
const EVICTED_DRAIN_TIME: Duration = Duration::from_millis(500);

const DRAIN_BYTES: usize = 16 << 20;

/// Bytes a second that a caller has to send beyond the first [`DRAIN_PAUSE`], so that one that trickles doesn't hold its
/// connection.
const MIN_DRAIN_RATE: usize = 64 << 10;

/// Size of the buffer for what is dropped, in bytes.
const DRAIN_BUFFER_BYTES: usize = 8 << 10;

/// Response to a request whose head didn't arrive in time.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Socket of a caller's connection.
pub(super) struct Socket {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Bytes that are read again before those of the stream.
    again: Bytes,
}

/// Life cycle
impl Socket {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Socket {
        Socket { stream, activity, again: Bytes::new() }
    }
}

/// Access
impl Socket {
    /// Returns the number of bytes that have arrived and weren't read; 0 if it can't be told.
    pub(super) fn unread(&self) -> u64 {
        let unread = rustix::io::ioctl_fionread(&self.stream).unwrap_or_default();
        unread + self.again.len() as u64
    }
}

/// Mutation
impl Socket {
    /// Puts bytes that were read back, so that they are read again.
    pub(super) fn unread_again(&mut self, bytes: Bytes) {
        self.again = [bytes, self.again.split_off(0)].concat().into();
    }
}

/// Refusals
impl Socket {
    /// Responds that the head of a request didn't arrive in time, and closes the node's side.
    pub(super) async fn refuse_slow_head(&mut self) {
        let refuse = async {
            self.write_all(SLOW_HEAD_RESPONSE).await?;
            self.shutdown().await
        };
        if let Ok(Err(error)) = time::timeout(DRAIN_PAUSE, refuse).await {
            log::debug!("refusing a slow request failed: {error}");
        }
        self.drain().await;
    }

    /// Reads and drops what the caller still sends, until it closes its side, sends nothing for [`DRAIN_PAUSE`], falls
    /// below [`MIN_DRAIN_RATE`], or exceeds [`DRAIN_TIME`] or [`DRAIN_BYTES`]; a node that stops or is crowded waits
    /// for [`DRAIN_PAUSE`] in all, or for [`EVICTED_DRAIN_TIME`] if this connection is closed to make room. Closing a socket with
    /// unread bytes resets the connection, so that the caller may lose a response that was sent before.
    pub(super) async fn drain(&mut self) {
        let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
        let connection = Arc::clone(self.activity.connection());
        let begun = Instant::now();
        let mut dropped = 0;
        while dropped < DRAIN_BYTES {
            let left = self.drain_time(dropped).saturating_sub(begun.elapsed()).min(DRAIN_PAUSE);
            if left.is_zero() {
                break;
            }
            let read = tokio::select! {
                read = time::timeout(left, self.read(&mut buffer)) => read,
                () = connection.eviction.notified() => continue,
            };
            match read {
                Ok(Ok(count @ 1..)) => dropped += count,
                Ok(_) => return,
                Err(_) => break,
            }
        }
        log::debug!("a caller didn't close its connection after a refusal");
    }

    /// Returns the time for which a caller may send the rest of a refused request, of which `bytes` have arrived.
    fn drain_time(&self, bytes: usize) -> Duration {
        if self.activity.connection().is_evicted() {
            return EVICTED_DRAIN_TIME;
        }
        if self.activity.is_wanted_back() {
            return DRAIN_PAUSE;
        }
        let sending = Duration::from_secs_f64(bytes as f64 / MIN_DRAIN_RATE as f64);
        (DRAIN_PAUSE + sending).min(DRAIN_TIME)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.again.is_empty() {
            let count = self.again.len().min(buffer.remaining());
            buffer.put_slice(&self.again.split_to(count));
            self.activity.record_bytes();
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.activity.record_bytes();
        } else if buffer.remaining() > 0 {
            self.activity.record_end();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.activity.record_unread(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.activity.record_unread(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
