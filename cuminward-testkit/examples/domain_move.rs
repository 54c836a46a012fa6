//! Compares strategies for the use of other failure domains while one domain is taken out of
//! service and brought back.
//!
//! `cargo run --release -p cuminward-testkit --example domain_move -- --seed 1`
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use clap::Parser;
use cuminward_core::change;
use cuminward_node::settings;
use cuminward_route::route::remote::Strategy;
use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use miette::IntoDiagnostic;

/// Names of the failure domains; the last one is taken out of service.
const DOMAINS: [&str; 3] = ["whk-a", "whk-b", "whk-c"];

/// Replicas of each failure domain.
const REPLICAS: u32 = 2;

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 2;

/// Concurrent requests of a replica.
const SLOTS: u32 = 16;

/// Length of each of the phases before, during and after the time out of service.
const PHASE: Duration = Duration::from_secs(8);

/// Time after which a domain that was taken out may receive no new request.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Compares strategies for the use of other failure domains.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 70.0)]
    rate: f64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    println!(
        "{:<10} {:>6} {:>9} {:>8} {:>26} {:>26} {:>6}",
        "way", "sent", "complete", "refused", "first token p95 ms", "between tokens p95 ms", "late"
    );
    for (name, strategy, spill) in [
        ("never", Strategy::Never, Duration::from_millis(100)),
        ("nearest", Strategy::Nearest, Duration::from_millis(100)),
        ("weighted", Strategy::Weighted, Duration::from_millis(100)),
        ("no spill", Strategy::Weighted, Duration::from_secs(3600)),
    ] {
        run(&arguments, name, settings::Routing { remote: strategy, spill }).await?;
    }
    Ok(())
}

async fn run(arguments: &Arguments, name: &str, routing: settings::Routing) -> miette::Result<()> {
    let cluster = start(routing).await?;
    let options = load_options(&cluster, arguments);
    let load = tokio::spawn(async move { load::run(&options).await });
    let moved = DOMAINS[2].to_owned();
    tokio::time::sleep(PHASE).await;
    cluster.apply([change::Action::TakeOut(moved.clone())]).await?;
    tokio::time::sleep(DRAIN_LIMIT).await;
    let drained = Instant::now();
    tokio::time::sleep(PHASE - DRAIN_LIMIT).await;
    let late = cluster.environment.fleet().begun_in_domain_since(&moved, drained);
    cluster.apply([change::Action::BringBack(moved)]).await?;
    let report = load.await.into_diagnostic()?;
    println!(
        "{name:<10} {:>6} {:>9} {:>8} {:>26} {:>26} {late:>6}",
        report.all.sent,
        report.all.complete,
        report.all.refused,
        format_phases(&report, |it| it.first_token_seconds.into_iter().collect()),
        format_phases(&report, |it| it.gaps_seconds.clone()),
    );
    cluster.stop().await;
    Ok(())
}

async fn start(routing: settings::Routing) -> miette::Result<Cluster> {
    let hosts = REPLICAS * HOSTS_PER_REPLICA;
    let options = cluster::Options {
        environment: environment::Options {
            domains: DOMAINS
                .iter()
                .map(|it| environment::Domain::new(it, "windhoek", hosts))
                .collect(),
            engine: engine::Options {
                slots: SLOTS,
                cold_bound: SLOTS / 4,
                decode: Duration::from_millis(15),
                ..engine::Options::default()
            },
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        routing,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await?;
    let limits =
        declare::Limits { slots: SLOTS, cold_slots: SLOTS / 4, warm_up: Duration::from_secs(3) };
    cluster.declare(REPLICAS, HOSTS_PER_REPLICA, &limits).await?;
    cluster.wait_replicas(REPLICAS as usize, Duration::from_secs(20)).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    Ok(cluster)
}

fn load_options(cluster: &Cluster, arguments: &Arguments) -> load::Options {
    let targets = cluster.callers().into_iter();
    let team = &declare::TEAMS[0];
    load::Options {
        seed: arguments.seed,
        rate: arguments.rate,
        duration: PHASE * 3,
        targets: targets.map(|address| load::Target::Chat { address }).collect(),
        teams: vec![load::Team {
            name: team.name.to_owned(),
            key: team.key.to_owned(),
            weight: 1.0,
        }],
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: 48,
        ..load::Options::default()
    }
}

/// Formats the 95th percentiles of the three phases, in milliseconds.
fn format_phases(report: &load::Report, values: impl Fn(&load::Sample) -> Vec<f64>) -> String {
    let of_phase = |index: usize| {
        let in_phase =
            |it: &&load::Sample| (it.start_seconds / PHASE.as_secs_f64()) as usize == index;
        let samples = report.samples.iter().filter(in_phase);
        format!("{:.1}", percentile(samples.flat_map(&values).collect()) * 1000.0)
    };
    (0..3).map(of_phase).collect::<Vec<_>>().join(" / ")
}

/// Returns the 95th percentile, 0 without values.
fn percentile(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() * 95 / 100).copied().unwrap_or(0.0)
}
