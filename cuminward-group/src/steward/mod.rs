//! The steward: leader of a failure domain, elected by a lease, that forms and releases its groups.
//!
//! A claim in the platform's log starts a term of leadership; the claim's offset is the fencing token of all
//! orders of the term. [`Steward::step`] is a state machine without I/O: it takes an input and returns the
//! actions to take. Every node of the failure domain runs one, and the log decides which node holds the term.
//!
//! Hosts that enforce fencing tokens are ordered to fence with the new token, and their answer shows which
//! group they are in. From then on they get orders whether or not the lease holds. Hosts that
//! ignore fencing tokens get orders only while the lease holds by this node's clock, and only once every
//! earlier lease has lapsed and none of its orders can take effect any more; their state is read first.

use std::{sync::Arc, time::Duration};

use cuminward_core::{catalog, host, id};

use crate::{placement, probe::fabric_outage};

pub mod claim;
pub mod event;
mod hosts;
mod lease;
mod message;
mod options;
mod orders;
mod reports;
mod retiring;
mod snapshot;
pub mod term;

pub use message::{Answer, Append, Dispatch, EXPIRED_CODE, Input, Output};
pub use options::{Options, OptionsBuilder, OptionsBuilderError};
pub use reports::expired_order;

/// Steward of one node: a candidate for the lease of its failure domain, and the leader while it holds it.
#[derive(Debug)]
pub struct Steward {
    options: Options,
    lease: lease::Lease,
    hosts: hosts::Hosts,
    entries: Vec<host::Entry>,
    catalog: Arc<catalog::Catalog>,
    /// When the next placement plan is made.
    next_plan: Duration,
    retiring: retiring::Retiring,
    fabric_outages: fabric_outage::Detector,
    formation_counter: u64,
    order_counter: u64,
    /// Number of missing replicas in the last event that reported it.
    missing: usize,
    /// Whether the lease had lapsed at the last tick.
    lapsed: bool,
    /// Whether an event of this term has reported that hosts that ignore fencing tokens may get orders.
    unfenced: bool,
    outputs: Vec<Output>,
}

/// Life cycle
impl Steward {
    /// Creates a steward that tracks no hosts and holds no term.
    pub fn new(options: Options) -> Steward {
        Steward {
            options,
            lease: lease::Lease::default(),
            hosts: hosts::Hosts::new(),
            entries: Vec::new(),
            catalog: Arc::default(),
            next_plan: Duration::ZERO,
            retiring: retiring::Retiring::new(),
            fabric_outages: fabric_outage::Detector::default(),
            formation_counter: 0,
            order_counter: 0,
            missing: 0,
            lapsed: false,
            unfenced: false,
            outputs: Vec::new(),
        }
    }
}

/// Access
impl Steward {
    /// Returns the fencing token of the term that this node holds, if any.
    pub fn fence(&self) -> Option<id::Fence> {
        self.lease.held().map(|it| it.fence)
    }

    /// Returns the current term, as this node read it from the log.
    pub fn term(&self) -> &term::Term {
        &self.lease.term
    }

    /// Returns the input of placement at `now`.
    pub fn placement_input(&self, now: Duration) -> placement::Input {
        let allowed = |it: &hosts::Host| self.may_order(now, it.enforces_fencing);
        placement::Input {
            now,
            hosts: snapshot::hosts(&self.hosts, allowed),
            groups: snapshot::groups(&self.hosts, &self.retiring),
            demands: snapshot::demands(&self.catalog, &self.options.domain),
            held: self.fabric_outages.repair_held(now, &self.options.fabric_outage),
            limits: self.options.limits.clone(),
        }
    }

    /// Returns whether hosts that enforce fencing tokens, or those that don't, may get orders at `now`.
    fn may_order(&self, now: Duration, enforces_fencing: bool) -> bool {
        let Some(held) = self.lease.held() else { return false };
        enforces_fencing
            || (now < held.until && now >= self.lease.earlier_orders_end(&self.options))
    }
}

