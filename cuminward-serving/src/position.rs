//! Positions of records in a partition of the store's log.

use cuminward_derive::value;

use crate::id;

/// Position of a record in a partition. Positions of different eras are ordered by era: an offset means
/// nothing without it, as the store hands offsets out again when it comes back from an older copy.
#[value]
#[derive(Default)]
pub struct Position {
    /// Era in which the record was read.
    pub era: id::Era,
    /// Offset of the record.
    pub offset: id::Offset,
}

/// Access
impl Position {
    /// Returns the position that follows this one.
    pub fn next(self) -> Position {
        Position { offset: self.offset + 1, ..self }
    }

    /// Returns the position before this one; the first one of an era has none and is returned itself.
    pub fn previous(self) -> Position {
        Position { offset: self.offset.saturating_sub(1), ..self }
    }
}
