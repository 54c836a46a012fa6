//! Tests of the steward against fake hosts.

use std::time::Duration;

use cuminward_group::assembly;
use googletest::prelude::*;

use super::fixture::{DOMAIN, Node, World};

struct Case {
    name: &'static str,
    fabrics: usize,
    size: usize,
    ignoring: usize,
    services: &'static [(&'static str, u32, u32)],
    whole: usize,
}

const STEP: Duration = Duration::from_millis(250);

fn run(nodes: &mut [Node], world: &mut World, from: Duration, until: Duration) -> Duration {
    let mut now = from;
    while now < until {
        world.advance();
        for node in nodes.iter_mut() {
            node.tick(now, world, true);
        }
        now += STEP;
    }
    now
}

fn routable(world: &World, now: Duration, services: &[(&str, u32, u32)]) -> usize {
    let observations = world.observations(now);
    let catalog = world.catalog(services);
    let input = assembly::Input {
        observations: &observations,
        hosts: &world.entries(),
        catalog: &catalog,
        now,
        freshness: Duration::from_secs(2),
    };
    assembly::assemble(&input).routable.len()
}

#[gtest]
fn forms_what_is_declared() {
    let cases = [
        Case {
            name: "enforcing",
            fabrics: 2,
            size: 10,
            ignoring: 0,
            services: &[("a", 4, 4)],
            whole: 4,
        },
        Case {
            name: "ignoring",
            fabrics: 2,
            size: 10,
            ignoring: 1,
            services: &[("a", 4, 4)],
            whole: 4,
        },
        Case {
            name: "mixed",
            fabrics: 2,
            size: 10,
            ignoring: 3,
            services: &[("a", 4, 2), ("b", 2, 3)],
            whole: 5,
        },
        Case {
            name: "too few hosts",
            fabrics: 2,
            size: 3,
            ignoring: 0,
            services: &[("a", 4, 1)],
            whole: 0,
        },
    ];
    for case in cases {
        let mut world = World::new(case.fabrics, case.size, case.ignoring);
        let mut nodes =
            vec![Node::new("n1", &world, case.services), Node::new("n2", &world, case.services)];
        let now = run(&mut nodes, &mut world, Duration::ZERO, Duration::from_secs(30));
        expect_that!(routable(&world, now, case.services), eq(case.whole), "{}", case.name);
        let holders = nodes.iter().filter(|it| it.steward.fence().is_some()).count();
        expect_that!(holders, eq(1), "{} in {}", case.name, DOMAIN);
    }
}
