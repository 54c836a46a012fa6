//! Assembles the replicas from the observations of the hosts.

use std::{collections::BTreeSet, sync::Arc};

use cuminward_core::{id, replica};
use cuminward_event::kind::Kind;
use cuminward_group::{assembly, probe::interval};

use crate::{state, view};

/// Replaces the replicas by those that are complete now, and refreshes the snapshot of the requests
/// if the routable ones changed.
pub(super) fn assemble(state: &state::State, intervals: &interval::Intervals) {
    let hosts = state.hosts.load();
    let catalog = state.catalog.load();
    let mut new = {
        let table = state.observations();
        let now = state.now();
        assembly::assemble(&assembly::Input {
            observations: table.observations(),
            silent: &table.silent_hosts(now, intervals.confirm_timeout),
            hosts: &hosts.hosts,
            catalog: &catalog,
            now,
            freshness: intervals.freshness,
        })
    };
    new.routable.retain(|it| !state.retiring.contains(it));
    state.record_availability(&catalog, &hosts.hosts, &new.routable);
    let old = state.replicas.swap(Arc::new(new.clone()));
    let before = formations(&old);
    let after = formations(&new);
    if before != after {
        emit_changes(state, &before, &after);
        view::refresh(state);
    }
}

/// Identity of a routable replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Formation {
    group: id::Group,
    generation: id::Generation,
    incarnation: id::Incarnation,
    service: id::Service,
}

fn formations(outcome: &assembly::Outcome) -> BTreeSet<Formation> {
    let formation = |it: &replica::Replica| Formation {
        group: it.group.clone(),
        generation: it.generation,
        incarnation: it.incarnation,
        service: it.service.clone(),
    };
    outcome.routable.iter().map(formation).collect()
}

/// Emits events for the replicas that became routable or unroutable.
fn emit_changes(state: &state::State, before: &BTreeSet<Formation>, after: &BTreeSet<Formation>) {
    for it in after.difference(before).cloned() {
        let Formation { group, generation, service, .. } = it;
        state.events.emit(Kind::ReplicaRoutable { group, generation, service });
    }
    for it in before.difference(after).cloned() {
        let Formation { group, generation, service, .. } = it;
        let reason = "incomplete, or retiring".to_owned();
        state.events.emit(Kind::ReplicaUnroutable { group, generation, service, reason });
    }
}
