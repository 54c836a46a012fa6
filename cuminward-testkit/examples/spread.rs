//! Measures the bytes per second of calls between nodes, for hello messages and the distribution of
//! the configuration: idle, and with one change per second.
//!
//! `cargo run --release -p cuminward-testkit --example spread -- --nodes 18 --domains 3`
#![allow(clippy::print_stdout)]

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use clap::Parser;
use cuminward_core::{catalog, change};
use cuminward_node::{node, state};
use cuminward_standin::environment;
use cuminward_testkit::cluster::{self, Cluster};
use miette::ensure;

/// Time within which the nodes have to start and to discover each other.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two reads of the age of the evidence.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the start to the measurement.
const SETTLING: Duration = Duration::from_secs(5);

/// Measures the bytes of calls between nodes.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of nodes over all failure domains.
    #[arg(long, default_value_t = 9)]
    nodes: u32,
    /// Number of failure domains.
    #[arg(long, default_value_t = 3)]
    domains: u32,
    /// Length of each measurement in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u32,
}

/// Bytes that one node has sent and received so far.
#[derive(Debug, Clone, Copy)]
struct Bytes {
    sent: u64,
    received: u64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let arguments = Arguments::parse();
    let cluster = Cluster::start(options(&arguments)).await?;
    let nodes_per_domain = (arguments.nodes / arguments.domains) as usize;
    let found = |it: &node::Node| it.state().peers.live_nodes(it.state()).len() == nodes_per_domain;
    let is_settled =
        || cluster.nodes().all(|(_, it)| found(it) && it.state().check_ready().is_ok());
    ensure!(
        cluster::wait(START_TIMEOUT, is_settled).await,
        "not all nodes discovered each other within {START_TIMEOUT:?}"
    );
    tokio::time::sleep(SETTLING).await;
    let start = bytes(&cluster);
    let oldest = max_evidence_age(&cluster, Duration::from_secs(arguments.seconds.into())).await;
    print_rates("idle", &arguments, &start, &bytes(&cluster));
    println!("oldest evidence of a live node of the same domain: {} ms", oldest.as_millis());
    let start = bytes(&cluster);
    let mut second = tokio::time::interval(Duration::from_secs(1));
    for number in 0..arguments.seconds {
        second.tick().await;
        cluster.apply([team(number)]).await?;
    }
    second.tick().await;
    print_rates("one change a second", &arguments, &start, &bytes(&cluster));
    Ok(())
}

fn options(arguments: &Arguments) -> cluster::Options {
    let domain = |it: u32| environment::Domain::new(&format!("domain-{it}"), "region", 0);
    let domains = (0..arguments.domains).map(domain).collect();
    cluster::Options {
        environment: environment::Options { domains, ..environment::Options::default() },
        nodes_per_domain: arguments.nodes / arguments.domains,
        ..cluster::Options::default()
    }
}

fn team(number: u32) -> change::Action {
    change::Action::DeclareTeam(catalog::Team {
        name: format!("team-{}", number % 10),
        keys: BTreeSet::new(),
        weight: 1,
        in_flight: 1 + number,
    })
}

/// Returns the largest age that the evidence of a live node of the same failure domain reaches
/// within a time.
async fn max_evidence_age(cluster: &Cluster, time: Duration) -> Duration {
    let start = Instant::now();
    let mut oldest = Duration::ZERO;
    while start.elapsed() < time {
        oldest = oldest.max(
            cluster.nodes().map(|(_, it)| oldest_evidence(it.state())).max().unwrap_or_default(),
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    oldest
}

fn oldest_evidence(state: &state::State) -> Duration {
    let evidence = state.peers.evidence(state);
    evidence.values().map(|it| it.map_or(Duration::MAX, |it| it.age)).max().unwrap_or_default()
}

fn bytes(cluster: &Cluster) -> Vec<Bytes> {
    cluster.nodes().map(|(_, it)| node_bytes(it.state())).collect()
}

fn node_bytes(state: &state::State) -> Bytes {
    let (client, server) = (state.pool.counter(), &state.counter);
    Bytes { sent: client.sent() + server.sent(), received: client.received() + server.received() }
}

/// Prints the mean and the maximum over the nodes, in bytes per second.
fn print_rates(what: &str, arguments: &Arguments, before: &[Bytes], after: &[Bytes]) {
    let rate = |it: u64| it as f64 / f64::from(arguments.seconds);
    let pairs = || before.iter().zip(after);
    let sent: Vec<f64> = pairs().map(|(b, a)| rate(a.sent - b.sent)).collect();
    let all: Vec<f64> =
        pairs().map(|(b, a)| rate(a.sent + a.received - b.sent - b.received)).collect();
    let mean = |it: &[f64]| it.iter().sum::<f64>() / it.len() as f64;
    println!(
        "{} nodes in {} domains, {what}: sent {:.0} B/s a node, sent and received {:.0} B/s a node, \
         {:.0} B/s at the busiest",
        arguments.nodes,
        arguments.domains,
        mean(&sent),
        mean(&all),
        all.iter().copied().fold(0.0, f64::max)
    );
}
