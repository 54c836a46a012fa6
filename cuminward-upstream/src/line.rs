//! Splits a body into lines of limited length.

use bytes::{Buf, Bytes, BytesMut};

/// A line is longer than the limit.
#[derive(Debug, PartialEq)]
pub(crate) struct TooLong;

/// Buffers parts of a body and returns complete lines.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that hold no newline.
    searched: usize,
}

/// Mutation
impl Splitter {
    /// Adds a part of the body.
    pub(crate) fn push(&mut self, part: &Bytes) {
        self.buffer.extend_from_slice(part);
    }

    /// Removes and returns the next complete line without its newline; `None` if more data is
    /// needed.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if the line has more than `max_bytes` bytes.
    pub(crate) fn next_line(&mut self, max_bytes: usize) -> Result<Option<Bytes>, TooLong> {
        let end = self.buffer[self.searched..].iter().position(|it| *it == b'\n');
        let Some(end) = end.map(|it| it + self.searched) else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > max_bytes { Err(TooLong) } else { Ok(None) };
        };
        if end > max_bytes {
            return Err(TooLong);
        }
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Ok(Some(line))
    }
}
