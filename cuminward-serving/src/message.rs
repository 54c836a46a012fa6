//! Which of two messages of a node is newer.

/// Place of a message among those of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Tells apart the starts of the node; says nothing about their order.
    pub start: u64,
    /// Number within the start.
    pub number: u64,
}

/// Access
impl Place {
    /// Tells whether this message replaces another one that was taken in before. One of another start
    /// does: a late message of the former start is undone by the next one of the new start.
    pub fn replaces(self, known: Place) -> bool {
        self.start != known.start || self.number > known.number
    }
}
