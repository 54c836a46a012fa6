//! Leader election on this node: when to claim, renew and resign the lease of the failure domain.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{id, rendezvous};

use super::{
    Options,
    claim::{self, Claim, Kind},
    event::End,
    term::Term,
};

/// State of this node in the election for the lease of its failure domain.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// The current term, as read from the log.
    pub(super) term: Term,
    nodes: Vec<id::Node>,
    sequence: u64,
    /// Send times of the records that haven't been read back yet, by sequence number.
    sent: BTreeMap<u64, Duration>,
    open_append: Option<(u64, Duration)>,
    /// When the last record was made.
    last_sent: Option<Duration>,
    /// The term that this node holds.
    held: Option<Held>,
    log_available_since: Option<Duration>,
    log_read: Option<Duration>,
}

/// A term that this node holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    /// Fencing token.
    pub(super) fence: id::Fence,
    /// When the node learned that it holds the term.
    pub(super) since: Duration,
    /// When the lease lapses by this node's clock, counted from the sending of the record.
    pub(super) until: Duration,
}

/// Change of the term that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// This node holds a new term.
    Started(id::Fence),
    /// This node no longer holds its term.
    Ended(id::Fence, End),
}

/// Access
impl Lease {
    /// Returns the term that this node holds.
    pub(super) fn held(&self) -> Option<Held> {
        self.held
    }

    /// Returns whether the log was read to its end less than `max_log_age` ago.
    pub(super) fn is_log_current(&self, now: Duration, options: &Options) -> bool {
        self.log_read.is_some_and(|it| now.saturating_sub(it) < options.max_log_age)
    }

    /// Returns the time from which on no order of an earlier term can take effect.
    pub(super) fn earlier_orders_end(&self, options: &Options) -> Duration {
        match self.term.earlier_lease_end() {
            Duration::ZERO => Duration::ZERO,
            earlier => earlier + options.clock_margin() + options.max_order_delay,
        }
    }

    /// Returns when this node may claim: after the end of the lease, staggered by its rank among the nodes.
    fn earliest_claim(&self, options: &Options) -> Duration {
        let log_available_since = self.log_available_since.unwrap_or_default();
        let nodes = self.nodes.iter().map(String::as_str);
        let item = claim::stream_name(&options.domain);
        let ranked = rendezvous::owners(nodes, &item, self.nodes.len());
        let rank = ranked.iter().position(|it| *it == options.node).unwrap_or(ranked.len());
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.term.lease_end().max(log_available_since)
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

    /// Records that the log was read to its end.
    pub(super) fn log_read(&mut self, now: Duration, options: &Options) {
        if !self.is_log_current(now, options) {
            self.log_available_since = Some(now);
        }
        self.log_read = Some(now);
    }

    /// Applies a record of the stream; returns the changes of the term that this node holds.
    pub(super) fn apply_record(
        &mut self,
        now: Duration,
        offset: id::Offset,
        claim: &Claim,
        options: &Options,
    ) -> Vec<Change> {
        let counts = self.term.apply(now, offset, claim);
        let own = claim.node == options.node && claim.incarnation == options.incarnation;
        let sent = if own { self.sent.remove(&claim.sequence) } else { None };
        if own && self.open_append.is_some_and(|it| it.0 == claim.sequence) {
            self.open_append = None;
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

    /// Records the outcome of an append.
    pub(super) fn append_ended(&mut self, sequence: u64, outcome: super::Append) {
        if outcome == super::Append::Failed {
            self.sent.remove(&sequence);
        }
        if outcome != super::Append::Done && self.open_append.is_some_and(|it| it.0 == sequence) {
            self.open_append = None;
        }
    }

    /// Creates a record that ends the current term.
    pub(super) fn resign(&mut self, now: Duration, options: &Options) -> Claim {
        self.new_claim(now, Kind::Resign, options)
    }

    /// Returns whether the lease lapsed and wasn't renewed for the length of a lease, although the log was
    /// available.
    pub(super) fn missed_renewal(&self, now: Duration, options: &Options) -> bool {
        let Some(held) = self.held else { return false };
        let since = held.until.max(self.log_available_since.unwrap_or_default());
        self.is_log_current(now, options) && now >= since + options.lease
    }

    /// Makes the claim or renewal that is due at `now`, if any.
    pub(super) fn next_record(&mut self, now: Duration, options: &Options) -> Option<Claim> {
        if self.open_append.is_some_and(|it| now < it.1 + options.lease)
            || !self.is_log_current(now, options)
        {
            return None;
        }
        let is_within = |it: Duration, every: Duration| now < it + every;
        match self.held {
            Some(_) if self.last_sent.is_some_and(|it| is_within(it, options.renew_interval)) => {
                None
            }
            Some(_) => Some(self.new_claim(now, Kind::Renew, options)),
            None if now < self.earliest_claim(options) => None,
            None if self.last_sent.is_some_and(|it| is_within(it, options.retry_delay)) => None,
            None => Some(self.new_claim(now, Kind::Claim, options)),
        }
    }

    fn new_claim(&mut self, now: Duration, kind: Kind, options: &Options) -> Claim {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        self.open_append = Some((self.sequence, now));
        self.last_sent = Some(now);
        Claim {
            node: options.node.clone(),
            incarnation: options.incarnation,
            sequence: self.sequence,
            lease: options.lease,
            kind,
        }
    }
}
