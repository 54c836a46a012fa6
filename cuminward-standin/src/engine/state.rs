//! The hosts of a fleet and their groups.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use cuminward_core::{host, id};
use tokio_util::sync::CancellationToken;

use super::{Options, control, counter, replica};
use crate::server;

/// All hosts, under one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Arc<Options>,
    pub(super) machines: BTreeMap<id::Host, Machine>,
    pub(super) book: counter::Book,
    pub(super) expected: BTreeMap<id::Domain, u32>,
    pub(super) next_incarnation: id::Incarnation,
    pub(super) losses: Vec<Loss>,
}

/// A loss of a member that the others have yet to notice.
#[derive(Debug)]
pub(super) struct Loss {
    due: Instant,
    group: id::Group,
    generation: id::Generation,
}

/// One host.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) entry: host::Entry,
    pub(super) traits: control::Traits,
    pub(super) incarnation: id::Incarnation,
    pub(super) fence: id::Fence,
    pub(super) membership: Option<host::Membership>,
    /// Model and version whose weights are in memory.
    pub(super) weights: Option<(id::Model, id::Version)>,
    /// The replica, at its head only.
    pub(super) replica: Option<Arc<replica::Replica>>,
    /// `None` while the host is down.
    pub(super) server: Option<server::Server>,
    /// Present once the weights of the formation load; cancelled when the host leaves it.
    pub(super) loading: Option<CancellationToken>,
}

/// Access
impl Machine {
    pub(super) fn alive(&self) -> bool {
        self.server.is_some()
    }

    pub(super) fn report(&self) -> host::Report {
        host::Report {
            host: self.entry.host.clone(),
            incarnation: self.incarnation,
            fence: self.fence,
            membership: self.membership.clone(),
            load: self.replica.as_ref().map(|it| it.load()),
        }
    }

    pub(super) fn in_phase(&self, phase: host::Phase) -> bool {
        self.alive() && self.membership.as_ref().is_some_and(|it| it.phase == phase)
    }

    pub(super) fn in_formation(&self, group: &str, generation: id::Generation) -> bool {
        let same = |it: &host::Membership| it.group == group && it.generation == generation;
        self.alive() && self.membership.as_ref().is_some_and(same)
    }

    pub(super) fn has_weights(&self, membership: &host::Membership) -> bool {
        let loaded =
            |it: &(id::Model, id::Version)| it.0 == membership.model && it.1 == membership.version;
        self.weights.as_ref().is_some_and(loaded)
    }
}

/// Access
impl State {
    /// Whether every member of a formation is alive in it.
    pub(super) fn whole(&self, membership: &host::Membership) -> bool {
        let there = |it: &Machine| it.in_formation(&membership.group, membership.generation);
        membership.members.iter().all(|it| self.machines.get(it).is_some_and(there))
    }

    /// Other formations of live hosts, ready or loading, that list a host.
    pub(super) fn claims(
        &self,
        host: &str,
        group: &str,
        generation: id::Generation,
        ready_only: bool,
    ) -> bool {
        self.machines.values().any(|it| {
            let Some(membership) = &it.membership else { return false };
            let ready = membership.phase == host::Phase::Ready;
            let counts = ready || (!ready_only && membership.phase == host::Phase::Loading);
            let other = (membership.group.as_str(), membership.generation) != (group, generation);
            it.alive() && counts && other && membership.members.iter().any(|it| it == host)
        })
    }
}

/// Mutation
impl State {
    pub(super) fn incarnation(&mut self) -> id::Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    /// Makes a host leave its group, which breaks the group.
    pub(super) fn leave(&mut self, host: &str) {
        let Some(machine) = self.machines.get_mut(host) else { return };
        let Some(left) = machine.membership.take() else { return };
        if let Some(loading) = machine.loading.take() {
            loading.cancel();
        }
        if let Some(replica) = machine.replica.take() {
            replica.broken.cancel();
        }
        let due = Instant::now() + self.options.loss_notice;
        self.losses.push(Loss { due, group: left.group, generation: left.generation });
        self.notice_losses();
    }

    /// Breaks the groups whose members notice now that another one has gone.
    pub(super) fn notice_losses(&mut self) {
        let now = Instant::now();
        let losses = std::mem::take(&mut self.losses);
        let (due, later): (Vec<Loss>, Vec<Loss>) = losses.into_iter().partition(|it| it.due <= now);
        self.losses = later;
        due.iter().for_each(|it| self.break_up(&it.group, it.generation));
    }

    fn break_up(&mut self, group: &str, generation: id::Generation) {
        for member in self.machines.values_mut() {
            if !member.in_formation(group, generation) {
                continue;
            }
            if let Some(membership) = &mut member.membership {
                membership.phase = host::Phase::Broken;
            }
            if let Some(replica) = member.replica.take() {
                replica.broken.cancel();
            }
        }
    }

    /// Makes a formation ready when all its members are there with their weights.
    pub(super) fn try_ready(&mut self, formation: &host::Membership) {
        let same = |it: &host::Membership| it.members == formation.members;
        let loaded = |it: &Machine| {
            it.in_formation(&formation.group, formation.generation)
                && it.membership.as_ref().is_some_and(same)
                && it.in_phase(host::Phase::Loading)
                && it.has_weights(formation)
        };
        let all = formation.members.iter().all(|it| self.machines.get(it).is_some_and(loaded));
        if !all {
            return;
        }
        for name in &formation.members {
            let twice = self.claims(name, &formation.group, formation.generation, true);
            self.book.counters.host_in_two_groups += u64::from(twice);
            let machine = self.machines.get_mut(name).expect("all members were found");
            if let Some(membership) = &mut machine.membership {
                membership.phase = host::Phase::Ready;
            }
        }
        self.book.counters.formed += 1;
        self.start_replica(formation);
    }

    fn start_replica(&mut self, formation: &host::Membership) {
        let members = formation.members.iter().map(|it| &self.machines[it]);
        let paused = members.clone().filter(|it| it.traits.paused).count() as u32;
        let slowdown = members.map(|it| it.traits.slowdown).fold(1.0, f64::max);
        let options = self.options.clone();
        let head = formation.members.first().and_then(|it| self.machines.get_mut(it));
        let head = head.expect("a formation has members and all were found");
        let replica = replica::Replica::new(formation.clone(), options);
        replica.paused.send_replace(paused);
        replica.set_slowdown(slowdown);
        head.replica = Some(Arc::new(replica));
    }

    /// Applies changed traits of a host to the replica that it belongs to.
    pub(super) fn refresh_replica(&mut self, host: &str) {
        let Some(formation) = self.machines.get(host).and_then(|it| it.membership.clone()) else {
            return;
        };
        let members: Vec<&Machine> =
            formation.members.iter().filter_map(|it| self.machines.get(it)).collect();
        let Some(replica) = members.first().and_then(|it| it.replica.as_ref()) else { return };
        let paused = members.iter().filter(|it| it.traits.paused).count() as u32;
        replica.paused.send_replace(paused);
        replica.set_slowdown(members.iter().map(|it| it.traits.slowdown).fold(1.0, f64::max));
    }
}
