//! What a node adds to a stream: the same load through a node and straight to the engines.
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

/// Time within which all replicas have to be formed and warm.
const FORMING: Duration = Duration::from_secs(30);

/// Compares a node with the direct way.
#[derive(Debug, Parser)]
struct Arguments {
    /// Requests a second.
    #[arg(long, default_value_t = 9.5)]
    rate: f64,
    /// Seconds during which requests start.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Tokens of each reply.
    #[arg(long, default_value_t = 216)]
    tokens: u64,
    /// Milliseconds between two tokens.
    #[arg(long, default_value_t = 50)]
    decode_ms: u64,
    /// Replicas.
    #[arg(long, default_value_t = 4)]
    replicas: u32,
    /// Requests that a replica runs at the same time.
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
    cluster.wait_replicas(arguments.replicas as usize, FORMING).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = cpu_share(Duration::from_secs(5)).await;
    let direct = run(&arguments, direct_targets(&cluster)).await;
    let before = cpu::thread_time(NODE);
    let node = run(&arguments, node_targets(&cluster)).await;
    let used = (cpu::thread_time(NODE) - before).as_secs_f64();
    ensure!(node.all.complete == node.all.sent, "not every request was answered: {:?}", node.all);
    println!("{:<22} {:>10} {:>10} {:>10}", "milliseconds", "direct", "node", "added");
    let (d, n) = (&direct.all, &node.all);
    row("first token p50", d.first_token.p50_ms, n.first_token.p50_ms);
    row("first token p95", d.first_token.p95_ms, n.first_token.p95_ms);
    row("between tokens p50", d.between_tokens.p50_ms, n.between_tokens.p50_ms);
    row("between tokens p95", d.between_tokens.p95_ms, n.between_tokens.p95_ms);
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

async fn cpu_share(time: Duration) -> f64 {
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

/// The heads of all replicas, in turn.
fn direct_targets(cluster: &Cluster) -> Vec<load::Target> {
    let replicas = cluster.node(NODE).state().replicas.load();
    let target = |it: &cuminward_core::replica::Replica| load::Target::Engine {
        address: it.address.parse().expect("the stand-ins' addresses are right"),
        group: it.group.clone(),
        generation: it.generation,
        version: it.version.clone(),
    };
    replicas.routable.iter().map(target).collect()
}

fn node_targets(cluster: &Cluster) -> Vec<load::Target> {
    cluster.callers().into_iter().map(|address| load::Target::Chat { address }).collect()
}

fn row(name: &str, direct: f64, node: f64) {
    println!("{name:<22} {direct:>10.3} {node:>10.3} {:>10.3}", node - direct);
}
