//! Socket of a caller's connection, which records when the caller closes its side and when all was sent.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::activity::Activity;

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
        rustix::io::ioctl_fionread(&self.stream).unwrap_or_default()
    }
}

/// Mutation
impl Socket {
    /// Puts bytes that were read back, so that they are read again.
    pub(super) fn unread_again(&mut self, bytes: Bytes) {
        self.again = bytes;
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
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
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
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
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
