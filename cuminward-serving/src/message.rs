//! Order of the messages that a node sends.

/// Position of a message among all messages of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sequence {
    /// Identifies one start of the node; the values of different starts are not ordered.
    pub incarnation: u64,
    /// Number of the message within this start.
    pub number: u64,
}

/// Access
impl Sequence {
    /// Returns whether this message replaces `known`, the last one that was accepted from the node.
    /// A message of another start always does: if it is a late message of the former start, the
    /// next message of the new start replaces it in turn.
    pub fn supersedes(self, known: Sequence) -> bool {
        self.incarnation != known.incarnation || self.number > known.number
    }
}
