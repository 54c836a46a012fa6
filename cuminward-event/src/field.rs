//! Value types of event fields.

use std::fmt::{self, Write};

/// Maximum length of a text field, in bytes.
pub(crate) const MAX_TEXT: usize = 512;

/// Value of a field of an event.
pub(crate) trait Field {
    /// Name of the type in the catalogue.
    const TYPE: &'static str;

    /// Writes the value in the format of log lines: texts are quoted unless they consist of graphic
    /// ASCII characters other than `"`, `=` and `\`.
    fn write(&self, out: &mut dyn Write) -> fmt::Result;

    /// Truncates a text to [`MAX_TEXT`] bytes at a character boundary.
    fn truncate(&mut self) {}
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

    fn truncate(&mut self) {
        if self.len() > MAX_TEXT {
            let end = self.floor_char_boundary(MAX_TEXT);
            self.truncate(end);
        }
    }
}
