//! This node's own part in the lease: when to claim, renew and resign.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{id, rendezvous};

use super::{
    Options,
    claim::{self, Claim, Kind},
    event::End,
    term::Term,
};

/// The node's own part in the lease of its failure domain.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// The present term.
    pub(super) term: Term,
    nodes: Vec<id::Node>,
    sequence: u64,
    /// When records were sent that haven't been read back yet, by sequence.
    sent: BTreeMap<u64, Duration>,
    open: Option<(u64, Duration)>,
    /// When the last record was handed out.
    last: Option<Duration>,
    /// The term that this node holds: number, start and own end of the lease.
    held: Option<Held>,
    log_since: Option<Duration>,
    log_read: Option<Duration>,
}

/// A term that this node holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    /// Fencing number.
    pub(super) fence: id::Fence,
    /// When the node learned that it holds the term.
    pub(super) since: Duration,
    /// When the lease lapses by this node's clock, counted from the sending.
    pub(super) until: Duration,
}

/// What changed about the term that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// This node holds a new term.
    Started(id::Fence),
    /// This node no longer holds its term.
    Ended(id::Fence, End),
}

/// Access
impl Lease {
    /// The term that this node holds.
    pub(super) fn held(&self) -> Option<Held> {
        self.held
    }

    /// Tells whether the log was read to its end a short time ago.
    pub(super) fn log_here(&self, now: Duration, options: &Options) -> bool {
        self.log_read.is_some_and(|it| now.saturating_sub(it) < options.max_log_age)
    }

    /// When orders of earlier terms can't take effect any more.
    pub(super) fn quiet_from(&self, options: &Options) -> Duration {
        match self.term.earlier_lease_end() {
            Duration::ZERO => Duration::ZERO,
            earlier => earlier + options.clock_margin() + options.max_order_delay,
        }
    }

    /// When this node may claim: after the lease, later by its rank among the nodes.
    fn claim_from(&self, options: &Options) -> Duration {
        let begin = self.log_since.unwrap_or_default();
        let nodes = self.nodes.iter().map(String::as_str);
        let item = claim::stream_name(&options.domain);
        let ranked = rendezvous::owners(nodes, &item, self.nodes.len());
        let rank = ranked.iter().position(|it| *it == options.node).unwrap_or(ranked.len());
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.term.lease_end().max(begin)
            + options.clock_margin()
            + options.claim_stagger.saturating_mul(rank)
    }
}

/// Mutation
impl Lease {
    /// Sets the live nodes of the failure domain.
    pub(super) fn set_nodes(&mut self, nodes: Vec<id::Node>) {
        self.nodes = nodes;
    }

    /// Notes that the log was read to its end.
    pub(super) fn log_read(&mut self, now: Duration, options: &Options) {
        if !self.log_here(now, options) {
            self.log_since = Some(now);
        }
        self.log_read = Some(now);
    }

    /// Takes in a record of the stream.
    pub(super) fn record(
        &mut self,
        now: Duration,
        offset: id::Offset,
        claim: &Claim,
        options: &Options,
    ) -> Vec<Change> {
        let counts = self.term.apply(now, offset, claim);
        let own = claim.node == options.node && claim.incarnation == options.incarnation;
        let sent = if own { self.sent.remove(&claim.sequence) } else { None };
        if own && self.open.is_some_and(|it| it.0 == claim.sequence) {
            self.open = None;
        }
        match (claim.kind, sent) {
            (Kind::Claim, Some(sent)) => self.start(now, offset, sent + claim.lease),
            (Kind::Claim, None) => self.end(End::Superseded),
            (Kind::Renew, Some(sent)) if counts => self.extend(sent + claim.lease),
            _ => Vec::new(),
        }
    }

    fn start(&mut self, now: Duration, fence: id::Fence, until: Duration) -> Vec<Change> {
        let mut changes = self.end(End::Superseded);
        self.held = Some(Held { fence, since: now, until });
        changes.push(Change::Started(fence));
        changes
    }

    fn extend(&mut self, until: Duration) -> Vec<Change> {
        if let Some(held) = &mut self.held {
            held.until = held.until.max(until);
        }
        Vec::new()
    }

    /// Ends the term that this node holds, if any.
    pub(super) fn end(&mut self, cause: End) -> Vec<Change> {
        self.held.take().map(|it| Change::Ended(it.fence, cause)).into_iter().collect()
    }

    /// Takes in what became of an append.
    pub(super) fn appended(&mut self, sequence: u64, outcome: super::Append) {
        if outcome == super::Append::Failed {
            self.sent.remove(&sequence);
        }
        if outcome != super::Append::Done && self.open.is_some_and(|it| it.0 == sequence) {
            self.open = None;
        }
    }

    /// Makes a record that ends the present term.
    pub(super) fn resign(&mut self, now: Duration, options: &Options) -> Claim {
        self.write(now, Kind::Resign, options)
    }

    /// Tells whether the lease lapsed and could have been renewed, since the log is there.
    pub(super) fn neglected(&self, now: Duration, options: &Options) -> bool {
        let Some(held) = self.held else { return false };
        let since = held.until.max(self.log_since.unwrap_or_default());
        self.log_here(now, options) && now >= since + options.lease
    }

    /// Makes the record that is due at `now`, if any.
    pub(super) fn due(&mut self, now: Duration, options: &Options) -> Option<Claim> {
        if self.open.is_some_and(|it| now < it.1 + options.lease) || !self.log_here(now, options) {
            return None;
        }
        let rest = |it: Duration, every: Duration| now < it + every;
        match self.held {
            Some(_) if self.last.is_some_and(|it| rest(it, options.renew_interval)) => None,
            Some(_) => Some(self.write(now, Kind::Renew, options)),
            None if now < self.claim_from(options) => None,
            None if self.last.is_some_and(|it| rest(it, options.retry_delay)) => None,
            None => Some(self.write(now, Kind::Claim, options)),
        }
    }

    fn write(&mut self, now: Duration, kind: Kind, options: &Options) -> Claim {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        self.open = Some((self.sequence, now));
        self.last = Some(now);
        Claim {
            node: options.node.clone(),
            incarnation: options.incarnation,
            sequence: self.sequence,
            lease: options.lease,
            kind,
        }
    }
}
