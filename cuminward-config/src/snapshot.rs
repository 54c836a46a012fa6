//! Snapshots of the folded state, and when a node appends one to the log.

use std::time::Duration;

use cuminward_core::{id, rendezvous};
use cuminward_derive::{record, value};

use crate::fold::Fold;

/// Version of the format of snapshots.
pub const FORMAT: u32 = 1;

/// Time between the turns of two nodes to append a snapshot.
pub const TURN: Duration = Duration::from_secs(5);

/// Changes after which a snapshot is due, so that a new node folds at most so many records.
pub const MAX_TAIL: u64 = 2_200;

/// Part of the retention after which the oldest needed record is replaced by a new snapshot.
const RETENTION_DIVISOR: u32 = 2;

/// The folded state as a record: a node restores it instead of reading older records.
#[record]
pub struct Snapshot {
    /// Version of the format.
    pub format: u32,
    /// Offset of the first record that isn't part of the state.
    pub at: id::Offset,
    /// Wall time at which the state was taken, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
    /// The state.
    pub state: Fold,
}

/// Where a snapshot of the log ends, and when it was taken.
#[value]
pub struct Mark {
    /// Offset of the first record that isn't part of the state.
    pub at: id::Offset,
    /// Wall time at which the state was taken, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
}

/// What a node knows about the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Offset of the oldest record that the log keeps.
    pub oldest: id::Offset,
    /// Offset of the log's next record.
    pub next: id::Offset,
    /// Records that the node has folded.
    pub revision: id::Revision,
    /// Newest snapshot among the folded records.
    pub newest: Option<Mark>,
    /// Whether the node's state lacks the meaning of kept records of unknown kinds.
    pub has_unknown: bool,
}

/// A node and what decides its turn.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the node.
    pub node: id::Node,
    /// Time for which the log promises to keep records.
    pub retention: Duration,
}

/// Decides when a node appends a snapshot.
///
/// Nodes take turns: each waits [`TURN`] for every node of a higher rendezvous rank. Usually the first
/// one's snapshot reaches the others before their turns.
#[derive(Debug, Clone)]
pub struct Schedule {
    options: Options,
    due_since: Option<Duration>,
    newest: Option<Mark>,
    newest_since: Duration,
}

/// Life cycle
impl Snapshot {
    /// Takes a snapshot of a state, at a wall time in milliseconds since the Unix epoch.
    pub fn new(fold: &Fold, taken_ms: u64) -> Snapshot {
        Snapshot { format: FORMAT, at: fold.revision(), taken_ms, state: fold.clone() }
    }
}

/// Life cycle
impl Schedule {
    /// Makes a schedule.
    pub fn new(options: Options) -> Schedule {
        Schedule { options, due_since: None, newest: None, newest_since: Duration::ZERO }
    }
}

/// Mutation
impl Schedule {
    /// Tells whether the node appends a snapshot now.
    ///
    /// `now` is the time since the process started, `wall_ms` the wall time in milliseconds since the
    /// Unix epoch, `nodes` the live nodes.
    pub fn step<'a>(
        &mut self,
        now: Duration,
        wall_ms: u64,
        view: &View,
        nodes: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        if self.newest != view.newest {
            self.newest = view.newest;
            self.newest_since = now;
        }
        if view.revision != view.next || !self.due(now, wall_ms, view) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        let turn = turn(&self.options.node, nodes, view);
        if now.saturating_sub(since) < TURN.saturating_mul(turn) {
            return false;
        }
        // An append without effect is repeated after all other nodes' turns.
        self.due_since = Some(now + TURN);
        true
    }

    /// Tells whether the log needs a new snapshot. The time since the newest one was seen counts as
    /// well, so that a writer's fast clock can't put the next one off.
    fn due(&self, now: Duration, wall_ms: u64, view: &View) -> bool {
        let Some(newest) = view.newest else { return view.revision > 0 };
        let age = Duration::from_millis(wall_ms.saturating_sub(newest.taken_ms));
        let seen = now.saturating_sub(self.newest_since);
        let is_old = age.max(seen) >= self.options.retention / RETENTION_DIVISOR;
        let is_far = view.next.saturating_sub(newest.at) >= MAX_TAIL;
        let is_lost = newest.at < view.oldest;
        is_old || is_far || is_lost
    }
}

/// How many turns the node waits. Nodes that lack the meaning of some records come after all others.
fn turn<'a>(node: &str, nodes: impl IntoIterator<Item = &'a str>, view: &View) -> u32 {
    let item = format!("snapshot/{}", view.newest.map_or(0, |it| it.at));
    let own = (rendezvous::weight(node, &item), node);
    let (mut before, mut all) = (0, 0);
    for other in nodes {
        all += 1;
        before += u32::from((rendezvous::weight(other, &item), other) > own);
    }
    if view.has_unknown { before + all } else { before }
}
