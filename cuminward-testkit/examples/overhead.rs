//! Measures the latency that a node adds to a stream: the same load through a node and directly to
//! the engines.
//!
//! `cargo run --release -p cuminward-testkit --example overhead -- --rate 9.5 --seconds 30`
#![allow(clippy::print_stdout)]

use std::time::Duration;

use clap::Parser;
use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    cpu, declare,
};
use miette::ensure;

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 4;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Compares requests through a node with requests directly to the engines.
#[derive(Debug, Parser)]
struct Arguments {
    /// Requests per second.
    #[arg(long, default_value_t = 9.5)]
    rate: f64,
    /// Time in seconds during which requests are started.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Tokens of each response.
    #[arg(long, default_value_t = 216)]
    tokens: u64,
    /// Milliseconds between two tokens.
    #[arg(long, default_value_t = 50)]
    decode_ms: u64,
    /// Number of replicas.
    #[arg(long, default_value_t = 4)]
    replicas: u32,
    /// Concurrent requests of a replica.
    #[arg(long, default_value_t = 48)]
    slots: u32,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let cluster = Cluster::start(options(&arguments)).await?;
    let limits = declare::Limits {
        slots: arguments.slots,
        cold_slots: arguments.slots,
        warm_up: Duration::from_millis(1),
    };
    cluster.declare(arguments.replicas, HOSTS_PER_REPLICA, &limits).await?;
    cluster.wait_replicas(arguments.replicas as usize, FORMATION_TIMEOUT).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = idle_cpu_share(Duration::from_secs(5)).await;
    let direct = run(&arguments, direct_targets(&cluster)).await;
    let before = cpu::thread_time(NODE);
    let node = run(&arguments, node_targets(&cluster)).await;
    let used = (cpu::thread_time(NODE) - before).as_secs_f64();
    ensure!(node.all.complete == node.all.sent, "not every request was answered: {:?}", node.all);
    println!("{:<22} {:>10} {:>10} {:>10}", "milliseconds", "direct", "node", "added");
    let (d, n) = (&direct.all, &node.all);
    print_row("first token p50", d.first_token.p50_ms, n.first_token.p50_ms);
    print_row("first token p95", d.first_token.p95_ms, n.first_token.p95_ms);
    print_row("between tokens p50", d.between_tokens.p50_ms, n.between_tokens.p50_ms);
    print_row("between tokens p95", d.between_tokens.p95_ms, n.between_tokens.p95_ms);
    let tokens = n.tokens as f64;
    println!("node: {} requests, {} tokens in {:.1} s", n.sent, n.tokens, node.seconds);
    println!("node: {:.2}% of a core idle", idle * 100.0);
    println!("node: {:.2}% of a core under load", used / node.seconds * 100.0);
    println!("node: {:.1} us of a core for each token", used / tokens * 1e6);
    cluster.stop().await;
    Ok(())
}

/// Name of the only node.
const NODE: &str = "a-0";

fn options(arguments: &Arguments) -> cluster::Options {
    let hosts = arguments.replicas * HOSTS_PER_REPLICA;
    cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", hosts)],
            engine: engine::Options {
                slots: arguments.slots,
                cold_bound: arguments.slots,
                warm_up: Duration::from_millis(1),
                prefill_per_byte: Duration::from_micros(50),
                decode: Duration::from_millis(arguments.decode_ms),
                decode_growth_permille: 0,
                ..engine::Options::default()
            },
            ..environment::Options::default()
        },
        nodes_per_domain: 1,
        ..cluster::Options::default()
    }
}

async fn idle_cpu_share(time: Duration) -> f64 {
    let before = cpu::thread_time(NODE);
    tokio::time::sleep(time).await;
    (cpu::thread_time(NODE) - before).as_secs_f64() / time.as_secs_f64()
}

async fn run(arguments: &Arguments, targets: Vec<load::Target>) -> load::Report {
    let team = &declare::TEAMS[0];
    let options = load::Options {
        seed: arguments.seed,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        timeout: Duration::from_secs(60),
        targets,
        teams: vec![load::Team {
            name: team.name.to_owned(),
            key: team.key.to_owned(),
            weight: 1.0,
        }],
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: arguments.tokens,
        ..load::Options::default()
    };
    load::run(&options).await
}

/// Returns the heads of all replicas.
fn direct_targets(cluster: &Cluster) -> Vec<load::Target> {
    let replicas = cluster.node(NODE).state().replicas.load();
    let target = |it: &cuminward_core::replica::Replica| load::Target::Engine {
        address: it.address.parse().expect("stand-ins are listed with valid addresses"),
        group: it.group.clone(),
        generation: it.generation,
        version: it.version.clone(),
    };
    replicas.routable.iter().map(target).collect()
}

fn node_targets(cluster: &Cluster) -> Vec<load::Target> {
    cluster.callers().into_iter().map(|address| load::Target::Chat { address }).collect()
}

fn print_row(name: &str, direct: f64, node: f64) {
    println!("{name:<22} {direct:>10.3} {node:>10.3} {:>10.3}", node - direct);
}
