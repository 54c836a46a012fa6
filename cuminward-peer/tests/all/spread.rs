//! Tests of `spread`.

use std::collections::{BTreeMap, BTreeSet};

use cuminward_core::id;
use cuminward_peer::spread;
use googletest::prelude::*;

type Nodes = BTreeMap<id::Domain, BTreeSet<id::Node>>;

fn nodes(domains: usize, each: usize) -> Nodes {
    let members = |domain: usize| (0..each).map(|n| format!("d{domain}-n{n}")).collect();
    (0..domains).map(|domain| (format!("d{domain}"), members(domain))).collect()
}

/// Rounds until every node has what `first` has, when every node pulls once a round.
fn rounds(nodes: &Nodes, first: &str) -> Option<usize> {
    let total: usize = nodes.values().map(BTreeSet::len).sum();
    let mut have = BTreeSet::from([first.to_owned()]);
    for round in 0..total {
        if have.len() == total {
            return Some(round);
        }
        let before = have.clone();
        for (domain, members) in nodes {
            for node in members {
                let sources = spread::sources(node, domain, nodes);
                if sources.iter().any(|it| before.contains(it)) {
                    have.insert(node.clone());
                }
            }
        }
    }
    None
}

#[gtest]
fn everything_reaches_every_node_in_few_rounds() {
    struct Case {
        domains: usize,
        each: usize,
        rounds: usize,
        /// Most nodes that pull from one node.
        pulled: usize,
    }
    let cases = [
        Case { domains: 1, each: 1, rounds: 0, pulled: 0 },
        Case { domains: 1, each: 3, rounds: 1, pulled: 2 },
        Case { domains: 3, each: 3, rounds: 3, pulled: 8 },
        Case { domains: 1, each: 44, rounds: 6, pulled: 12 },
        Case { domains: 9, each: 44, rounds: 6, pulled: 28 },
    ];
    for case in cases {
        let nodes = nodes(case.domains, case.each);
        for domain in nodes.keys() {
            let first = format!("{domain}-n0");
            expect_that!(rounds(&nodes, &first), some(le(case.rounds)), "{first}");
        }
        let mut pulled = BTreeMap::<id::Node, usize>::new();
        for (domain, members) in &nodes {
            for node in members {
                let sources = spread::sources(node, domain, &nodes);
                expect_that!(sources, not(contains(eq(node))));
                sources.into_iter().for_each(|it| *pulled.entry(it).or_default() += 1);
            }
        }
        let most = pulled.values().max().copied().unwrap_or(0);
        expect_that!(most, le(case.pulled), "{} of {}", case.domains, case.each);
    }
}
