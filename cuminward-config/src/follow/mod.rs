//! Puts together what a node reads from the log and hears from its peers.

use cuminward_core::id;
use serde_json::Value;

mod waiting;

use self::waiting::Waiting;
use crate::{
    fold::{self, Fold},
    record,
    ring::Ring,
    snapshot::{Snapshot, View},
};

/// Largest number of records that wait for earlier ones.
pub const MAX_WAITING: usize = 4_400;

/// Largest size of the records that wait for earlier ones, in bytes.
pub const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;

/// Folded records that are kept for peers.
pub const RECENT: usize = 1_024;

/// Largest size of the folded records that are kept for peers, in bytes.
pub const RECENT_BYTES: usize = 1024 * 1024;

/// A record with its offset, as it spreads between peers.
pub type Delta = (id::Offset, Value);

/// What a node read or heard.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A page of the log.
    Page(Page),
    /// The log answered that it no longer keeps the asked record.
    Trimmed {
        /// Offset of the oldest record that the log keeps.
        oldest: id::Offset,
    },
    /// Records from a peer.
    Deltas(Vec<Delta>),
    /// A peer's state.
    Snapshot(Box<Snapshot>),
}

/// A page of the log.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Offset of the oldest record that the log keeps.
    pub oldest: id::Offset,
    /// Offset of the log's next record.
    pub next: id::Offset,
    /// Records of the page.
    pub records: Vec<Delta>,
}

/// What became of an input.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// Whether there is a new state; the catalog's revision rose, or there is a first one.
    pub changed: bool,
    /// Records that were folded one by one, with their outcomes.
    pub folded: Vec<(id::Offset, fold::Outcome)>,
    /// Whether the log ends before the node's revision: it lost records that were in force. The node
    /// keeps its state.
    pub log_behind: bool,
}

/// A node's state and what it waits for.
#[derive(Debug, Clone)]
pub struct Follower {
    fold: Option<Fold>,
    waiting: Waiting,
    recent: Ring<Delta>,
    oldest: id::Offset,
    next: id::Offset,
    scanned: id::Offset,
    ready: bool,
}

/// Life cycle
impl Default for Follower {
    fn default() -> Follower {
        Follower {
            fold: None,
            waiting: Waiting::default(),
            recent: Ring::new(RECENT, RECENT_BYTES),
            oldest: 0,
            next: 0,
            scanned: 0,
            ready: false,
        }
    }
}

/// Access
impl Follower {
    /// The state; `None` before there is one.
    pub fn fold(&self) -> Option<&Fold> {
        self.fold.as_ref()
    }

    /// Records that are folded; 0 before there is a state.
    pub fn revision(&self) -> id::Revision {
        self.fold.as_ref().map_or(0, Fold::revision)
    }

    /// Whether the state has once been as new as the log's end, or as a peer's state. Before that the
    /// node would serve by an older configuration than the others.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Offset to read the log from next.
    pub fn read_from(&self) -> id::Offset {
        let revision = self.revision();
        if revision >= self.oldest { revision } else { self.scanned.max(self.oldest) }
    }

    /// Whether the log lacks records that the node needs, so that it needs a peer's state, or a
    /// snapshot that a peer appends.
    pub fn needs_snapshot(&self) -> bool {
        self.revision() < self.oldest
    }

    /// Records for a peer that has folded `from` of them, up to a number; `None` when some are no
    /// longer kept, and the peer needs the state.
    pub fn deltas(&self, from: id::Offset, max: usize) -> Option<Vec<Delta>> {
        if from >= self.revision() {
            return Some(Vec::new());
        }
        let deltas: Vec<Delta> =
            self.recent.iter().filter(|(offset, _)| *offset >= from).take(max).cloned().collect();
        deltas.first().is_some_and(|(offset, _)| *offset == from).then_some(deltas)
    }

    /// What decides about snapshots; `None` before there is a state.
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
    /// Takes what was read or heard.
    pub fn step(&mut self, input: Input) -> Outcome {
        let had_fold = self.fold.is_some();
        let revision = self.revision();
        let mut outcome = Outcome::default();
        let is_current = matches!(input, Input::Page(_) | Input::Snapshot(_));
        match input {
            Input::Page(page) => outcome.log_behind = self.page(page),
            Input::Trimmed { oldest } => self.oldest = self.oldest.max(oldest),
            Input::Deltas(deltas) => self.wait(deltas),
            Input::Snapshot(snapshot) => self.restore(*snapshot),
        }
        outcome.folded = self.advance();
        let reaches_end = self.fold.is_some() && self.revision() >= self.next;
        self.ready |= is_current && reaches_end;
        outcome.changed = self.revision() > revision || self.fold.is_some() != had_fold;
        outcome
    }

    /// Takes a page; tells whether the log ends before the node's revision.
    fn page(&mut self, page: Page) -> bool {
        self.oldest = self.oldest.max(page.oldest);
        self.next = page.next;
        if self.fold.is_none() && page.oldest == 0 {
            self.fold = Some(Fold::default());
        }
        if let Some(last) = page.records.last() {
            self.scanned = self.scanned.max(last.0 + 1);
        }
        self.wait(page.records);
        page.next < self.revision()
    }

    fn wait(&mut self, records: Vec<Delta>) {
        let revision = self.revision();
        for (offset, value) in records {
            if self.helps(&value)
                && let Some(snapshot) = record::parse_snapshot(&value)
            {
                self.restore(snapshot);
            }
            if offset >= revision {
                self.waiting.insert(offset, record::without_state(value));
            }
        }
        while self.waiting.is_over() {
            // Records after a gap can be read again; without a state the newest ones matter.
            match self.needs_snapshot() || self.fold.is_none() {
                true => self.waiting.forget_first(),
                false => self.waiting.forget_last(),
            }
        }
    }

    /// Whether a record is a snapshot and newer than the state.
    fn helps(&self, value: &Value) -> bool {
        let end = record::mark(value).map(|it| it.at);
        end.is_some_and(|end| self.fold.as_ref().is_none_or(|it| end > it.revision()))
    }

    /// Takes a state that is newer than the own one.
    fn restore(&mut self, snapshot: Snapshot) {
        let is_newer = self.fold.as_ref().is_none_or(|it| it.revision() < snapshot.at);
        if snapshot.at == snapshot.state.revision() && is_newer {
            self.fold = Some(snapshot.state);
            self.recent = Ring::new(RECENT, RECENT_BYTES);
        }
    }

    /// Folds what follows the state without a gap.
    fn advance(&mut self) -> Vec<(id::Offset, fold::Outcome)> {
        let Some(fold) = &mut self.fold else { return Vec::new() };
        let mut folded = Vec::new();
        self.waiting.forget_before(fold.revision());
        while let Some(value) = self.waiting.take(fold.revision()) {
            let offset = fold.revision();
            folded.push((offset, fold.apply(offset, &value)));
            self.recent.push((offset, value));
        }
        folded
    }
}
