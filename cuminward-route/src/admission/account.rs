//! An owner's record of the slots of one node.

use std::time::Duration;

use super::message;

/// Unacknowledged grants that are tracked separately for one node; older ones are merged.
const MAX_PENDING: usize = 8;

/// A grant that was sent and isn't acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    seq: u64,
    slots: u32,
    reserve: u32,
}

/// Slots of one node: reported by the node, granted to it and intended for it.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Period, sequence number and reset count of the node's last report.
    pub(super) join: message::Join,
    pub(super) report: u64,
    pub(super) reset: u64,
    /// Whether the node has joined the owner's session.
    pub(super) joined: bool,
    /// Whether the node is on the list of nodes that may send work.
    pub(super) listed: bool,
    /// Slots that the node may be using according to its last report.
    pub(super) held: u32,
    pub(super) in_use: u32,
    /// Reported number of slots that the node may use.
    allowance: u32,
    /// Reported number of requests that wait for a slot.
    pub(super) waiting: u32,
    /// Reported number of slots that the node may use without a grant.
    pub(super) reserve_held: u32,
    /// Slots that the owner lets the node use without a grant.
    pub(super) reserve: u32,
    /// The node's share of the slots that may be used without a grant.
    pub(super) reserve_share: u32,
    /// Slots that the owner assigns to the node; the node has at least its reserve.
    pub(super) target: u32,
    /// Target and reserve of the last grant.
    pub(super) sent: (u32, u32),
    /// Grants that the node hasn't acknowledged, oldest first.
    pending: Vec<Pending>,
    /// Time of the last report, by the node's clock.
    pub(super) echo: Duration,
    /// Time of the report from which the last grant's lease counts, by the node's clock.
    renewed: Duration,
    /// Time of the last report, by the owner's clock.
    pub(super) reported_at: Duration,
}

/// Life cycle
impl Account {
    /// Creates the account of a node that hasn't reported yet.
    pub(super) fn new(now: Duration) -> Account {
        Account { reported_at: now, ..Account::default() }
    }
}

/// Access
impl Account {
    /// Returns the largest number of slots that the node may be using.
    pub(super) fn committed(&self) -> u32 {
        let pending = self.pending.iter().map(|it| it.slots).max().unwrap_or(0);
        self.held.max(pending).max(self.assigned())
    }

    /// Returns the largest number of slots that the node may be using without a grant.
    pub(super) fn reserved(&self) -> u32 {
        let pending = self.pending.iter().map(|it| it.reserve).max().unwrap_or(0);
        self.reserve_held.max(pending).max(self.reserve)
    }

    /// Returns whether the target or the reserve has changed since the last grant.
    pub(super) fn has_changed(&self) -> bool {
        self.sent != (self.target, self.reserve)
    }

    /// Returns the number of slots that the node should have: its target, but at least its reserve.
    pub(super) fn assigned(&self) -> u32 {
        self.target.max(self.reserve)
    }

    /// Returns the number of requests that run or wait at the node.
    pub(super) fn demand(&self) -> u32 {
        self.in_use + self.waiting
    }

    /// Returns the number of slots that the node gives back as soon as it receives the last grant.
    /// Slots that are in use and will be given back later don't count.
    pub(super) fn returning(&self) -> u32 {
        self.allowance.saturating_sub(self.assigned().max(self.in_use))
    }

    /// Returns whether the node uses more slots than it should have although it has applied the
    /// lower grant.
    pub(super) fn is_overrun(&self) -> bool {
        self.allowance <= self.assigned() && self.in_use > self.assigned()
    }

    /// Returns whether the last report needs a grant as its answer: the node's slots differ from
    /// what it should have, or its lease is due for renewal.
    pub(super) fn needs_grant(&self, renewal: Duration) -> bool {
        let differs = self.allowance != self.assigned() || self.reserve_held != self.reserve;
        differs || self.echo >= self.renewed + renewal
    }

    /// Returns how many more slots the node needs than it should have.
    pub(super) fn deficit(&self) -> u32 {
        self.demand().saturating_sub(self.assigned())
    }

    /// Returns the number of slots that can be taken back: those beyond the node's demand or beyond
    /// `max`.
    pub(super) fn surplus(&self, max: u32) -> u32 {
        self.assigned().saturating_sub(self.demand().min(max).max(self.reserve))
    }

    /// Returns the number of slots that the node should have while enough are free: one more than
    /// its demand, so that the next request needn't wait for a grant.
    pub(super) fn demand_with_spare(&self) -> u32 {
        if self.demand() == 0 { 0 } else { self.demand() + 1 }
    }
}

/// Mutation
impl Account {
    /// Drops the grants that the node has acknowledged. If none is left and the node's allowance is
    /// below its assignment, the node has given back the difference itself.
    pub(super) fn acknowledge(&mut self, ack: u64) {
        self.pending.retain(|it| it.seq > ack);
        if self.pending.is_empty() && self.allowance < self.assigned() {
            self.target = self.allowance;
            self.sent.0 = self.allowance;
        }
    }

    /// Frees all slots of the node except its reserve. The reserve has no lease, so the largest one
    /// that the node may have received still counts.
    pub(super) fn expire(&mut self) {
        self.reserve_held = self.reserved();
        self.held = self.reserve_held;
        self.allowance = self.held;
        self.in_use = 0;
        self.waiting = 0;
        self.revoke();
    }

    /// Drops the target and all pending grants, which the node can no longer apply.
    pub(super) fn revoke(&mut self) {
        self.target = 0;
        self.pending.clear();
    }

    /// Updates the account from a report.
    pub(super) fn update(&mut self, now: Duration, holdings: &message::Holdings) {
        self.join = holdings.join;
        self.report = holdings.report;
        self.reset = holdings.reset;
        self.held = holdings.in_use.max(holdings.allowance);
        self.reserve_held = holdings.reserve;
        if !self.joined {
            self.reserve = holdings.reserve.min(self.reserve_share);
        }
        self.allowance = holdings.allowance;
        self.in_use = holdings.in_use;
        self.waiting = holdings.waiting;
        self.echo = holdings.sent;
        self.reported_at = now;
    }

    /// Records a grant of the current target. If too many grants are pending, the two oldest are
    /// merged.
    pub(super) fn record_grant(&mut self, seq: u64) {
        if self.pending.len() == MAX_PENDING {
            let oldest = self.pending.remove(0);
            let next = &mut self.pending[0];
            next.slots = next.slots.max(oldest.slots);
            next.reserve = next.reserve.max(oldest.reserve);
        }
        self.renewed = self.echo;
        self.sent = (self.target, self.reserve);
        self.pending.push(Pending { seq, slots: self.assigned(), reserve: self.reserve });
    }
}
