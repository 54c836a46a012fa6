//! Counts the bytes sent and received on connections, and limits those that belong to no part of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes transferred so far, without TCP and IP headers.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Access
impl Counter {
    /// Returns the number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Maximum number of bytes that a connection may receive without a head or a part of a body, in bytes. The buffers
/// between the connection and its user hold about 1.2 MiB.
const MAX_UNUSED_BYTES: u64 = 4 << 20;

/// Number of bytes that a connection received since the last head or part of a body.
#[derive(Debug, Default)]
pub(crate) struct Unused {
    bytes: AtomicU64,
}

/// Access
impl Unused {
    /// Returns whether no byte was received.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) == 0
    }
}

/// Mutation
impl Unused {
    /// Records that a request is sent, or that a head or a part of a body arrived.
    pub(crate) fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }
}

/// An I/O stream that counts the bytes read and written.
pub(crate) struct Stream<S> {
    pub(crate) inner: S,
    pub(crate) counter: Arc<Counter>,
    /// Limits the unused bytes; `None` if several responses share the connection.
    pub(crate) unused: Option<Arc<Unused>>,
}

/// Access
impl<S> Stream<S> {
    /// Checks that the connection may receive more bytes.
    ///
    /// # Errors
    ///
    /// The connection received [`MAX_UNUSED_BYTES`] without a head or a part of a body.
    fn check_unused(&self) -> io::Result<()> {
        match &self.unused {
            Some(it) if it.bytes.load(Ordering::Relaxed) > MAX_UNUSED_BYTES => {
                Err(io::Error::other("the upstream sends bytes without end that are no response"))
            }
            _ => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_unused()?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = (buf.filled().len() - before) as u64;
        self.counter.received.fetch_add(read, Ordering::Relaxed);
        if let Some(unused) = &self.unused {
            unused.bytes.fetch_add(read, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.counter.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, buffers))?;
        self.counter.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
