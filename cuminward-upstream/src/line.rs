//! Splits a body into lines of bounded length.

use bytes::{Buf, Bytes, BytesMut};

/// A line is longer than the bound.
#[derive(Debug, PartialEq)]
pub(crate) struct TooLong;

/// Takes parts of a body and gives whole lines.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no line end.
    searched: usize,
}

/// Mutation
impl Splitter {
    /// Adds a part of the body.
    pub(crate) fn push(&mut self, part: &Bytes) {
        self.buffer.extend_from_slice(part);
    }

    /// Takes the next whole line, without its end.
    pub(crate) fn next_line(&mut self, max: usize) -> Result<Option<Bytes>, TooLong> {
        let end = self.buffer[self.searched..].iter().position(|it| *it == b'\n');
        let Some(end) = end.map(|it| it + self.searched) else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > max { Err(TooLong) } else { Ok(None) };
        };
        if end > max {
            return Err(TooLong);
        }
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Ok(Some(line))
    }
}