/// Mutation
impl Steward {
    /// Processes an input at `now` and returns the actions to take.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Record { offset, claim } => self.on_record(now, offset, &claim),
            Input::LogRead => self.lease.log_read(now, &self.options),
            Input::Appended { sequence, outcome } => self.lease.append_ended(sequence, outcome),
            Input::Observed { observation, asked } => self.on_observed(now, observation, asked),
            Input::ObservedByPeer(observation) => self.on_observed_by_peer(now, &observation),
            Input::Unreachable(host) => self.on_unreachable(now, &host),
            Input::OrderCompleted { host, order, outcome } => {
                self.on_answer(now, &host, &order, outcome);
            }
            Input::Catalog(it) => self.on_catalog(it),
            Input::Hosts(it) => self.on_hosts(it),
            Input::Nodes(it) => self.lease.set_nodes(it),
            Input::Tick => self.on_tick(now),
            Input::Shutdown => self.on_shutdown(now),
        }
        std::mem::take(&mut self.outputs)
    }

    fn on_record(&mut self, now: Duration, offset: id::Offset, claim: &claim::Claim) {
        let changes = self.lease.apply_record(now, offset, claim, &self.options);
        self.on_changes(changes);
    }

    fn on_changes(&mut self, changes: Vec<lease::Change>) {
        for change in changes {
            match change {
                lease::Change::Started(fence) => self.on_start(fence),
                lease::Change::Ended(fence, cause) => {
                    self.event(event::Event::TermEnded { fence, cause });
                }
            }
        }
    }

    fn on_start(&mut self, fence: id::Fence) {
        self.hosts.values_mut().for_each(hosts::Host::reset_confirmation);
        self.formation_counter = 0;
        self.missing = 0;
        self.lapsed = false;
        self.unfenced = false;
        self.retiring.clear();
        self.event(event::Event::TermStarted { fence });
    }

    fn on_catalog(&mut self, catalog: Arc<catalog::Catalog>) {
        self.catalog = catalog;
        self.sync();
    }

    fn on_hosts(&mut self, entries: Vec<host::Entry>) {
        self.entries = entries;
        self.sync();
    }

    fn sync(&mut self) {
        hosts::sync(&mut self.hosts, &self.entries, &self.catalog, &self.options.domain);
    }

    fn on_shutdown(&mut self, now: Duration) {
        self.resign(now, event::End::Shutdown);
    }

    fn resign(&mut self, now: Duration, cause: event::End) {
        let changes = self.lease.end(cause);
        if changes.is_empty() {
            return;
        }
        let claim = self.lease.resign(now, &self.options);
        self.outputs.push(Output::Append(claim));
        self.on_changes(changes);
    }

    fn on_tick(&mut self, now: Duration) {
        if self.lease.missed_renewal(now, &self.options) {
            self.resign(now, event::End::NotRenewed);
        }
        if let Some(claim) = self.lease.next_record(now, &self.options) {
            self.outputs.push(Output::Append(claim));
        }
        self.apply_timeouts(now);
        self.detect_fabric_outages(now);
        let Some(held) = self.lease.held() else { return };
        self.report_lease(now, held);
        self.confirm(now, held.fence);
        if now >= self.next_plan {
            self.next_plan = now + self.options.plan_interval;
            self.plan(now, held.fence);
        }
    }

    /// Emits events when the lease lapses, and when hosts that ignore fencing tokens may first get orders.
    fn report_lease(&mut self, now: Duration, held: lease::Held) {
        let lapsed = now >= held.until;
        if lapsed && !self.lapsed {
            self.event(event::Event::LeaseLapsed { fence: held.fence });
        }
        self.lapsed = lapsed;
        if !self.unfenced && self.may_order(now, false) {
            self.unfenced = true;
            let waited = now.saturating_sub(held.since);
            self.event(event::Event::UnfencedAllowed { fence: held.fence, waited });
        }
    }

    fn event(&mut self, event: event::Event) {
        self.outputs.push(Output::Event(event));
    }
}
