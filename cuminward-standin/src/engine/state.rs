//! State of the hosts of a fleet and their groups.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use cuminward_core::{host, id};
use tokio_util::sync::CancellationToken;

use super::{Options, control, counter, replica};
use crate::server;

/// State of all hosts, under one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Arc<Options>,
    pub(super) engines: BTreeMap<id::Host, Engine>,
    pub(super) stats: counter::Stats,
    /// Number of ready groups that each failure domain should have.
    pub(super) expected_groups: BTreeMap<id::Domain, u32>,
    pub(super) next_incarnation: id::Incarnation,
    pub(super) losses: Vec<Loss>,
}

/// Loss of a member that the other members of its group haven't detected yet.
#[derive(Debug)]
pub(super) struct Loss {
    detect_at: Instant,
    group: id::Group,
    generation: id::Generation,
}

/// Engine of one host.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) entry: host::Entry,
    pub(super) behaviour: control::Behaviour,
    pub(super) incarnation: id::Incarnation,
    pub(super) fence: id::Fence,
    pub(super) membership: Option<host::Membership>,
    /// Model and version whose weights are in memory.
    pub(super) weights: Option<(id::Model, id::Version)>,
    /// The replica; present only at the head of a ready group.
    pub(super) replica: Option<Arc<replica::Replica>>,
    /// `None` while the host is down.
    pub(super) server: Option<server::Server>,
    /// Present once loading the weights for the formation has started; cancelled when the host
    /// leaves the formation.
    pub(super) loading: Option<CancellationToken>,
}

/// Access
impl Engine {
    pub(super) fn is_alive(&self) -> bool {
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
        self.is_alive() && self.membership.as_ref().is_some_and(|it| it.phase == phase)
    }

    pub(super) fn in_formation(&self, group: &str, generation: id::Generation) -> bool {
        let same = |it: &host::Membership| it.group == group && it.generation == generation;
        self.is_alive() && self.membership.as_ref().is_some_and(same)
    }

    pub(super) fn has_weights(&self, membership: &host::Membership) -> bool {
        let loaded =
            |it: &(id::Model, id::Version)| it.0 == membership.model && it.1 == membership.version;
        self.weights.as_ref().is_some_and(loaded)
    }
}

/// Access
impl State {
    /// Returns whether every member of a formation is running and still in it.
    pub(super) fn has_all_members(&self, membership: &host::Membership) -> bool {
        let there = |it: &Engine| it.in_formation(&membership.group, membership.generation);
        membership.members.iter().all(|it| self.engines.get(it).is_some_and(there))
    }

    /// Returns whether another formation, held by a running host, lists `host`. Counts formations
    /// that are ready and, unless `ready_only`, those that are loading.
    pub(super) fn is_in_other_formation(
        &self,
        host: &str,
        group: &str,
        generation: id::Generation,
        ready_only: bool,
    ) -> bool {
        self.engines.values().any(|it| {
            let Some(membership) = &it.membership else { return false };
            let ready = membership.phase == host::Phase::Ready;
            let counts = ready || (!ready_only && membership.phase == host::Phase::Loading);
            let other = (membership.group.as_str(), membership.generation) != (group, generation);
            it.is_alive() && counts && other && membership.members.iter().any(|it| it == host)
        })
    }
}

/// Mutation
impl State {
    pub(super) fn allocate_incarnation(&mut self) -> id::Incarnation {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    /// Removes a host from its group, which breaks the group after `loss_notice`.
    pub(super) fn leave_group(&mut self, host: &str) {
        let Some(engine) = self.engines.get_mut(host) else { return };
        let Some(membership) = engine.membership.take() else { return };
        if let Some(loading) = engine.loading.take() {
            loading.cancel();
        }
        if let Some(replica) = engine.replica.take() {
            replica.broken.cancel();
        }
        let detect_at = Instant::now() + self.options.loss_notice;
        self.losses.push(Loss {
            detect_at,
            group: membership.group,
            generation: membership.generation,
        });
        self.detect_losses();
    }

    /// Breaks the groups whose members detect by now that another member has stopped or left.
    pub(super) fn detect_losses(&mut self) {
        let now = Instant::now();
        let losses = std::mem::take(&mut self.losses);
        let (due, later): (Vec<Loss>, Vec<Loss>) =
            losses.into_iter().partition(|it| it.detect_at <= now);
        self.losses = later;
        due.iter().for_each(|it| self.break_group(&it.group, it.generation));
    }

    fn break_group(&mut self, group: &str, generation: id::Generation) {
        for member in self.engines.values_mut() {
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

    /// Makes a formation ready if all its members have joined it and loaded the weights.
    pub(super) fn mark_ready_if_loaded(&mut self, formation: &host::Membership) {
        let same = |it: &host::Membership| it.members == formation.members;
        let loaded = |it: &Engine| {
            it.in_formation(&formation.group, formation.generation)
                && it.membership.as_ref().is_some_and(same)
                && it.in_phase(host::Phase::Loading)
                && it.has_weights(formation)
        };
        let all = formation.members.iter().all(|it| self.engines.get(it).is_some_and(loaded));
        if !all {
            return;
        }
        for name in &formation.members {
            let conflict =
                self.is_in_other_formation(name, &formation.group, formation.generation, true);
            self.stats.counters.host_in_two_groups += u64::from(conflict);
            let engine = self.engines.get_mut(name).expect("all members were found");
            if let Some(membership) = &mut engine.membership {
                membership.phase = host::Phase::Ready;
            }
        }
        self.stats.counters.formed += 1;
        self.start_replica(formation);
    }

    fn start_replica(&mut self, formation: &host::Membership) {
        let members = formation.members.iter().map(|it| &self.engines[it]);
        let paused = members.clone().filter(|it| it.behaviour.paused).count() as u32;
        let slowdown = members.map(|it| it.behaviour.slowdown).fold(1.0, f64::max);
        let options = self.options.clone();
        let head = formation.members.first().and_then(|it| self.engines.get_mut(it));
        let head = head.expect("a formation has members and all were found");
        let replica = replica::Replica::new(formation.clone(), options);
        replica.paused.send_replace(paused);
        replica.set_slowdown(slowdown);
        head.replica = Some(Arc::new(replica));
    }

    /// Applies a changed behaviour of a host to the replica that the host belongs to.
    pub(super) fn refresh_replica(&mut self, host: &str) {
        let Some(formation) = self.engines.get(host).and_then(|it| it.membership.clone()) else {
            return;
        };
        let members: Vec<&Engine> =
            formation.members.iter().filter_map(|it| self.engines.get(it)).collect();
        let Some(replica) = members.first().and_then(|it| it.replica.as_ref()) else { return };
        let paused = members.iter().filter(|it| it.behaviour.paused).count() as u32;
        replica.paused.send_replace(paused);
        replica.set_slowdown(members.iter().map(|it| it.behaviour.slowdown).fold(1.0, f64::max));
    }
}
