//! Tests of the assembly of whole replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cuminward_core::{catalog, host, id};
use cuminward_group::assembly::{self, Cause};
use googletest::prelude::*;

use super::fixture::{Cluster, DOMAIN};

/// Name, change of the view, number of routable replicas, cause of draining.
type Case = (&'static str, fn(&mut View), usize, Option<Cause>);

/// A whole replica of three hosts, as the observing node sees it.
struct View {
    observations: BTreeMap<id::Host, host::Observation>,
    hosts: Vec<host::Entry>,
    catalog: catalog::Catalog,
}

const NOW: Duration = Duration::from_secs(100);
const FRESHNESS: Duration = Duration::from_secs(2);
const LAST: &str = "f0-h2";

impl View {
    fn new() -> View {
        let cluster = Cluster::new(1, 3, 0);
        let mut observations = cluster.observations(NOW);
        let members: Vec<id::Host> = observations.keys().cloned().collect();
        for it in observations.values_mut() {
            it.report.membership = Some(host::Membership {
                group: "g".to_owned(),
                generation: 7,
                service: "a".to_owned(),
                model: "a".to_owned(),
                version: "v1".to_owned(),
                members: members.clone(),
                phase: host::Phase::Ready,
            });
        }
        let catalog = Arc::unwrap_or_clone(cluster.catalog(&[("a", 3, 1)]));
        View { observations, hosts: cluster.entries(), catalog }
    }

    fn last(&mut self) -> &mut host::Observation {
        self.observations.get_mut(LAST).expect("the host is observed")
    }

    fn formation(&mut self) -> &mut host::Membership {
        self.last().report.membership.as_mut().expect("the host is in a group")
    }
}

#[gtest]
fn only_whole_replicas_are_routable() {
    let cases: [Case; 13] = [
        ("whole", |_| {}, 1, None),
        ("no report of a member", |it| drop(it.observations.remove(LAST)), 0, None),
        ("stale report", |it| it.last().at = NOW - FRESHNESS * 2, 0, None),
        ("no group", |it| it.last().report.membership = None, 0, None),
        ("other group", |it| it.formation().group = "h".to_owned(), 0, None),
        ("other generation", |it| it.formation().generation = 8, 0, None),
        ("other members", |it| drop(it.formation().members.pop()), 0, None),
        ("loading", |it| it.formation().phase = host::Phase::Loading, 0, None),
        ("broken", |it| it.formation().phase = host::Phase::Broken, 0, None),
        ("not listed", |it| drop(it.hosts.pop()), 0, None),
        ("leaving", |it| it.hosts[2].state = host::State::Leaving, 0, Some(Cause::HostLeaving)),
        ("drained", |it| it.catalog.drained.extend([LAST.to_owned()]), 0, Some(Cause::HostDrained)),
        ("taken out", |it| drop(it.catalog.domains.remove(DOMAIN)), 0, Some(Cause::DomainTakenOut)),
    ];
    for (name, change, routable, draining) in cases {
        let mut view = View::new();
        change(&mut view);
        let outcome = assembly::assemble(&assembly::Input {
            silent: &BTreeSet::new(),
            observations: &view.observations,
            hosts: &view.hosts,
            catalog: &view.catalog,
            now: NOW,
            freshness: FRESHNESS,
        });
        expect_that!(outcome.routable.len(), eq(routable), "{name}");
        expect_that!(outcome.draining.first().map(|it| it.cause), eq(draining), "{name}");
    }
}
