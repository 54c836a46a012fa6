//! Tests of the placement of groups.

use std::{collections::BTreeSet, time::Duration};

use cuminward_group::placement::{
    Cause, Demand, Group, Health, Host, Input, Limits, State, Strategy, Weights, plan,
};
use googletest::prelude::*;

fn weights(version: &str) -> Weights {
    Weights { model: "m".to_owned(), version: version.to_owned() }
}

fn demand(version: &str, size: usize, count: usize) -> Demand {
    Demand { service: format!("s{size}"), weights: weights(version), size, count }
}

/// Adds the hosts `name.0`, `name.1`, ... of one fabric domain; the first ones form groups of the given
/// sizes.
fn fabric(input: &mut Input, name: &str, hosts: usize, groups: &[(usize, &str, Health)]) {
    let names: Vec<String> = (0..hosts).map(|it| format!("{name}.{it}")).collect();
    let mut used = 0;
    for (size, version, health) in groups {
        let generation = input.groups.len() as u64 + 1;
        input.groups.push(Group {
            group: format!("g{generation}"),
            generation,
            service: format!("s{size}"),
            weights: weights(version),
            members: names[used..used + size].to_vec(),
            health: *health,
            retiring: false,
        });
        used += size;
    }
    for (at, host) in names.into_iter().enumerate() {
        let state = if at < used { State::Member } else { State::Free };
        let fabric = name.to_owned();
        input.hosts.push(Host { host, fabric, state, weights: None, leaving: false });
    }
}

/// Number of hosts, and the size, version and health of the groups.
type Fabric = (usize, Vec<(usize, &'static str, Health)>);

struct Case {
    name: &'static str,
    strategy: Strategy,
    demands: Vec<Demand>,
    fabrics: Vec<Fabric>,
    change: fn(&mut Input),
    formed: &'static [&'static str],
    released: &'static [(u64, Cause)],
    missing: usize,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            name: "",
            strategy: Strategy::Consolidation,
            demands: vec![demand("v1", 4, 1)],
            fabrics: Vec::new(),
            change: |_| {},
            formed: &[],
            released: &[],
            missing: 0,
        }
    }
}

fn cases() -> Vec<Case> {
    use Health::{Broken, Loading, Whole};
    vec![
        Case {
            name: "one fabric domain each",
            fabrics: vec![(3, vec![]), (3, vec![])],
            missing: 1,
            ..Case::default()
        },
        Case {
            name: "hosts with the weights first",
            fabrics: vec![(4, vec![]), (5, vec![])],
            change: |it| it.hosts[8].weights = Some(weights("v1")),
            formed: &["b.4 b.0 b.1 b.2"],
            ..Case::default()
        },
        Case {
            name: "a spare stays beside the group",
            fabrics: vec![(4, vec![]), (5, vec![])],
            formed: &["b.0 b.1 b.2 b.3"],
            ..Case::default()
        },
        Case {
            name: "the tightest fabric domain",
            strategy: Strategy::BestFit,
            fabrics: vec![(5, vec![]), (4, vec![])],
            formed: &["b.0 b.1 b.2 b.3"],
            ..Case::default()
        },
        Case {
            name: "broken group",
            fabrics: vec![(4, vec![(4, "v1", Broken)])],
            released: &[(1, Cause::Broken)],
            missing: 1,
            ..Case::default()
        },
        Case {
            name: "broken group of a dark fabric domain",
            fabrics: vec![(4, vec![(4, "v1", Broken)]), (4, vec![])],
            change: |it| it.held = BTreeSet::from(["a".to_owned()]),
            ..Case::default()
        },
        Case {
            name: "rolling with spare hosts forms first",
            demands: vec![demand("v2", 4, 1)],
            fabrics: vec![(8, vec![(4, "v1", Whole)])],
            formed: &["a.4 a.5 a.6 a.7"],
            ..Case::default()
        },
        Case {
            name: "rolling releases once the next version is whole",
            demands: vec![demand("v2", 4, 1)],
            fabrics: vec![(8, vec![(4, "v1", Whole), (4, "v2", Whole)])],
            released: &[(1, Cause::Rolling)],
            ..Case::default()
        },
        Case {
            name: "rolling waits while the next version loads",
            demands: vec![demand("v2", 4, 1)],
            fabrics: vec![(8, vec![(4, "v1", Whole), (4, "v2", Loading)])],
            ..Case::default()
        },
        Case {
            name: "rolling without spare hosts goes one by one",
            demands: vec![demand("v2", 4, 2)],
            fabrics: vec![(8, vec![(4, "v1", Whole), (4, "v1", Whole)])],
            released: &[(1, Cause::Rolling)],
            missing: 2,
            ..Case::default()
        },
        Case {
            name: "scale down",
            fabrics: vec![(8, vec![(4, "v1", Whole), (4, "v1", Whole)])],
            released: &[(1, Cause::Surplus)],
            ..Case::default()
        },
        Case {
            name: "removed service",
            demands: vec![],
            fabrics: vec![(4, vec![(4, "v1", Whole)])],
            released: &[(1, Cause::Surplus)],
            ..Case::default()
        },
        Case {
            name: "leaving host",
            fabrics: vec![(8, vec![(4, "v1", Whole)])],
            change: |it| it.hosts[0].leaving = true,
            formed: &["a.4 a.5 a.6 a.7"],
            released: &[(1, Cause::Leaving)],
            ..Case::default()
        },
        Case {
            name: "bound on concurrent loads",
            demands: vec![demand("v1", 4, 2)],
            fabrics: vec![(8, vec![(4, "v1", Loading)])],
            change: |it| it.limits = Limits { loads: 4 },
            ..Case::default()
        },
        Case {
            name: "a small group moves to complete a large one",
            demands: vec![demand("v1", 4, 1), demand("v1", 2, 1)],
            fabrics: vec![(4, vec![(2, "v1", Whole)]), (2, vec![])],
            formed: &["b.0 b.1"],
            missing: 1,
            ..Case::default()
        },
        Case {
            name: "the original goes once its copy is whole",
            demands: vec![demand("v1", 4, 1), demand("v1", 2, 1)],
            fabrics: vec![(4, vec![(2, "v1", Whole)]), (2, vec![(2, "v1", Whole)])],
            released: &[(1, Cause::Consolidation)],
            missing: 1,
            ..Case::default()
        },
        Case {
            name: "groups of one size don't move",
            demands: vec![demand("v1", 4, 2)],
            fabrics: vec![(7, vec![(4, "v1", Whole)]), (3, vec![])],
            missing: 1,
            ..Case::default()
        },
    ]
}

#[gtest]
fn plan_matches_each_case() {
    for case in cases() {
        let mut input = Input { now: Duration::ZERO, demands: case.demands, ..Input::default() };
        for (name, (hosts, groups)) in ["a", "b"].iter().zip(&case.fabrics) {
            fabric(&mut input, name, *hosts, groups);
        }
        (case.change)(&mut input);
        let plan = plan(&input, case.strategy);
        let formed: Vec<String> = plan.form.iter().map(|it| it.members.join(" ")).collect();
        let released: Vec<(u64, Cause)> =
            plan.release.iter().map(|it| (it.generation, it.cause)).collect();
        expect_that!(formed, eq(case.formed), "{}", case.name);
        expect_that!(released, eq(case.released), "{}", case.name);
        expect_that!(plan.missing, eq(case.missing), "{}", case.name);
    }
}
