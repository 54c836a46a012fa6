//! Measures the bytes that the protocol between nodes takes, idle and under load, for several
//! numbers of nodes and replicas.
//!
//! `cargo run --release -p cuminward-testkit --example control_bytes`
#![allow(clippy::print_stdout)]

use std::time::Duration;

use clap::Parser;
use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};

/// Numbers of nodes and replicas.
const SIZES: [(u32, u32); 5] = [(2, 4), (4, 4), (9, 4), (4, 12), (9, 12)];

/// Slots of each replica.
const SLOTS: u32 = 16;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the start after which the traffic is steady.
const SETTLING: Duration = Duration::from_secs(3);

/// Measures the bytes of the protocol between nodes.
#[derive(Debug, Parser)]
struct Arguments {
    /// Length of each run in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Requests per second at each node.
    #[arg(long, default_value_t = 9.5)]
    rate: f64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    println!("bytes sent a second at each node");
    println!("{:>5} {:>8} {:>10} {:>10}", "nodes", "replicas", "idle", "load");
    for (nodes, replicas) in SIZES {
        let [idle, busy] = measure(&arguments, nodes, replicas).await?;
        println!("{nodes:>5} {replicas:>8} {idle:>10.0} {busy:>10.0}");
    }
    Ok(())
}

async fn measure(arguments: &Arguments, nodes: u32, replicas: u32) -> miette::Result<[f64; 2]> {
    let cluster = Cluster::start(options(nodes, replicas)).await?;
    let limits =
        declare::Limits { slots: SLOTS, cold_slots: SLOTS, warm_up: Duration::from_millis(1) };
    cluster.declare(replicas, 1, &limits).await?;
    cluster.wait_replicas(replicas as usize, FORMATION_TIMEOUT).await?;
    tokio::time::sleep(SETTLING).await;
    let seconds = arguments.seconds as f64 * f64::from(nodes);
    let start = bytes_sent(&cluster);
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let idle = (bytes_sent(&cluster) - start) as f64 / seconds;
    let start = bytes_sent(&cluster);
    let report = load::run(&load_options(arguments, &cluster, nodes)).await;
    let busy = (bytes_sent(&cluster) - start) as f64 / (report.seconds * f64::from(nodes));
    cluster.stop().await;
    Ok([idle, busy])
}

/// Returns the bytes that all nodes have sent to each other.
fn bytes_sent(cluster: &Cluster) -> u64 {
    let of_node = |it: &cuminward_node::node::Node| {
        it.state().pool.counter().sent() + it.state().counter.sent()
    };
    cluster.nodes().map(|(_, it)| of_node(it)).sum()
}

fn options(nodes: u32, replicas: u32) -> cluster::Options {
    cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", replicas)],
            engine: engine::Options {
                slots: SLOTS,
                cold_bound: SLOTS,
                warm_up: Duration::from_millis(1),
                ..engine::Options::default()
            },
            ..environment::Options::default()
        },
        nodes_per_domain: nodes,
        ..cluster::Options::default()
    }
}

fn load_options(arguments: &Arguments, cluster: &Cluster, nodes: u32) -> load::Options {
    let targets = cluster.callers().into_iter().map(|address| load::Target::Chat { address });
    let team = &declare::TEAMS[0];
    load::Options {
        rate: arguments.rate * f64::from(nodes),
        duration: Duration::from_secs(arguments.seconds),
        targets: targets.collect(),
        teams: vec![load::Team {
            name: team.name.to_owned(),
            key: team.key.to_owned(),
            weight: 1.0,
        }],
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: 64,
        ..load::Options::default()
    }
}
