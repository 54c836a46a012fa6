//! Tests of `topology`.

use std::collections::{BTreeMap, BTreeSet};

use cuminward_peer::topology;
use googletest::prelude::*;

type Nodes = Vec<String>;

fn nodes(domain: &str, count: usize) -> Nodes {
    (0..count).map(|it| format!("{domain}-n{it}")).collect()
}

fn names(nodes: &Nodes) -> impl Iterator<Item = &str> {
    nodes.iter().map(String::as_str)
}

/// Returns the number of rounds until information from the first node has reached every node, where
/// each hello carries information in both directions.
fn rounds(nodes: &Nodes) -> Option<usize> {
    let mut informed = BTreeSet::from([nodes[0].as_str()]);
    for round in 0..nodes.len() {
        if informed.len() == nodes.len() {
            return Some(round);
        }
        let before = informed.clone();
        for node in names(nodes) {
            for other in topology::select_neighbours(node, names(nodes)) {
                if before.contains(node) || before.contains(other) {
                    informed.extend([node, other]);
                }
            }
        }
    }
    None
}

#[gtest]
fn information_reaches_every_node_within_bounded_rounds() {
    struct Case {
        count: usize,
        rounds: usize,
        /// Largest number of nodes that send hellos to one node.
        senders: usize,
    }
    let cases = [
        Case { count: 1, rounds: 0, senders: 0 },
        Case { count: 2, rounds: 1, senders: 1 },
        Case { count: 9, rounds: 1, senders: 8 },
        Case { count: 10, rounds: 3, senders: 2 },
        Case { count: 18, rounds: 4, senders: 2 },
        Case { count: 44, rounds: 5, senders: 2 },
        Case { count: 100, rounds: 8, senders: 2 },
    ];
    for case in cases {
        let nodes = nodes("d", case.count);
        expect_that!(rounds(&nodes).unwrap_or(usize::from(case.count > 1)), le(case.rounds));
        let mut senders = BTreeMap::<&str, usize>::new();
        for node in names(&nodes) {
            let neighbours = topology::select_neighbours(node, names(&nodes));
            expect_that!(neighbours, not(contains(eq(&node))));
            neighbours.into_iter().for_each(|it| *senders.entry(it).or_default() += 1);
        }
        let most = senders.values().max().copied().unwrap_or(0);
        expect_that!(most, le(case.senders), "of {}", case.count);
    }
}

#[gtest]
fn nodes_of_a_domain_prefer_different_nodes_of_another() {
    let (own, others) = (nodes("a", 12), nodes("b", 12));
    let first = |it| topology::rank_remotes(it, names(&own), names(&others))[0];
    let preferred: BTreeSet<&str> = names(&own).map(first).collect();
    expect_that!(preferred.len(), eq(12));
    expect_that!(topology::rank_remotes("a-n0", names(&own), []), is_empty());
    let all = topology::rank_remotes("a-n0", names(&own), names(&others));
    expect_that!(all.len(), eq(12));
}
