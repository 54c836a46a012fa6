//! Measures the bytes that probes and the exchange of observations take in one failure domain.
//!
//! `cargo run --release -p cuminward-testkit --example probing -- --nodes 9 --hosts 40`
#![allow(clippy::print_stdout)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use clap::Parser;
use cuminward_group::probe::{interval, table};
use cuminward_node::{control::probe, node, state};
use cuminward_peer::{client, handshake, stream};
use cuminward_standin::environment;
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use miette::{IntoDiagnostic, miette};

/// Failure domain of the measurement.
const DOMAIN: &str = "a";

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 4;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time from the formation of the replicas to the start of the measurement.
const SETTLING: Duration = Duration::from_secs(10);

/// Time between two reads of the ages of the observations.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of pulls over which the bytes of one pull are averaged.
const PULLS: u32 = 20;

/// Measures the bytes that probes and the exchange of observations take.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of nodes.
    #[arg(long, default_value_t = 4)]
    nodes: u32,
    /// Number of engine hosts.
    #[arg(long, default_value_t = 20)]
    hosts: u32,
    /// Length of the measurement in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Bytes sent and received by a node so far, for probes and to and from other nodes.
#[derive(Debug, Clone, Copy, Default)]
struct Bytes {
    probes: u64,
    peers: u64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let cluster = start(&arguments).await?;
    let intervals = probe_intervals(&cluster, &arguments);
    let time = Duration::from_secs(arguments.seconds);
    let before: Vec<Bytes> = cluster.nodes().map(|it| bytes_of_node(it.1)).collect();
    let oldest = oldest_confirmation(&cluster, time).await;
    let after = cluster.nodes().map(|it| bytes_of_node(it.1));
    let rates = after.zip(before).map(|(after, before)| {
        let rate = |after: u64, before: u64| (after - before) as f64 / time.as_secs_f64();
        (rate(after.probes, before.probes), rate(after.peers, before.peers))
    });
    let (probes, peers): (Vec<f64>, Vec<f64>) = rates.unzip();
    let pull = bytes_of_pull(&cluster).await?;
    let pulls_per_second = intervals.pull.map_or(0.0, |it| 1.0 / it.as_secs_f64());
    let exchange = pull * pulls_per_second * 2.0;
    let share = f64::from(arguments.hosts * 2) / f64::from(arguments.nodes);
    let share = if intervals.pull.is_some() { share } else { f64::from(arguments.hosts) };
    println!("nodes {}, hosts {}: {intervals:?}", arguments.nodes, arguments.hosts);
    println!("probes: mean {:.0} B/s, largest {:.0} B/s a node", mean(&probes), largest(&probes));
    println!("one probe: {:.0} B", mean(&probes) * intervals.probe.as_secs_f64() / share);
    println!("one pull: {pull:.0} B; exchange: {exchange:.0} B/s a node");
    println!("probes and exchange: {:.0} B/s a node", mean(&probes) + exchange);
    println!("all between nodes: mean {:.0} B/s a node", mean(&peers));
    println!("oldest confirmation of any host at any node: {oldest:?}");
    cluster.stop().await;
    Ok(())
}

async fn start(arguments: &Arguments) -> miette::Result<Cluster> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new(DOMAIN, "r", arguments.hosts)],
            ..environment::Options::default()
        },
        nodes_per_domain: arguments.nodes,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await?;
    let replicas = arguments.hosts / HOSTS_PER_REPLICA;
    cluster.declare(replicas, HOSTS_PER_REPLICA, &declare::Limits::default()).await?;
    cluster.wait_replicas(replicas as usize, FORMATION_TIMEOUT).await?;
    tokio::time::sleep(SETTLING).await;
    Ok(cluster)
}

fn first_state(cluster: &Cluster) -> miette::Result<&Arc<state::State>> {
    cluster.nodes().next().map(|it| it.1.state()).ok_or_else(|| miette!("there are no nodes"))
}

fn probe_intervals(cluster: &Cluster, arguments: &Arguments) -> interval::Intervals {
    let (_, node) = cluster.nodes().next().expect("the cluster has nodes");
    probe::intervals(node.state(), arguments.nodes as usize)
}

fn bytes_of_node(node: &node::Node) -> Bytes {
    let state = node.state();
    let (engines, out, into) =
        (state.engines.control().counter(), state.pool.counter(), &state.counter);
    Bytes {
        probes: engines.sent() + engines.received(),
        peers: out.sent() + out.received() + into.sent() + into.received(),
    }
}

/// Returns the largest age of a confirmation that was observed within a time.
async fn oldest_confirmation(cluster: &Cluster, time: Duration) -> Duration {
    let start = Instant::now();
    let mut oldest = Duration::ZERO;
    while start.elapsed() < time {
        for (_, node) in cluster.nodes() {
            let state = node.state();
            let now = state.now();
            let table = state.observations();
            let ages = table.observations().values().map(|it| now.saturating_sub(it.at));
            oldest = ages.max().unwrap_or_default().max(oldest);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    oldest
}

/// Returns the bytes of one pull of observations in which no report changed.
async fn bytes_of_pull(cluster: &Cluster) -> miette::Result<f64> {
    let state = first_state(cluster)?;
    let secret = handshake::Secret::new(state.settings.secret.expose());
    let options = client::Options::default();
    let pool = client::Pool::new(stream::Tcp, secret, options, Arc::default());
    let name = &state.settings.node;
    pool.set_nodes(&BTreeMap::from([(name.clone(), state.addresses.peers.to_string())]));
    let mut mirror = table::Mirror::default();
    let mut before = 0;
    for index in 0..=PULLS {
        if index == 1 {
            before = pool.counter().sent() + pool.counter().received();
        }
        let pulled = pool.observations(name, mirror.incarnation, mirror.next).await;
        let pulled = pulled.into_diagnostic()?;
        (mirror.incarnation, mirror.next) = (pulled.incarnation, pulled.next);
    }
    let after = pool.counter().sent() + pool.counter().received();
    Ok((after - before) as f64 / f64::from(PULLS))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
