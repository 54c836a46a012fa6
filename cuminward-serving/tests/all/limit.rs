//! Limit on the requests that all nodes together send to one host.

use std::{collections::VecDeque, time::Duration};

use cuminward_serving::{bucket::Bucket, limit::Limit, nodes, notice};
use googletest::prelude::*;
use xxhash_rust::xxh3;

fn key(host: &str) -> u64 {
    xxh3::xxh3_64(host.as_bytes())
}

/// Returns a limit as it is declared for cold hosts.
fn cold(rate: f64, peak: f64) -> Limit {
    Limit { rate, peak, window: Duration::from_secs(1) }
}

#[gtest]
fn a_bucket_never_exceeds_its_rate() {
    for rate in [1.0, 4.0, 36.0] {
        let mut bucket = Bucket::default();
        let mut taken = 0;
        for step in 0..1000 {
            let now = Duration::from_millis(step);
            let has_token = bucket.has_token(now, rate);
            let is_taken = bucket.try_take(now, rate);
            expect_that!(is_taken, eq(has_token), "rate {rate}, {now:?}");
            taken += u32::from(is_taken);
        }
        expect_that!(f64::from(taken), le(rate + 1.0), "rate {rate}");
        expect_that!(f64::from(taken), ge((rate * 0.9).floor() - 1.0), "rate {rate}");
    }
}

/// Returns the largest number of requests that a host which names a rate bears within a window.
fn named_bound(rate: f64) -> f64 {
    1.5 * 4.0 * rate + 5.0
}

/// A node with its own view of the other nodes.
struct Node {
    nodes: nodes::List,
    /// Time by which the clock of the node lags behind, since it started late or was paused.
    behind: Duration,
    bucket: Bucket,
}

/// How the views of the nodes differ.
struct Case {
    name: &'static str,
    /// Number of nodes that all nodes know from the start.
    known: usize,
    /// Number of nodes that were added later. Each node learns of a different part of them.
    added: usize,
    /// Part of the nodes that started a moment ago, with empty buckets.
    restarted: f64,
    /// Part of the nodes that haven't read the list of nodes.
    unread: f64,
    /// Smallest part of the rate that the host gets.
    least: f64,
}

fn nodes(case: &Case) -> Vec<Node> {
    let total = case.known + case.added;
    let name = |index: usize| format!("front-{index}");
    (0..total)
        .map(|own| {
            let mut nodes = nodes::List::new(name(own));
            (0..case.known).for_each(|it| {
                nodes.add(&name(it));
            });
            let learnt = if case.added > 0 { own % (case.added + 1) } else { 0 };
            (case.known..case.known + learnt).for_each(|it| {
                nodes.add(&name(it));
            });
            if own as f64 >= case.unread * total as f64 {
                nodes.set_complete();
            }
            let is_restarted = (own as f64) < case.restarted * total as f64;
            let behind = Duration::from_secs(if is_restarted { 60 } else { 0 });
            Node { nodes, behind, bucket: Bucket::default() }
        })
        .collect()
}

/// Returns the largest number of requests that a host gets within a window, and the requests per
/// second over three windows, if each node has always a request for it. All nodes were idle before.
fn play(nodes: &mut [Node], limit: &Limit, host: &str) -> (usize, f64) {
    let start = Duration::from_secs(60);
    let mut last_window: VecDeque<Duration> = VecDeque::new();
    let (mut most, mut total) = (0, 0);
    let rates: Vec<f64> =
        nodes.iter().map(|it| limit.share(it.nodes.standing(key(host)))).collect();
    for step in 0..3000 {
        let now = start + limit.window * step / 1000;
        last_window.retain(|it| now - *it < limit.window);
        for (node, rate) in nodes.iter_mut().zip(&rates) {
            if node.bucket.try_take(now - node.behind, *rate) {
                last_window.push_back(now);
                total += 1;
            }
        }
        most = most.max(last_window.len());
    }
    (most, f64::from(total) / 3.0 / limit.window.as_secs_f64())
}

#[gtest]
fn all_nodes_together_stay_under_the_peak_of_a_host() {
    let limits = [
        (cold(14.0, 26.0), 26.0),
        (cold(23.0, 39.5), 39.5),
        (cold(36.0, 59.0), 59.0),
        (cold(2.0, 8.0), 8.0),
        (notice::limit(0.5), named_bound(0.5)),
        (notice::limit(2.0), named_bound(2.0)),
        (notice::limit(4.2), named_bound(4.2)),
        (notice::limit(30.0), named_bound(30.0)),
    ];
    let case =
        |name, known| Case { name, known, added: 0, restarted: 0.0, unread: 0.0, least: 0.8 };
    let cases = [
        case("six nodes", 6),
        case("nine nodes", 9),
        case("84 nodes", 84),
        case("95 nodes", 95),
        case("400 nodes", 400),
        Case { restarted: 1.0, least: 0.4, ..case("all restarted", 95) },
        Case { restarted: 0.5, least: 0.4, ..case("half restarted", 95) },
        Case { added: 17, ..case("added nodes are known to a part", 95) },
        Case { added: 40, ..case("added nodes are known to a part", 400) },
        Case { unread: 1.0, least: 0.0, ..case("nobody has read the list", 95) },
        Case { unread: 0.5, least: 0.0, ..case("half have read the list", 95) },
    ];
    for case in cases {
        for (limit, bound) in limits {
            for host in 0..3 {
                let (most, rate) = play(&mut nodes(&case), &limit, &format!("i-{host}"));
                let detail = format!("{}, {limit:?}, host {host}", case.name);
                expect_that!(most as f64, le(bound), "{detail}");
                expect_that!(rate, ge(limit.rate * case.least), "{detail}");
            }
        }
    }
}

#[gtest]
fn the_owners_of_cold_hosts_are_spread_over_the_nodes() {
    let limit = cold(14.0, 26.0);
    let case = Case { name: "", known: 95, added: 0, restarted: 0.0, unread: 0.0, least: 0.0 };
    let hosts: Vec<String> = (0..150).map(|it| format!("i-{it}")).collect();
    for node in nodes(&case) {
        let owned =
            hosts.iter().filter(|it| limit.share(node.nodes.standing(key(it))) > 0.0).count();
        expect_that!(owned, all!(ge(1), le(30)), "150 hosts with 7 owners are 11 for a node");
    }
}
