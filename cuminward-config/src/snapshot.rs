//! Snapshots of the configuration state, and the schedule by which nodes append them to the log.

use std::time::Duration;

use cuminward_core::{id, rendezvous};
use cuminward_derive::{record, value};

use crate::fold::Fold;

/// Version of the snapshot format.
pub const FORMAT: u32 = 1;

/// Time between the turns of consecutive nodes to append a snapshot.
pub const TURN_INTERVAL: Duration = Duration::from_secs(5);

/// Number of records after the newest snapshot at which the next one is due. It bounds the number
/// of records that a new node replays.
pub const MAX_TAIL_RECORDS: u64 = 2_200;

/// A snapshot is replaced by a new one when its age reaches the log's retention time divided by
/// this number, so that the log doesn't trim the records after it.
const RETENTION_DIVISOR: u32 = 2;

/// The configuration state as a record; a node restores it instead of replaying older records.
#[record]
pub struct Snapshot {
    /// Version of the snapshot format.
    pub format: u32,
    /// Offset of the first record that isn't part of the state.
    pub at: id::Offset,
    /// Wall time at which the state was taken, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
    /// The state.
    pub state: Fold,
}

/// The position and the time of a snapshot in the log, without its state.
#[value]
pub struct Header {
    /// Offset of the first record that isn't part of the state.
    pub at: id::Offset,
    /// Wall time at which the state was taken, in milliseconds since the Unix epoch.
    pub taken_ms: u64,
}

/// A node's view of the log, from which [`Schedule`] decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Offset of the oldest record that the log keeps.
    pub oldest: id::Offset,
    /// Offset of the log's next record.
    pub next: id::Offset,
    /// Number of records that the node has applied.
    pub revision: id::Revision,
    /// Newest snapshot among the applied records.
    pub newest: Option<Header>,
    /// Whether the node's state holds records of kinds that the node doesn't know, whose effects it
    /// lacks.
    pub has_unknown: bool,
}

/// Settings of a [`Schedule`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the node.
    pub node: id::Node,
    /// Time for which the log guarantees to keep records.
    pub retention: Duration,
}

/// Decides when a node appends a snapshot.
///
/// Nodes take turns: each one waits [`TURN_INTERVAL`] for every node with a larger rendezvous
/// weight. Usually the first node's snapshot reaches the others before their turns.
#[derive(Debug, Clone)]
pub struct Schedule {
    options: Options,
    /// Time from which the node's wait for its turn counts; `None` while no snapshot is due.
    due_since: Option<Duration>,
    newest: Option<Header>,
    /// Time at which the node first saw `newest`.
    newest_since: Duration,
}

/// Life cycle
impl Snapshot {
    /// Creates a snapshot of a state; `taken_ms` is the wall time in milliseconds since the Unix
    /// epoch.
    pub fn new(fold: &Fold, taken_ms: u64) -> Snapshot {
        Snapshot { format: FORMAT, at: fold.revision(), taken_ms, state: fold.clone() }
    }
}

/// Life cycle
impl Schedule {
    /// Creates a schedule.
    pub fn new(options: Options) -> Schedule {
        Schedule { options, due_since: None, newest: None, newest_since: Duration::ZERO }
    }
}

/// Mutation
impl Schedule {
    /// Returns whether the node should append a snapshot now.
    ///
    /// `now` is the time since the start of the process, `wall_ms` the wall time in milliseconds
    /// since the Unix epoch, and `nodes` are the names of the live nodes.
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
        if view.revision != view.next || !self.is_due(now, wall_ms, view) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        let rank = rank(&self.options.node, nodes, view);
        if now.saturating_sub(since) < TURN_INTERVAL.saturating_mul(rank) {
            return false;
        }
        // An append without effect is repeated `rank + 1` intervals later. The node of rank 0
        // doesn't wait: the next call returns `true` again until the node has read the snapshot
        // back.
        self.due_since = Some(now + TURN_INTERVAL);
        true
    }

    /// Returns whether the log needs a new snapshot. The age of the newest snapshot is the larger
    /// of its age by wall time and the time since this node first saw it; otherwise a fast clock of
    /// the snapshot's writer would delay the next snapshot.
    fn is_due(&self, now: Duration, wall_ms: u64, view: &View) -> bool {
        let Some(newest) = view.newest else { return view.revision > 0 };
        let age = Duration::from_millis(wall_ms.saturating_sub(newest.taken_ms));
        let observed_age = now.saturating_sub(self.newest_since);
        let is_old = age.max(observed_age) >= self.options.retention / RETENTION_DIVISOR;
        let is_tail_long = view.next.saturating_sub(newest.at) >= MAX_TAIL_RECORDS;
        let is_trimmed = newest.at < view.oldest;
        is_old || is_tail_long || is_trimmed
    }
}

/// Returns the number of turns for which the node waits. Nodes whose state holds records of unknown
/// kinds come after all others.
fn rank<'a>(node: &str, nodes: impl IntoIterator<Item = &'a str>, view: &View) -> u32 {
    let item = format!("snapshot/{}", view.newest.map_or(0, |it| it.at));
    let own_weight = (rendezvous::weight(node, &item), node);
    let (mut before, mut all) = (0, 0);
    for other in nodes {
        all += 1;
        before += u32::from((rendezvous::weight(other, &item), other) > own_weight);
    }
    if view.has_unknown { before + all } else { before }
}
