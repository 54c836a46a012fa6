//! Measures the cost of idempotency keys: reservations with and without keys through the same
//! nodes.
//!
//! `cargo run --release -p cuminward-testkit --example reservations -- --rate 40 --seconds 20`
#![allow(clippy::print_stdout)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clap::Parser;
use cuminward_once::record;
use cuminward_standin::{environment, plain};
use cuminward_testkit::{
    caller::{Call, Caller},
    cluster::{self, Cluster},
    declare,
};
use futures::future;
use http::Method;
use miette::ensure;

/// Hosts of the replica in each failure domain.
const HOSTS: u32 = 2;

/// Concurrent requests of an order desk.
const SLOTS: u32 = 64;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the nodes to discover each other and to read the log.
const SETTLING: Duration = Duration::from_secs(3);

/// Compares reservations with and without idempotency keys.
#[derive(Debug, Parser)]
struct Arguments {
    /// Reservations per second over all nodes.
    #[arg(long, default_value_t = 40)]
    rate: u32,
    /// Time in seconds during which reservations are started.
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Number of failure domains.
    #[arg(long, default_value_t = 3)]
    domains: u32,
    /// Number of nodes in each failure domain.
    #[arg(long, default_value_t = 3)]
    nodes: u32,
}

/// Sorted latencies and the number of successful reservations of one run.
struct Figures {
    latencies: Vec<Duration>,
    complete: usize,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let cluster = start(&arguments).await?;
    let count = arguments.rate * arguments.seconds;
    let before = cluster.environment.log().records(record::STREAM).len();
    for (name, has_key) in [("no key", false), ("key", true)] {
        let figures = run(&arguments, &cluster.callers(), has_key).await;
        ensure!(figures.complete == count as usize, "{} of {count} answered", figures.complete);
        let (p50, p95) = (figures.quantile(500), figures.quantile(950));
        println!("{name:<8} p50 {p50:>7.2} ms  p95 {p95:>7.2} ms");
    }
    let records = cluster.environment.log().records(record::STREAM).split_off(before);
    let bytes: usize = records.iter().map(|it| it.to_string().len()).sum();
    let seconds = f64::from(arguments.seconds);
    println!("appends a second: {:.1}", records.len() as f64 / seconds);
    println!("bytes of records a second: {:.0}", bytes as f64 / seconds);
    println!("bytes of records a key: {:.0}", bytes as f64 / f64::from(count));
    let runs = cluster.environment.plain().counters().runs_by_key;
    ensure!(runs.values().all(|it| *it == 1), "a reservation ran twice");
    cluster.stop().await;
    Ok(())
}

async fn start(arguments: &Arguments) -> miette::Result<Cluster> {
    let domain = |index: u32| environment::Domain {
        plains: [(declare::DESK.to_owned(), 1)].into(),
        ..environment::Domain::new(&format!("d{index}"), "r", HOSTS)
    };
    let options = cluster::Options {
        environment: environment::Options {
            domains: (0..arguments.domains).map(domain).collect(),
            plain: plain::Options { slots: SLOTS, cold_bound: SLOTS, ..plain::Options::default() },
            ..environment::Options::default()
        },
        nodes_per_domain: arguments.nodes,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await?;
    let warm_up = Duration::from_millis(1);
    let limits = declare::Limits { slots: SLOTS, cold_slots: SLOTS, warm_up };
    cluster.declare(1, HOSTS, &limits).await?;
    cluster.wait_replicas(1, FORMATION_TIMEOUT).await?;
    tokio::time::sleep(SETTLING).await;
    Ok(cluster)
}

/// Sends reservations at a fixed rate, to the nodes in turn.
async fn run(arguments: &Arguments, nodes: &[SocketAddr], has_key: bool) -> Figures {
    let caller = Caller::new(&declare::TEAMS[0]);
    let pause = Duration::from_secs(1) / arguments.rate;
    let start = Instant::now();
    let sends = (0..arguments.rate * arguments.seconds).map(|index| {
        let (caller, node) = (caller.clone(), nodes[index as usize % nodes.len()]);
        let due = start + pause * index;
        tokio::spawn(async move {
            tokio::time::sleep_until(due.into()).await;
            let answer = caller.send(node, &reservation(index, has_key)).await;
            (due.elapsed(), answer.is_ok_and(|it| it.status == 201))
        })
    });
    let sends: Vec<_> = sends.collect();
    let done: Vec<_> = future::join_all(sends).await.into_iter().flatten().collect();
    let mut latencies: Vec<Duration> = done.iter().map(|it| it.0).collect();
    latencies.sort_unstable();
    Figures { latencies, complete: done.iter().filter(|it| it.1).count() }
}

fn reservation(index: u32, has_key: bool) -> Call {
    Call {
        method: Method::POST,
        path: "/services/desk/reservations".to_owned(),
        body: r#"{"item":"paper","quantity":1}"#.to_owned(),
        key: has_key.then(|| format!("key {index}")),
    }
}

impl Figures {
    /// Returns a quantile of the latencies in milliseconds, 0 without latencies.
    fn quantile(&self, permille: usize) -> f64 {
        let index = self.latencies.len() * permille / 1_000;
        self.latencies.get(index).map_or(0.0, |it| it.as_secs_f64() * 1e3)
    }
}
