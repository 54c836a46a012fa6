//! Giving orders: fencing hosts, forming and releasing groups.

use std::time::Duration;

use cuminward_core::{host, id};

use super::{Dispatch, Output, Steward, event, hosts};
use crate::{order, placement};

/// Bits of a generation that count the formations of one term; the others hold the fencing number.
const COUNTER_BITS: u32 = 16;

/// Multiple of the longest time of an order for which a new term waits to read its hosts.
const SURVEY_BOUNDS: u32 = 2;

/// Confirming
impl Steward {
    /// Fences hosts that enforce fencing numbers, and reads those that don't, until all are confirmed.
    pub(super) fn confirm(&mut self, now: Duration, fence: id::Fence) {
        let due: Vec<id::Host> =
            self.unconfirmed(now).take(self.options.max_requests_per_step).collect();
        for name in due {
            let Some(known) = self.hosts.get_mut(&name) else { continue };
            known.next = now + self.options.retry_delay;
            known.asked = Some(now);
            if known.enforces && !known.confirmed {
                self.send(now, &name, fence, order::Action::Fence, hosts::Effect::Fence);
            } else {
                let address = known.address.clone();
                self.out.push(Output::Read { host: name, address });
            }
        }
    }

    /// Hosts whose state has to be learned, or is due to be read again.
    fn unconfirmed(&self, now: Duration) -> impl Iterator<Item = id::Host> {
        let options = &self.options;
        let due = move |it: &hosts::Host| {
            let sweep = if it.loads() || self.drains(it) {
                options.retry_delay
            } else {
                options.reread_interval
            };
            let stale = it.asked.is_none_or(|asked| now >= asked + sweep);
            let rests = it.open.is_some() || now < it.next;
            let confirmable = self.allowed(now, it.enforces) && (!it.confirmed || stale);
            !rests && (confirmable || !it.read)
        };
        self.hosts.iter().filter(move |it| due(it.1)).map(|it| it.0.clone())
    }
}

/// Planning
impl Steward {
    /// Plans and sends the orders of the plan.
    pub(super) fn plan(&mut self, now: Duration, fence: id::Fence) {
        let input = self.placement_input(now);
        let plan = placement::plan(&input, self.options.strategy);
        for release in plan.release {
            self.retire(now, fence, &input, release);
        }
        self.release_retired(now, fence, &input);
        if self.surveyed(now) {
            plan.form.into_iter().for_each(|it| self.form(now, fence, it));
        }
        if plan.missing != self.missing {
            self.missing = plan.missing;
            self.event(event::Event::ReplicasMissing { count: plan.missing });
        }
    }

    /// Tells whether every host has been read in this term, lost, or waited for long enough, so that
    /// the groups that exist are known.
    fn surveyed(&self, now: Duration) -> bool {
        let Some(held) = self.lease.held() else { return false };
        let known = self.hosts.values().all(|it| it.read || it.lost);
        known || now >= held.since + self.options.max_order_delay * SURVEY_BOUNDS
    }

    /// Orders the members that are confirmed to be in the group to leave it.
    pub(super) fn release(&mut self, now: Duration, fence: id::Fence, release: placement::Release) {
        let key = (&release.group, release.generation);
        let inside = |it: &hosts::Host| {
            let member = it.membership().is_some_and(|it| (&it.group, it.generation) == key);
            member && self.usable(now, it)
        };
        let members: Vec<id::Host> =
            self.hosts.iter().filter(|it| inside(it.1)).map(|it| it.0.clone()).collect();
        if members.is_empty() {
            return;
        }
        for name in &members {
            let body =
                order::Release { group: release.group.clone(), generation: release.generation };
            let action = order::Action::Release(body);
            self.send(now, name, fence, action, hosts::Effect::Release);
        }
        self.event(event::Event::GroupReleasing { release });
    }

    /// Orders hosts that are confirmed to be free to form a group.
    fn form(&mut self, now: Duration, fence: id::Fence, form: placement::Form) {
        let free = |it: &id::Host| {
            let known = self.hosts.get(it);
            known.is_some_and(|it| it.membership().is_none() && self.usable(now, it))
        };
        if form.members.is_empty() || !form.members.iter().all(free) {
            return;
        }
        self.counter += 1;
        let generation = (fence << COUNTER_BITS) | self.counter;
        let membership = membership(&form, generation, &self.options.domain);
        let body = self.body(&membership);
        for name in &form.members {
            let action = order::Action::Form(body.clone());
            let effect = hosts::Effect::Form(Box::new(membership.clone()));
            self.send(now, name, fence, action, effect);
        }
        let group = membership.group;
        self.event(event::Event::GroupForming { group, generation, form });
    }

    /// Tells whether a host may get an order that changes its group.
    fn usable(&self, now: Duration, known: &hosts::Host) -> bool {
        let settled = known.confirmed && known.open.is_none() && !known.lost;
        settled && self.allowed(now, known.enforces)
    }

    fn body(&self, membership: &host::Membership) -> order::Form {
        let member = |it: &id::Host| order::Member {
            host: it.clone(),
            address: self.hosts.get(it).map(|it| it.address.clone()).unwrap_or_default(),
        };
        order::Form {
            group: membership.group.clone(),
            generation: membership.generation,
            service: membership.service.clone(),
            model: membership.model.clone(),
            version: membership.version.clone(),
            members: membership.members.iter().map(member).collect(),
        }
    }

    fn send(
        &mut self,
        now: Duration,
        name: &str,
        fence: id::Fence,
        action: order::Action,
        effect: hosts::Effect,
    ) {
        let until = self.lease.held().map_or(now, |it| it.until);
        let Some(known) = self.hosts.get_mut(name) else { return };
        self.orders += 1;
        let id =
            format!("{}-{:x}-{fence}-{}", self.options.node, self.options.incarnation, self.orders);
        known.open = Some(hosts::Open { order: id.clone(), sent: now, effect });
        let latest = now + self.options.order_timeout;
        self.out.push(Output::Send(Dispatch {
            host: name.to_owned(),
            address: known.address.clone(),
            order: order::Order { fence, order: id, action },
            start_before: if known.enforces { latest } else { latest.min(until) },
            timeout: self.options.order_timeout,
        }));
    }
}

/// What members report once they have formed.
fn membership(
    form: &placement::Form,
    generation: id::Generation,
    domain: &str,
) -> host::Membership {
    host::Membership {
        group: format!("{domain}-{generation:x}"),
        generation,
        service: form.service.clone(),
        model: form.weights.model.clone(),
        version: form.weights.version.clone(),
        members: form.members.clone(),
        phase: host::Phase::Loading,
    }
}
