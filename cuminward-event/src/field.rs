//! Types that fields of events can have.

use std::fmt::{self, Write};

/// Largest length of a text in an event, in bytes.
pub(crate) const MAX_TEXT: usize = 512;

/// A field of an event.
pub(crate) trait Field {
    /// Name of the type in the catalogue.
    const TYPE: &'static str;

    /// Writes the value as it stands in a log line.
    fn write(&self, out: &mut dyn Write) -> fmt::Result;

    /// Shortens the value to the largest length.
    fn bound(&mut self) {}
}

impl Field for u64 {
    const TYPE: &'static str = "number";

    fn write(&self, out: &mut dyn Write) -> fmt::Result {
        write!(out, "{self}")
    }
}

impl Field for String {
    const TYPE: &'static str = "text";

    fn write(&self, out: &mut dyn Write) -> fmt::Result {
        let is_plain = |it: char| it.is_ascii_graphic() && !matches!(it, '"' | '=' | '\\');
        if !self.is_empty() && self.chars().all(is_plain) {
            out.write_str(self)
        } else {
            write!(out, "{self:?}")
        }
    }

    fn bound(&mut self) {
        if self.len() > MAX_TEXT {
            let end = self.floor_char_boundary(MAX_TEXT);
            self.truncate(end);
        }
    }
}
