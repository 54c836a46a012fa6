//! Reports of hosts: states that were read, answers to orders, missing answers.

use std::time::Duration;

use cuminward_core::{host, id};

use super::{Answer, Input, Output, Steward, event, hosts};
use crate::order;

/// Reports
impl Steward {
    /// Processes a report that this node read from a host.
    pub(super) fn on_observed(
        &mut self,
        now: Duration,
        observation: host::Observation,
        asked: Duration,
    ) {
        let name = observation.report.host.clone();
        let Some(known) = self.hosts.get(&name) else { return };
        if asked < known.valid_from || known.open_order.is_some() {
            return self.on_answering(&name);
        }
        self.accept_report(now, observation.report, asked);
    }

    /// Processes a report that another node read; reads the host's state itself if it differs.
    pub(super) fn on_observed_by_peer(&mut self, now: Duration, observation: &host::Observation) {
        let name = &observation.report.host;
        self.on_answering(name);
        if self.lease.held().is_none() {
            return;
        }
        let retry = self.options.retry_delay;
        let Some(known) = self.hosts.get_mut(name) else { return };
        let same = known.report.as_ref().is_some_and(|it| {
            it.incarnation == observation.report.incarnation
                && it.membership == observation.report.membership
        });
        let is_recent = known.last_request.is_some_and(|it| now < it + retry);
        if same || is_recent || known.open_order.is_some() {
            return;
        }
        known.last_request = Some(now);
        let address = known.address.clone();
        self.outputs.push(Output::Read { host: name.clone(), address });
    }

    /// Records that a host doesn't answer.
    pub(super) fn on_unreachable(&mut self, now: Duration, name: &str) {
        let Some(known) = self.hosts.get_mut(name) else { return };
        known.down_since.get_or_insert(now);
    }

    /// Records that a host answers.
    fn on_answering(&mut self, name: &str) {
        let Some(known) = self.hosts.get_mut(name) else { return };
        known.down_since = None;
        if std::mem::take(&mut known.lost) {
            known.confirmed = false;
            self.event(event::Event::HostBack { host: name.to_owned() });
        }
    }

    /// Stores a report that was requested at `asked`, while no order to the host was under way.
    fn accept_report(&mut self, now: Duration, report: host::Report, asked: Duration) {
        let name = report.host.clone();
        self.on_answering(&name);
        if self.end_if_fenced(&name, report.fence) {
            return;
        }
        let confirms = self.confirms(now, &name, report.fence, asked);
        let Some(known) = self.hosts.get_mut(&name) else { return };
        let incarnation = report.incarnation;
        let membership = report.membership.clone();
        known.read_at = Some(asked);
        let restarted = known.apply_report(report);
        let first = confirms && !known.confirmed;
        known.confirmed = confirms;
        if restarted {
            self.event(event::Event::HostRestarted { host: name.clone(), incarnation });
        }
        if first {
            self.event(event::Event::HostConfirmed { host: name, membership });
        }
    }

    /// Returns whether a report confirms a host's state under the current term.
    fn confirms(&self, now: Duration, name: &str, fence: id::Fence, asked: Duration) -> bool {
        let (Some(held), Some(known)) = (self.lease.held(), self.hosts.get(name)) else {
            return false;
        };
        if known.enforces_fencing {
            return fence == held.fence;
        }
        self.may_order(now, false) && asked >= self.lease.earlier_orders_end(&self.options)
    }

    /// Ends the term if a host that enforces fencing has seen a larger token; returns whether it did.
    fn end_if_fenced(&mut self, name: &str, fence: id::Fence) -> bool {
        let enforces_fencing = self.hosts.get(name).is_some_and(|it| it.enforces_fencing);
        let larger = self.lease.held().is_some_and(|it| fence > it.fence);
        if !(enforces_fencing && larger) {
            return false;
        }
        let changes = self.lease.end(event::End::Fenced);
        self.on_changes(changes);
        true
    }
}

/// Answers to orders
impl Steward {
    /// Processes the outcome of an order.
    pub(super) fn on_answer(&mut self, now: Duration, name: &str, order: &str, outcome: Answer) {
        let Some(known) = self.hosts.get_mut(name) else { return };
        let Some(open) = known.open_order.take_if(|it| it.order == order) else { return };
        match outcome {
            Answer::Accepted(report) => {
                known.valid_from = now;
                self.accept_report(now, report, open.sent);
            }
            Answer::Stale { fence } => {
                known.valid_from = now;
                known.confirmed = false;
                self.end_if_fenced(name, fence);
            }
            Answer::Refused { code } => self.on_refused(now, name, code),
            Answer::Unknown => self.on_unknown(name, open),
        }
    }

    fn on_refused(&mut self, now: Duration, name: &str, code: String) {
        let retry = self.options.retry_delay;
        let Some(known) = self.hosts.get_mut(name) else { return };
        known.valid_from = now;
        known.confirmed = false;
        known.next_request = now + retry;
        self.event(event::Event::OrderRefused { host: name.to_owned(), code });
    }

    /// Keeps the order open until it can't take effect any more.
    fn on_unknown(&mut self, name: &str, open: hosts::OpenOrder) {
        let Some(known) = self.hosts.get_mut(name) else { return };
        known.open_order = Some(open);
        known.confirmed = false;
        self.event(event::Event::OrderUnknown { host: name.to_owned() });
    }

    /// Closes orders that can't take effect any more, and marks hosts as lost that don't answer for long.
    pub(super) fn apply_timeouts(&mut self, now: Duration) {
        let (bound, dead) = (self.options.max_order_delay, self.options.lost_after);
        let mut lost = Vec::new();
        for (name, known) in &mut self.hosts {
            if known.open_order.as_ref().is_some_and(|it| now >= it.sent + bound) {
                known.open_order = None;
                known.confirmed = false;
                known.valid_from = now;
            }
            if !known.lost && known.down_since.is_some_and(|it| now >= it + dead) {
                known.lost = true;
                known.confirmed = false;
                lost.push(name.clone());
            }
        }
        for host in lost {
            self.event(event::Event::HostLost { host });
        }
    }
}

/// Returns the input that reports an order as not sent, since its deadline had passed.
pub fn expired_order(host: id::Host, order: order::Id) -> Input {
    let code = super::EXPIRED_CODE.to_owned();
    Input::OrderCompleted { host, order, outcome: Answer::Refused { code } }
}
