//! State of each host of a failure domain, as the steward tracks it.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{catalog, host, id};

use crate::{order, placement};

/// Tracked state of one host.
#[derive(Debug, Clone, Default)]
pub(super) struct Host {
    /// Fabric domain.
    pub(super) fabric: id::Fabric,
    /// IP address and port.
    pub(super) address: String,
    /// Whether the host refuses orders with smaller fencing tokens than it has seen.
    pub(super) enforces_fencing: bool,
    /// Whether the host is leaving or drained.
    pub(super) leaving: bool,
    /// Newest report that this node requested from the host.
    pub(super) report: Option<host::Report>,
    /// When `report` was requested.
    pub(super) read_at: Option<Duration>,
    /// Whether `report` was read under the current term, after all earlier orders took effect or failed.
    pub(super) confirmed: bool,
    /// Whether `report` was read under the current term, perhaps while earlier orders were under way.
    pub(super) read: bool,
    /// Reports that were requested before this time are outdated.
    pub(super) valid_from: Duration,
    /// Time since which the host doesn't answer.
    pub(super) down_since: Option<Duration>,
    /// Whether the host counts as lost.
    pub(super) lost: bool,
    /// Order that has no answer yet.
    pub(super) open_order: Option<OpenOrder>,
    /// Weights that the host has loaded.
    pub(super) weights: Option<placement::Weights>,
    /// Earliest time of the next request to the host.
    pub(super) next_request: Duration,
    /// When the host's state was last requested.
    pub(super) last_request: Option<Duration>,
}

/// An order that has no answer yet.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct OpenOrder {
    /// Id of the order.
    pub(super) order: order::Id,
    /// When it was sent.
    pub(super) sent: Duration,
    /// What the order does.
    pub(super) effect: Effect,
}

/// What an order under way does.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Effect {
    /// The host joins a group.
    Form(Box<host::Membership>),
    /// The host leaves a group.
    Release,
    /// The host refuses smaller fencing tokens.
    Fence,
}

/// Hosts by name.
pub(super) type Hosts = BTreeMap<id::Host, Host>;

/// Access
impl Host {
    /// Returns the membership in the newest report.
    pub(super) fn membership(&self) -> Option<&host::Membership> {
        self.report.as_ref().and_then(|it| it.membership.as_ref())
    }

    /// Returns the membership that an order under way gives to the host, or else the reported one.
    pub(super) fn formation(&self) -> Option<&host::Membership> {
        match self.open_order.as_ref().map(|it| &it.effect) {
            Some(Effect::Form(it)) => Some(it),
            _ => self.membership(),
        }
    }

    /// Returns whether the host loads weights.
    pub(super) fn is_loading(&self) -> bool {
        self.membership().is_some_and(|it| it.phase == host::Phase::Loading)
    }

    /// Returns the state of the host for placement; `allowed` returns whether it may get orders now.
    pub(super) fn state(&self, allowed: bool) -> placement::State {
        if self.lost {
            return placement::State::Down;
        }
        if !allowed || !self.confirmed || self.open_order.is_some() || self.down_since.is_some() {
            return placement::State::Unsure;
        }
        match self.membership() {
            Some(_) => placement::State::Member,
            None => placement::State::Free,
        }
    }
}

/// Mutation
impl Host {
    /// Stores a report; returns whether the host was restarted since the last one.
    pub(super) fn apply_report(&mut self, report: host::Report) -> bool {
        let restarted = self.report.as_ref().is_some_and(|it| it.incarnation != report.incarnation);
        if restarted {
            self.confirmed = false;
            self.weights = None;
        }
        if let Some(it) = &report.membership
            && it.phase == host::Phase::Ready
        {
            self.weights =
                Some(placement::Weights { model: it.model.clone(), version: it.version.clone() });
        }
        self.report = Some(report);
        self.read = true;
        restarted
    }

    /// Resets what was confirmed under earlier terms.
    pub(super) fn reset_confirmation(&mut self) {
        self.confirmed = false;
        self.read = false;
        self.next_request = Duration::ZERO;
    }
}

/// Updates the tracked hosts from the host list and the declared traits.
pub(super) fn sync(
    hosts: &mut Hosts,
    entries: &[host::Entry],
    catalog: &catalog::Catalog,
    domain: &str,
) {
    let listed = |it: &&host::Entry| it.role == host::Role::Engine && it.domain == domain;
    let entries: BTreeMap<&id::Host, &host::Entry> =
        entries.iter().filter(listed).map(|it| (&it.host, it)).collect();
    hosts.retain(|name, _| entries.contains_key(name));
    for (name, entry) in entries {
        let known = hosts.entry(name.clone()).or_default();
        let traits = catalog.hosts.get(name);
        known.fabric = traits.and_then(|it| it.fabric.clone()).unwrap_or(entry.fabric.clone());
        known.address = entry.address.clone();
        let enforces_fencing = catalog.fencing(name) == catalog::Fencing::Enforced;
        known.confirmed &= enforces_fencing == known.enforces_fencing;
        known.enforces_fencing = enforces_fencing;
        known.leaving = entry.state == host::State::Leaving || catalog.drained.contains(name);
    }
}
