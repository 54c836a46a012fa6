//! Splits a stream of server-sent events into whole events, with the id of each.

use bytes::{Bytes, BytesMut};

/// Number of an event within its stream.
pub type Id = u64;

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line at its end.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<Id>,
}

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The bytes can't be a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// Splits bytes at the blank lines between events.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// Mutation
impl Splitter {
    /// Adds bytes as they arrive.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if an event doesn't end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(TooLarge) } else { Ok(()) }
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes after the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Position after the first blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn id(event: &[u8]) -> Option<Id> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
