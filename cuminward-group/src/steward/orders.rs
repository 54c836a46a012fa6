//! Orders of a steward: fences hosts, forms and releases groups.

use std::time::Duration;

use cuminward_core::{host, id};

use super::{Dispatch, Output, Steward, event, hosts};
use crate::{order, placement};

/// Low bits of a generation that count the formations of one term; the high bits hold the fencing token.
const COUNTER_BITS: u32 = 16;

/// Multiple of [`max_order_delay`](super::Options::max_order_delay) for which a new term waits for the
/// reads of all hosts.
const READ_DELAY_FACTOR: u32 = 2;

/// Confirming
impl Steward {
    /// Fences hosts that enforce fencing tokens, and reads those that don't, until all are confirmed.
    pub(super) fn confirm(&mut self, now: Duration, fence: id::Fence) {
        let due: Vec<id::Host> =
            self.hosts_to_contact(now).take(self.options.max_requests_per_step).collect();
        for name in due {
            let Some(known) = self.hosts.get_mut(&name) else { continue };
            known.next_request = now + self.options.retry_delay;
            known.last_request = Some(now);
            if known.enforces_fencing && !known.confirmed {
                self.send(now, &name, fence, order::Action::Fence, hosts::Effect::Fence);
            } else {
                let address = known.address.clone();
                self.outputs.push(Output::Read { host: name, address });
            }
        }
    }

    /// Returns the hosts whose state isn't confirmed yet or is due to be read again.
    fn hosts_to_contact(&self, now: Duration) -> impl Iterator<Item = id::Host> {
        let options = &self.options;
        let due = move |it: &hosts::Host| {
            let sweep = if it.is_loading() || self.is_draining_head(it) {
                options.retry_delay
            } else {
                options.reread_interval
            };
            let stale = it.last_request.is_none_or(|asked| now >= asked + sweep);
            let must_wait = it.open_order.is_some() || now < it.next_request;
            let confirmable = self.may_order(now, it.enforces_fencing) && (!it.confirmed || stale);
            !must_wait && (confirmable || !it.read)
        };
        self.hosts.iter().filter(move |it| due(it.1)).map(|it| it.0.clone())
    }
}

/// Planning
impl Steward {
    /// Creates a placement plan and sends its orders.
    pub(super) fn plan(&mut self, now: Duration, fence: id::Fence) {
        let input = self.placement_input(now);
        let plan = placement::plan(&input, self.options.strategy);
        for release in plan.release {
            self.retire(now, fence, &input, release);
        }
        self.release_retired(now, fence, &input);
        if self.hosts_are_read(now) {
            plan.form.into_iter().for_each(|it| self.form(now, fence, it));
        }
        if plan.missing != self.missing {
            self.missing = plan.missing;
            self.event(event::Event::ReplicasMissing { count: plan.missing });
        }
    }

    /// Returns whether the existing groups are known: every host was read in this term or is lost, or the wait
    /// for the others is over.
    fn hosts_are_read(&self, now: Duration) -> bool {
        let Some(held) = self.lease.held() else { return false };
        let known = self.hosts.values().all(|it| it.read || it.lost);
        known || now >= held.since + self.options.max_order_delay * READ_DELAY_FACTOR
    }

    /// Orders the members that are confirmed to be in the group to leave it.
    pub(super) fn release(&mut self, now: Duration, fence: id::Fence, release: placement::Release) {
        let key = (&release.group, release.generation);
        let inside = |it: &hosts::Host| {
            let member = it.membership().is_some_and(|it| (&it.group, it.generation) == key);
            member && self.is_usable(now, it)
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

    /// Orders hosts to form a group, if all of them are confirmed to be free.
    fn form(&mut self, now: Duration, fence: id::Fence, form: placement::Form) {
        let free = |it: &id::Host| {
            let known = self.hosts.get(it);
            known.is_some_and(|it| it.membership().is_none() && self.is_usable(now, it))
        };
        if form.members.is_empty() || !form.members.iter().all(free) {
            return;
        }
        self.formation_counter += 1;
        let generation = (fence << COUNTER_BITS) | self.formation_counter;
        let membership = membership(&form, generation, &self.options.domain);
        let body = self.form_order(&membership);
        for name in &form.members {
            let action = order::Action::Form(body.clone());
            let effect = hosts::Effect::Form(Box::new(membership.clone()));
            self.send(now, name, fence, action, effect);
        }
        let group = membership.group;
        self.event(event::Event::GroupForming { group, generation, form });
    }

    /// Returns whether a host may get an order that changes its group.
    fn is_usable(&self, now: Duration, known: &hosts::Host) -> bool {
        let settled = known.confirmed && known.open_order.is_none() && !known.lost;
        settled && self.may_order(now, known.enforces_fencing)
    }

    fn form_order(&self, membership: &host::Membership) -> order::Form {
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
        self.order_counter += 1;
        let id = format!(
            "{}-{:x}-{fence}-{}",
            self.options.node, self.options.incarnation, self.order_counter
        );
        known.open_order = Some(hosts::OpenOrder { order: id.clone(), sent: now, effect });
        let latest = now + self.options.order_timeout;
        self.outputs.push(Output::Send(Dispatch {
            host: name.to_owned(),
            address: known.address.clone(),
            order: order::Order { fence, order: id, action },
            start_before: if known.enforces_fencing { latest } else { latest.min(until) },
            timeout: self.options.order_timeout,
        }));
    }
}

/// Returns the membership that the members report once the group is formed.
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
