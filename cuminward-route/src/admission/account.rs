//! What an owner knows of one node.

use std::time::Duration;

use super::message;

/// Unacknowledged grants that are told apart for one node.
const MAX_PENDING: usize = 8;

/// A grant that was sent.
#[derive(Debug, Clone, Copy)]
struct Promise {
    seq: u64,
    slots: u32,
    reserve: u32,
}

/// What one node holds.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub(super) join: message::Join,
    pub(super) report: u64,
    pub(super) reset: u64,
    pub(super) joined: bool,
    pub(super) listed: bool,
    /// Slots that the node reported to hold.
    pub(super) held: u32,
    pub(super) in_use: u32,
    /// Allowance that the node reported.
    allowance: u32,
    pub(super) waiting: u32,
    /// Slots that the node reported to use without a grant.
    pub(super) reserve_held: u32,
    /// Slots that the node is meant to use without a grant.
    pub(super) reserve: u32,
    /// The node's share of what may be used without a grant.
    pub(super) entitled: u32,
    /// Slots that the node is meant to have, its reserve aside.
    pub(super) target: u32,
    /// Target and reserve of the last grant.
    pub(super) sent: (u32, u32),
    /// Grants that the node hasn't acknowledged.
    pending: Vec<Promise>,
    pub(super) echo: Duration,
    /// Report that the last grant's lease counts from.
    renewed: Duration,
    pub(super) heard: Duration,
}

/// Life cycle
impl Account {
    /// Makes the account of a node that hasn't reported yet.
    pub(super) fn new(now: Duration) -> Account {
        Account { heard: now, ..Account::default() }
    }
}

/// Access
impl Account {
    /// Slots that the node may be using.
    pub(super) fn committed(&self) -> u32 {
        let pending = self.pending.iter().map(|it| it.slots).max().unwrap_or(0);
        self.held.max(pending).max(self.level())
    }

    /// Slots that the node may be using without a grant.
    pub(super) fn reserved(&self) -> u32 {
        let pending = self.pending.iter().map(|it| it.reserve).max().unwrap_or(0);
        self.reserve_held.max(pending).max(self.reserve)
    }

    /// Tells whether the node has to be told of a change.
    pub(super) fn changed(&self) -> bool {
        self.sent != (self.target, self.reserve)
    }

    /// Slots that the node is meant to have.
    pub(super) fn level(&self) -> u32 {
        self.target.max(self.reserve)
    }

    /// Requests that run or wait at the node.
    pub(super) fn demand(&self) -> u32 {
        self.in_use + self.waiting
    }

    /// Slots that the node will give back as soon as it hears of it. Slots in use that it gives back
    /// later don't count.
    pub(super) fn returning(&self) -> u32 {
        self.allowance.saturating_sub(self.level().max(self.in_use))
    }

    /// Slots in use beyond the target although the node knows of the target.
    pub(super) fn overrun(&self) -> bool {
        self.allowance <= self.level() && self.in_use > self.level()
    }

    /// Tells whether the last report needs an answer: the node has other slots than it is meant to
    /// have, or its lease wants renewal.
    pub(super) fn wants_grant(&self, renewal: Duration) -> bool {
        let differs = self.allowance != self.level() || self.reserve_held != self.reserve;
        differs || self.echo >= self.renewed + renewal
    }

    /// Slots that the node needs beyond those that it is meant to have.
    pub(super) fn lack(&self) -> u32 {
        self.demand().saturating_sub(self.level())
    }

    /// Slots that can be taken back: those beyond the node's need or beyond `most`.
    pub(super) fn surplus(&self, most: u32) -> u32 {
        self.level().saturating_sub(self.demand().min(most).max(self.reserve))
    }

    /// Slots that the node is to have while there are enough: one more than it needs.
    pub(super) fn comfort(&self) -> u32 {
        if self.demand() == 0 { 0 } else { self.demand() + 1 }
    }
}

/// Mutation
impl Account {
    /// Drops the promises that the node has acknowledged. When these are all, the node itself has
    /// given back what its allowance is below the target.
    pub(super) fn acknowledge(&mut self, ack: u64) {
        self.pending.retain(|it| it.seq > ack);
        if self.pending.is_empty() && self.allowance < self.level() {
            self.target = self.allowance;
            self.sent.0 = self.allowance;
        }
    }

    /// Frees all but what the node may use without a grant; that has no lease, so it counts as the
    /// node would have it after all grants that it may have received.
    pub(super) fn lapse(&mut self) {
        self.reserve_held = self.reserved();
        self.held = self.reserve_held;
        self.allowance = self.held;
        self.in_use = 0;
        self.waiting = 0;
        self.revoke();
    }

    /// Forgets what was granted; the node can't take it over any more.
    pub(super) fn revoke(&mut self) {
        self.target = 0;
        self.pending.clear();
    }

    pub(super) fn take(&mut self, now: Duration, holdings: &message::Holdings) {
        self.join = holdings.join;
        self.report = holdings.report;
        self.reset = holdings.reset;
        self.held = holdings.in_use.max(holdings.allowance);
        self.reserve_held = holdings.reserve;
        if !self.joined {
            self.reserve = holdings.reserve.min(self.entitled);
        }
        self.allowance = holdings.allowance;
        self.in_use = holdings.in_use;
        self.waiting = holdings.waiting;
        self.echo = holdings.sent;
        self.heard = now;
    }

    /// Notes a grant of the target; the oldest ones are merged when there are too many.
    pub(super) fn promise(&mut self, seq: u64) {
        if self.pending.len() == MAX_PENDING {
            let oldest = self.pending.remove(0);
            let next = &mut self.pending[0];
            next.slots = next.slots.max(oldest.slots);
            next.reserve = next.reserve.max(oldest.reserve);
        }
        self.renewed = self.echo;
        self.sent = (self.target, self.reserve);
        self.pending.push(Promise { seq, slots: self.level(), reserve: self.reserve });
    }
}
