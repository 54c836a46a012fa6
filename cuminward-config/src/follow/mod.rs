//! Follows the configuration stream: combines records and snapshots from the log and from peers
//! into one state.

use cuminward_core::id;
use serde_json::Value;

mod buffer;

use self::buffer::Buffer;
use crate::{
    fold::{self, Fold},
    record,
    ring::Ring,
    snapshot::{Snapshot, View},
};

/// Largest number of records that are buffered until earlier ones arrive.
pub const MAX_BUFFERED: usize = 4_400;

/// Largest size of the records that are buffered until earlier ones arrive, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Largest number of applied records that are kept for peers.
pub const MAX_RECENT: usize = 1_024;

/// Largest size of the applied records that are kept for peers, in bytes.
pub const MAX_RECENT_BYTES: usize = 1024 * 1024;

/// A record with its offset, as exchanged between peers.
pub type Delta = (id::Offset, Value);

/// An input of [`Follower::step`]: data from the log or from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A page that was read from the log.
    Page(Page),
    /// The log reported that it has trimmed the requested record.
    Trimmed {
        /// Offset of the oldest record that the log keeps.
        oldest: id::Offset,
    },
    /// Records that a peer sent.
    Deltas(Vec<Delta>),
    /// The state of a peer.
    Snapshot(Box<Snapshot>),
}

/// A page of consecutive records of the log.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Offset of the oldest record that the log keeps.
    pub oldest: id::Offset,
    /// Offset of the log's next record.
    pub next: id::Offset,
    /// Records of the page.
    pub records: Vec<Delta>,
}

/// Result of processing an input.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// Whether the state changed: the catalog's revision rose, or the first state was reached.
    pub changed: bool,
    /// Offsets and outcomes of the records that were applied one by one.
    pub folded: Vec<(id::Offset, fold::Outcome)>,
    /// Whether the log ends before the node's revision, which means that the log lost records that
    /// the node has applied. The node keeps its state.
    pub log_behind: bool,
}

/// A node's configuration state, with the records that are buffered until earlier ones arrive.
#[derive(Debug, Clone)]
pub struct Follower {
    fold: Option<Fold>,
    buffer: Buffer,
    /// Latest applied records, kept for peers.
    recent: Ring<Delta>,
    /// Largest known offset of the oldest record that the log keeps.
    oldest: id::Offset,
    /// Offset of the log's next record, as of the latest page.
    next: id::Offset,
    /// Offset after the last record that was read from the log.
    scanned: id::Offset,
    ready: bool,
}

/// Life cycle
impl Default for Follower {
    fn default() -> Follower {
        Follower {
            fold: None,
            buffer: Buffer::default(),
            recent: Ring::new(MAX_RECENT, MAX_RECENT_BYTES),
            oldest: 0,
            next: 0,
            scanned: 0,
            ready: false,
        }
    }
}

/// Access
impl Follower {
    /// Returns the state, or `None` before the first one is reached.
    pub fn fold(&self) -> Option<&Fold> {
        self.fold.as_ref()
    }

    /// Returns the number of applied records; 0 before the first state is reached.
    pub fn revision(&self) -> id::Revision {
        self.fold.as_ref().map_or(0, Fold::revision)
    }

    /// Returns whether the state has ever caught up with the end of the log or with a peer's state.
    /// Before that, the node must not serve: its configuration would be older than that of other
    /// nodes.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the offset from which the log should be read next.
    pub fn read_from(&self) -> id::Offset {
        let revision = self.revision();
        if revision >= self.oldest { revision } else { self.scanned.max(self.oldest) }
    }

    /// Returns whether the log has trimmed records that the node hasn't applied. The node then
    /// needs a peer's state, or a snapshot that a peer appends to the log.
    pub fn needs_snapshot(&self) -> bool {
        self.revision() < self.oldest
    }

    /// Returns at most `max` records from offset `from` on, for a peer that has applied those
    /// before. Returns `None` if the record at `from` is no longer kept; the peer then needs the
    /// state.
    pub fn deltas(&self, from: id::Offset, max: usize) -> Option<Vec<Delta>> {
        if from >= self.revision() {
            return Some(Vec::new());
        }
        let deltas: Vec<Delta> =
            self.recent.iter().filter(|(offset, _)| *offset >= from).take(max).cloned().collect();
        deltas.first().is_some_and(|(offset, _)| *offset == from).then_some(deltas)
    }

