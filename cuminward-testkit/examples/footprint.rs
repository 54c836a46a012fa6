//! Measures the CPU time, bytes and memory that the control loops of one failure domain cost each
//! of its nodes without requests.
//!
//! `cargo run --release -p cuminward-testkit --example footprint -- --nodes 9 --hosts 40`
#![allow(clippy::print_stdout)]

use std::{fs, time::Duration};

use clap::Parser;
use cuminward_standin::environment;
use cuminward_testkit::{
    cluster::{self, Cluster},
    cpu, declare,
};

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 4;

/// Time until hello messages, probes and the division of slots are steady.
const SETTLING: Duration = Duration::from_secs(8);

/// Bytes of a kibibyte, the unit of `/proc/self/status`.
const KIBIBYTE: f64 = 1024.0;

/// Measures the cost of the control loops of one failure domain.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of nodes of the failure domain.
    #[arg(long)]
    nodes: u32,
    /// Number of engine hosts of the failure domain.
    #[arg(long)]
    hosts: u32,
    /// Length of the measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let before = resident_bytes();
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", arguments.hosts)],
            ..environment::Options::default()
        },
        nodes_per_domain: arguments.nodes,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await?;
    let replicas = arguments.hosts / HOSTS_PER_REPLICA;
    cluster.declare(replicas, HOSTS_PER_REPLICA, &declare::Limits::default()).await?;
    cluster.wait_replicas(replicas as usize, Duration::from_secs(60)).await?;
    tokio::time::sleep(SETTLING).await;
    let start = sample(&cluster);
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let end = sample(&cluster);
    let seconds = arguments.seconds as f64;
    let shares: Vec<f64> =
        start.cpu.iter().zip(&end.cpu).map(|(a, b)| (*b - *a).as_secs_f64() / seconds).collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let largest = shares.iter().copied().fold(0.0, f64::max);
    let bytes = (end.bytes - start.bytes) as f64 / seconds / f64::from(arguments.nodes);
    let resident = (resident_bytes() - before) / f64::from(arguments.nodes);
    println!(
        "{} nodes, {} hosts: {:.2}% of a core a node (largest {:.2}%), {:.0} B/s a node between \
         nodes, {:.1} MB a node with its part of the stand-ins",
        arguments.nodes,
        arguments.hosts,
        mean * 100.0,
        largest * 100.0,
        bytes,
        resident / 1e6
    );
    cluster.stop().await;
    Ok(())
}

/// CPU time of each node, and bytes between all nodes, at one time.
struct Sample {
    cpu: Vec<Duration>,
    bytes: u64,
}

fn sample(cluster: &Cluster) -> Sample {
    let cpu = cluster.nodes().map(|(name, _)| cpu::thread_time(name)).collect();
    let bytes = cluster.nodes().map(|(_, node)| {
        let state = node.state();
        let own = state.pool.counter();
        own.sent() + own.received() + state.counter.sent() + state.counter.received()
    });
    Sample { cpu, bytes: bytes.sum() }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * KIBIBYTE
}
