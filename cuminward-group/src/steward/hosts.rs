//! What a steward knows about each host of its failure domain.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{catalog, host, id};

use crate::{order, placement};

/// What is known about one host.
#[derive(Debug, Clone, Default)]
pub(super) struct Host {
    /// Fabric domain.
    pub(super) fabric: id::Fabric,
    /// IP address and port.
    pub(super) address: String,
    /// Whether the host refuses old fencing numbers.
    pub(super) enforces: bool,
    /// Whether the host is leaving or drained.
    pub(super) leaving: bool,
    /// Newest report that this node read by itself.
    pub(super) report: Option<host::Report>,
    /// When `report` was asked for.
    pub(super) read_at: Option<Duration>,
    /// Whether `report` was read under the present term, with all earlier orders settled.
    pub(super) confirmed: bool,
    /// Whether `report` was read under the present term, maybe with earlier orders under way.
    pub(super) read: bool,
    /// Readings that were asked for before this time say nothing about the present.
    pub(super) valid_from: Duration,
    /// Since when the host doesn't answer.
    pub(super) down_since: Option<Duration>,
    /// Whether the host counts as lost.
    pub(super) lost: bool,
    /// Order under way.
    pub(super) open: Option<Open>,
    /// Weights that the host has loaded.
    pub(super) weights: Option<placement::Weights>,
    /// When the host may be asked or ordered again.
    pub(super) next: Duration,
    /// When the host was last asked for its state.
    pub(super) asked: Option<Duration>,
}

/// An order that has no answer yet.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Open {
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
    /// The host refuses smaller fencing numbers.
    Fence,
}

/// Hosts by name.
pub(super) type Hosts = BTreeMap<id::Host, Host>;

/// Access
impl Host {
    /// Membership in the newest report.
    pub(super) fn membership(&self) -> Option<&host::Membership> {
        self.report.as_ref().and_then(|it| it.membership.as_ref())
    }

    /// Membership that the host reports or gets by an order under way.
    pub(super) fn formation(&self) -> Option<&host::Membership> {
        match self.open.as_ref().map(|it| &it.effect) {
            Some(Effect::Form(it)) => Some(it),
            _ => self.membership(),
        }
    }

    /// Tells whether the host loads weights.
    pub(super) fn loads(&self) -> bool {
        self.membership().is_some_and(|it| it.phase == host::Phase::Loading)
    }

    /// What placement may do with the host.
    pub(super) fn state(&self, allowed: bool) -> placement::State {
        if self.lost {
            return placement::State::Down;
        }
        if !allowed || !self.confirmed || self.open.is_some() || self.down_since.is_some() {
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
    /// Takes in a report; tells whether the host was started again.
    pub(super) fn learn(&mut self, report: host::Report) -> bool {
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

    /// Forgets what earlier terms confirmed.
    pub(super) fn unconfirm(&mut self) {
        self.confirmed = false;
        self.read = false;
        self.next = Duration::ZERO;
    }
}

/// Brings the set of hosts in line with the host list and the declared traits.
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
        let enforces = catalog.fencing(name) == catalog::Fencing::Enforced;
        known.confirmed &= enforces == known.enforces;
        known.enforces = enforces;
        known.leaving = entry.state == host::State::Leaving || catalog.drained.contains(name);
    }
}
