//! The current term, computed from the stream of claims.
//!
//! The writer of the last claim holds the term. Records of other writers neither extend nor end it. Every
//! reader applies the same records in the same order, so all agree on the holder; they differ only in when
//! they read a record, and a later read makes a lease look longer, never shorter.

use std::time::Duration;

use cuminward_core::id;

use super::claim::{Claim, Kind};

/// The current term, and the end of the leases of earlier ones.
#[derive(Debug, Clone, Default)]
pub struct Term {
    holder: Option<Holder>,
    earlier_lease_end: Duration,
}

/// Holder of the current term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Node that wrote the claim.
    pub node: id::Node,
    /// Start of the node that wrote the claim.
    pub incarnation: id::Incarnation,
    /// Fencing token of the term.
    pub fence: id::Fence,
    /// When the lease lapses by the reader's clock, counted from the read of the last record.
    pub lease_end: Duration,
}

/// Access
impl Term {
    /// Returns the holder of the current term, even if its lease has lapsed.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Returns when the leases of all terms before the current one have lapsed by the reader's clock.
    pub fn earlier_lease_end(&self) -> Duration {
        self.earlier_lease_end
    }

    /// Returns when the current lease lapses by the reader's clock; zero if there was no lease yet.
    pub fn lease_end(&self) -> Duration {
        self.holder.as_ref().map_or(self.earlier_lease_end, |it| it.lease_end)
    }
}

/// Mutation
impl Term {
    /// Applies the record at `offset`, read at `now`; returns whether it changes the term.
    pub fn apply(&mut self, now: Duration, offset: id::Offset, claim: &Claim) -> bool {
        match claim.kind {
            Kind::Claim => self.start(now, offset, claim),
            Kind::Renew => self.extend(claim, now + claim.lease),
            Kind::Resign => self.extend(claim, now),
        }
    }

    fn start(&mut self, now: Duration, offset: id::Offset, claim: &Claim) -> bool {
        self.earlier_lease_end = self.earlier_lease_end.max(self.lease_end());
        self.holder = Some(Holder {
            node: claim.node.clone(),
            incarnation: claim.incarnation,
            fence: offset,
            lease_end: now + claim.lease,
        });
        true
    }

    fn extend(&mut self, claim: &Claim, until: Duration) -> bool {
        let own = |it: &&mut Holder| it.node == claim.node && it.incarnation == claim.incarnation;
        let Some(holder) = self.holder.as_mut().filter(own) else { return false };
        holder.lease_end = until;
        true
    }
}
