//! Which of two messages of a node is newer.

/// Sequence of a message among those of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sequence {
    /// Tells apart the starts of the node; says nothing about their order.
    pub incarnation: u64,
    /// Number within the start.
    pub number: u64,
}

/// Access
impl Sequence {
    /// Tells whether this message supersedes another one that was taken in before. One of another start
    /// does: a late message of the former start is undone by the next one of the new start.
    pub fn supersedes(self, known: Sequence) -> bool {
        self.incarnation != known.incarnation || self.number > known.number
    }
}