    /// Returns the input of the snapshot schedule, or `None` before the first state is reached.
    pub fn view(&self) -> Option<View> {
        let fold = self.fold.as_ref()?;
        Some(View {
            oldest: self.oldest,
            next: self.next,
            revision: fold.revision(),
            newest: fold.newest_snapshot(),
            has_unknown: fold.unknown().next().is_some(),
        })
    }
}

/// Mutation
impl Follower {
    /// Processes an input and applies all records that follow the state without a gap.
    pub fn step(&mut self, input: Input) -> Outcome {
        let had_fold = self.fold.is_some();
        let revision = self.revision();
        let mut outcome = Outcome::default();
        let is_current = matches!(input, Input::Page(_) | Input::Snapshot(_));
        match input {
            Input::Page(page) => outcome.log_behind = self.apply_page(page),
            Input::Trimmed { oldest } => self.oldest = self.oldest.max(oldest),
            Input::Deltas(deltas) => self.buffer_records(deltas),
            Input::Snapshot(snapshot) => self.restore_if_newer(*snapshot),
        }
        outcome.folded = self.apply_buffered();
        let reaches_end = self.fold.is_some() && self.revision() >= self.next;
        self.ready |= is_current && reaches_end;
        outcome.changed = self.revision() > revision || self.fold.is_some() != had_fold;
        outcome
    }

    /// Processes a page; returns whether the log ends before the node's revision.
    fn apply_page(&mut self, page: Page) -> bool {
        self.oldest = self.oldest.max(page.oldest);
        self.next = page.next;
        if self.fold.is_none() && page.oldest == 0 {
            self.fold = Some(Fold::default());
        }
        if let Some(last) = page.records.last() {
            self.scanned = self.scanned.max(last.0 + 1);
        }
        self.buffer_records(page.records);
        page.next < self.revision()
    }

    /// Buffers records that aren't applied yet; restores snapshots among them that are newer than
    /// the state. Drops records if the buffer exceeds its bounds.
    fn buffer_records(&mut self, records: Vec<Delta>) {
        let revision = self.revision();
        for (offset, value) in records {
            if self.is_newer_snapshot(&value)
                && let Some(snapshot) = record::parse_snapshot(&value)
            {
                self.restore_if_newer(snapshot);
            }
            if offset >= revision {
                self.buffer.insert(offset, record::without_state(value));
            }
        }
        while self.buffer.is_over_limit() {
            // The last records can be read from the log again. A node that waits for a snapshot
            // instead needs the newest records, which follow the snapshot.
            match self.needs_snapshot() || self.fold.is_none() {
                true => self.buffer.drop_first(),
                false => self.buffer.drop_last(),
            }
        }
    }

    /// Returns whether a record is a snapshot that is newer than the state.
    fn is_newer_snapshot(&self, value: &Value) -> bool {
        let end = record::snapshot_header(value).map(|it| it.at);
        end.is_some_and(|end| self.fold.as_ref().is_none_or(|it| end > it.revision()))
    }

    /// Replaces the state by a snapshot's state if that is newer.
    fn restore_if_newer(&mut self, snapshot: Snapshot) {
        let is_newer = self.fold.as_ref().is_none_or(|it| it.revision() < snapshot.at);
        if snapshot.at == snapshot.state.revision() && is_newer {
            self.fold = Some(snapshot.state);
            self.recent = Ring::new(MAX_RECENT, MAX_RECENT_BYTES);
        }
    }

    /// Applies the buffered records that follow the state without a gap.
    fn apply_buffered(&mut self) -> Vec<(id::Offset, fold::Outcome)> {
        let Some(fold) = &mut self.fold else { return Vec::new() };
        let mut folded = Vec::new();
        self.buffer.drop_before(fold.revision());
        while let Some(value) = self.buffer.take(fold.revision()) {
            let offset = fold.revision();
            folded.push((offset, fold.apply(offset, &value)));
            self.recent.push((offset, value));
        }
        folded
    }
}
