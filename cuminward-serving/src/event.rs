//! Splits a stream of server-sent events into complete events and reads the id of each.

use bytes::{Bytes, BytesMut};

/// Number of an event within its stream.
pub type Id = u64;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the blank line at its end.
    pub bytes: Bytes,
    /// Number of the event, if it has one.
    pub id: Option<Id>,
}

/// What follows the last complete event at the end of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Remainder {
    /// Nothing that belongs to an event: empty lines or comments, if anything.
    Padding(Bytes),
    /// Part of an event, whose rest is missing.
    PartialEvent(Bytes),
}

/// Access
impl Remainder {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        match self {
            Remainder::Padding(bytes) | Remainder::PartialEvent(bytes) => bytes.len(),
        }
    }

    /// Returns whether the last complete event is the end of the stream.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// More bytes are buffered than an event may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// Splits a stream of bytes at the blank lines between events. Empty lines and comments before the first event are
/// held back and belong to it.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were searched for the end of an event.
    searched: usize,
    /// Position after the last line break among these.
    line_start: usize,
    /// Position after the empty lines and comments before the first event.
    event_start: usize,
    /// Whether an event was returned.
    has_event: bool,
}

/// Mutation
impl Splitter {
    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if more than 1 MiB is buffered, which is the case if an event doesn't end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(TooLarge) } else { Ok(()) }
    }

    /// Removes and returns the next complete event, if there is one in the buffer.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.reset();
        self.has_event = true;
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns all buffered bytes: once [`Splitter::next_event`] has returned `None`
    /// and the stream has ended, what follows its last complete event.
    pub fn take_remainder(&mut self) -> Remainder {
        let bytes = self.buffer.split().freeze();
        self.reset();
        if is_padding(&bytes) { Remainder::Padding(bytes) } else { Remainder::PartialEvent(bytes) }
    }

    /// Starts the search at the start of the buffer.
    fn reset(&mut self) {
        (self.searched, self.line_start, self.event_start) = (0, 0, 0);
    }

    /// Returns the position after the first blank line that follows another line. Bytes that were searched before
    /// aren't searched again.
    fn find_event_end(&mut self) -> Option<usize> {
        let unsearched = self.searched..self.buffer.len();
        self.searched = unsearched.end;
        for at in unsearched {
            if self.buffer[at] != b'\n' {
                continue;
            }
            let (start, end) = (self.line_start, at + 1);
            self.line_start = end;
            let line = &self.buffer[start..at];
            if start == 0 || !(line.is_empty() || line == b"\r") {
                continue;
            }
            if self.has_event || !is_padding(&self.buffer[self.event_start..end]) {
                return Some(end);
            }
            self.event_start = end;
        }
        None
    }
}

/// Returns whether bytes consist of empty lines and of comments that end with a line break.
fn is_padding(bytes: &[u8]) -> bool {
    bytes.split_inclusive(|it| *it == b'\n').all(|line| {
        let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
        is_comment || line.trim_ascii().is_empty()
    })
}

/// Returns the value of the first `id` field, if it is a number.
fn parse_id(event: &[u8]) -> Option<Id> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
