//! Assembly of whole replicas from what the hosts report about themselves.
//!
//! A replica is whole if every member reported the same formation, with the same list of members, and
//! is ready, within the freshness bound. Only the newest report of a host counts, so a host is never
//! part of two replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::{catalog, host, id, replica};
use cuminward_derive::{record, value};

/// Inputs of [`assemble`].
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Newest observation of each host.
    pub observations: &'a BTreeMap<id::Host, host::Observation>,
    /// Hosts that don't answer probes; their reports are ignored.
    pub silent: &'a BTreeSet<id::Host>,
    /// The platform's host list.
    pub hosts: &'a [host::Entry],
    /// Configuration that operators declared.
    pub catalog: &'a catalog::Catalog,
    /// Time since the start of the process.
    pub now: Duration,
    /// Largest age of an observation that still confirms a member.
    pub freshness: Duration,
}

/// Whole replicas that [`assemble`] found.
#[record]
#[derive(Default)]
pub struct Outcome {
    /// Replicas that may receive new work.
    pub routable: Vec<replica::Replica>,
    /// Replicas that finish the work they have and receive no more.
    pub draining: Vec<Draining>,
}

/// A whole replica that receives no new work.
#[record]
pub struct Draining {
    /// The replica.
    pub replica: replica::Replica,
    /// Why it receives no new work.
    pub cause: Cause,
}

/// Why a whole replica receives no new work.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The failure domain is taken out or isn't declared.
    DomainTakenOut,
    /// The platform lists a member as leaving.
    HostLeaving,
    /// Operators drain a member.
    HostDrained,
}

/// Returns the whole replicas, separated into those that may receive new work and those that drain.
pub fn assemble(input: &Input<'_>) -> Outcome {
    let entries = engines_by_name(input.hosts);
    let mut outcome = Outcome::default();
    for (head, observation) in input.observations {
        let Some(replica) = assemble_replica(input, &entries, head, observation) else { continue };
        match drain_cause(input.catalog, &entries, &replica) {
            None => outcome.routable.push(replica),
            Some(cause) => outcome.draining.push(Draining { replica, cause }),
        }
    }
    outcome
}

/// Entries of the host list with the role of an engine, by name.
type Engines<'a> = BTreeMap<&'a str, &'a host::Entry>;

fn engines_by_name(hosts: &[host::Entry]) -> Engines<'_> {
    let engines = hosts.iter().filter(|it| it.role == host::Role::Engine);
    engines.map(|it| (it.host.as_str(), it)).collect()
}

/// Returns the replica whose head reported `observation`, if it is whole.
fn assemble_replica(
    input: &Input<'_>,
    entries: &Engines<'_>,
    head: &str,
    observation: &host::Observation,
) -> Option<replica::Replica> {
    let formation = observation.report.membership.as_ref()?;
    if formation.members.first().map(String::as_str) != Some(head)
        || has_duplicates(&formation.members)
    {
        return None;
    }
    let domain = &entries.get(head)?.domain;
    let mut confirmed = observation.at;
    for member in &formation.members {
        let own_observation = input.observations.get(member)?;
        let entry = entries.get(member.as_str())?;
        if entry.domain != *domain || !confirms(input, formation, member, own_observation) {
            return None;
        }
        confirmed = confirmed.min(own_observation.at);
    }
    Some(replica::Replica {
        group: formation.group.clone(),
        generation: formation.generation,
        service: formation.service.clone(),
        model: formation.model.clone(),
        version: formation.version.clone(),
        members: formation.members.clone(),
        address: entries.get(head)?.address.clone(),
        incarnation: observation.report.incarnation,
        confirmed,
    })
}

fn has_duplicates(members: &[id::Host]) -> bool {
    members.iter().collect::<BTreeSet<_>>().len() != members.len()
}

/// Returns whether a member's own report is fresh enough, shows the same formation as the head's and is ready.
fn confirms(
    input: &Input<'_>,
    formation: &host::Membership,
    member: &str,
    observation: &host::Observation,
) -> bool {
    let fresh = input.now.saturating_sub(observation.at) <= input.freshness;
    let ready = formation.phase == host::Phase::Ready;
    fresh
        && ready
        && !input.silent.contains(member)
        && observation.report.host == member
        && observation.report.membership.as_ref() == Some(formation)
}

/// Returns why a whole replica receives no new work; `None` if it may receive new work.
fn drain_cause(
    catalog: &catalog::Catalog,
    entries: &Engines<'_>,
    replica: &replica::Replica,
) -> Option<Cause> {
    let members = || replica.members.iter().filter_map(|it| entries.get(it.as_str()));
    if members().any(|it| !catalog.in_service(&it.domain)) {
        return Some(Cause::DomainTakenOut);
    }
    if members().any(|it| it.state == host::State::Leaving) {
        return Some(Cause::HostLeaving);
    }
    if members().any(|it| catalog.drained.contains(&it.host)) {
        return Some(Cause::HostDrained);
    }
    None
}
