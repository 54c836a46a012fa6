//! The steward of a failure domain: forms and releases groups, by term.
//!
//! A claim in the platform's log starts a term; the claim's offset is the fencing number of all orders
//! of the term. [`Steward::step`] takes in what happened and says what to do; every node of the failure
//! domain runs one, and the log decides which of them holds the term.
//!
//! Hosts that enforce fencing numbers are ordered to fence under the new number, and their answer tells
//! the group that they are in. They can be used from then on, whether or not the lease holds. Hosts that
//! ignore fencing numbers are used only while the lease holds by this node's clock, and only after every
//! earlier lease lapsed and every order under it has taken effect or never will; then their state is read
//! first.

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

/// The steward's part that one node plays for its failure domain.
#[derive(Debug)]
pub struct Steward {
    options: Options,
    lease: lease::Lease,
    hosts: hosts::Hosts,
    entries: Vec<host::Entry>,
    catalog: Arc<catalog::Catalog>,
    next_plan: Duration,
    retiring: retiring::Retiring,
    fabric_outages: fabric_outage::Detector,
    counter: u64,
    orders: u64,
    missing: usize,
    lapsed: bool,
    unfenced: bool,
    out: Vec<Output>,
}

/// Life cycle
impl Steward {
    /// Makes a steward that knows nothing and holds no term.
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
            counter: 0,
            orders: 0,
            missing: 0,
            lapsed: false,
            unfenced: false,
            out: Vec::new(),
        }
    }
}

/// Access
impl Steward {
    /// Fencing number of the term that this node holds, if it does.
    pub fn fence(&self) -> Option<id::Fence> {
        self.lease.held().map(|it| it.fence)
    }

    /// The present term, as this node read it.
    pub fn term(&self) -> &term::Term {
        &self.lease.term
    }

    /// What placement would see at `now`.
    pub fn placement_input(&self, now: Duration) -> placement::Input {
        let allowed = |it: &hosts::Host| self.allowed(now, it.enforces);
        placement::Input {
            now,
            hosts: snapshot::hosts(&self.hosts, allowed),
            groups: snapshot::groups(&self.hosts, &self.retiring),
            demands: snapshot::demands(&self.catalog, &self.options.domain),
            held: self.fabric_outages.repair_held(now, &self.options.fabric_outage),
            limits: self.options.limits.clone(),
        }
    }

    /// Tells whether hosts of a kind may get orders at `now`.
    fn allowed(&self, now: Duration, enforces: bool) -> bool {
        let Some(held) = self.lease.held() else { return false };
        enforces || (now < held.until && now >= self.lease.quiet_from(&self.options))
    }
}

/// Mutation
impl Steward {
    /// Takes in what happened at `now` and says what to do.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Record { offset, claim } => self.on_record(now, offset, &claim),
            Input::LogRead => self.lease.log_read(now, &self.options),
            Input::Appended { sequence, outcome } => self.lease.appended(sequence, outcome),
            Input::Observed { observation, asked } => self.on_observed(now, observation, asked),
            Input::ObservedByPeer(observation) => self.on_heard(now, &observation),
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
        std::mem::take(&mut self.out)
    }

    fn on_record(&mut self, now: Duration, offset: id::Offset, claim: &claim::Claim) {
        let changes = self.lease.record(now, offset, claim, &self.options);
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
        self.hosts.values_mut().for_each(hosts::Host::unconfirm);
        self.counter = 0;
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
        self.out.push(Output::Append(claim));
        self.on_changes(changes);
    }

    fn on_tick(&mut self, now: Duration) {
        if self.lease.neglected(now, &self.options) {
            self.resign(now, event::End::NotRenewed);
        }
        if let Some(claim) = self.lease.due(now, &self.options) {
            self.out.push(Output::Append(claim));
        }
        self.expire(now);
        self.watch_fabrics(now);
        let Some(held) = self.lease.held() else { return };
        self.note_lease(now, held);
        self.confirm(now, held.fence);
        if now >= self.next_plan {
            self.next_plan = now + self.options.plan_interval;
            self.plan(now, held.fence);
        }
    }

    /// Tells the time line when the right to use hosts that ignore fencing numbers comes and goes.
    fn note_lease(&mut self, now: Duration, held: lease::Held) {
        let lapsed = now >= held.until;
        if lapsed && !self.lapsed {
            self.event(event::Event::LeaseLapsed { fence: held.fence });
        }
        self.lapsed = lapsed;
        if !self.unfenced && self.allowed(now, false) {
            self.unfenced = true;
            let waited = now.saturating_sub(held.since);
            self.event(event::Event::UnfencedAllowed { fence: held.fence, waited });
        }
    }

    fn event(&mut self, event: event::Event) {
        self.out.push(Output::Event(event));
    }
}
