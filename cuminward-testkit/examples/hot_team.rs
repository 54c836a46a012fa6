//! Measures how a team that sends ten times its share affects another team: the time to the first
//! token of the quiet team alone, and beside the hot team.
//!
//! `cargo run --release -p cuminward-testkit --example hot_team -- --seed 1`
#![allow(clippy::print_stdout)]

use std::time::Duration;

use clap::Parser;
use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use miette::ensure;

/// Replicas of the only failure domain.
const REPLICAS: u32 = 2;

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 2;

/// Nodes of the only failure domain.
const NODES: u32 = 2;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Load of the quiet team, as a fraction of its share.
const QUIET_SHARE: f64 = 0.6;

/// Load of the hot team, as a multiple of its share.
const HOT_SHARE: f64 = 10.0;

/// Maximum 95th percentile of the quiet team beside the hot one, as a multiple of its value alone.
const MAX_GROWTH: f64 = 1.1;

/// Measures how a hot team affects a quiet one.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each run in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Decode time of each token in milliseconds.
    #[arg(long, default_value_t = 10)]
    decode_ms: u64,
    /// Slots of each replica.
    #[arg(long, default_value_t = 64)]
    slots: u32,
    /// Maximum number of tokens of each response.
    #[arg(long, default_value_t = 64)]
    tokens: u64,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let arguments = Arguments::parse();
    let cluster = Cluster::start(options(&arguments)).await?;
    let limits = declare::Limits {
        slots: arguments.slots,
        cold_slots: arguments.slots,
        warm_up: Duration::from_millis(1),
    };
    cluster.declare(REPLICAS, HOSTS_PER_REPLICA, &limits).await?;
    cluster.wait_replicas(REPLICAS as usize, FORMATION_TIMEOUT).await?;
    let [quiet, hot] = &declare::TEAMS;
    let (quiet_rate, hot_rate) =
        (rate(&arguments, quiet, QUIET_SHARE), rate(&arguments, hot, HOT_SHARE));
    let alone = load::run(&load_options(&arguments, &cluster, quiet, quiet_rate)).await;
    let options = [
        load_options(&arguments, &cluster, quiet, quiet_rate),
        load_options(&arguments, &cluster, hot, hot_rate),
    ];
    let (contended, hot_load) = tokio::join!(load::run(&options[0]), load::run(&options[1]));
    println!(
        "{:<26} {:>6} {:>9} {:>8} {:>8} {:>8}",
        "", "sent", "complete", "refused", "p50", "p95"
    );
    print_row("quiet team alone", &alone);
    print_row("quiet team beside hot one", &contended);
    print_row("hot team", &hot_load);
    let growth = contended.all.first_token.p95_ms / alone.all.first_token.p95_ms;
    println!("first token p95 of the quiet team: {growth:.3} times that alone");
    println!("the hot team's other ends: {:?}", hot_load.all.details);
    cluster.stop().await;
    ensure!(
        contended.all.complete == contended.all.sent,
        "not every request of the quiet team was complete"
    );
    ensure!(
        growth <= MAX_GROWTH,
        "the first token p95 of the quiet team grew beyond {MAX_GROWTH} times"
    );
    Ok(())
}

fn options(arguments: &Arguments) -> cluster::Options {
    cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", REPLICAS * HOSTS_PER_REPLICA)],
            engine: engine::Options {
                slots: arguments.slots,
                cold_bound: arguments.slots,
                warm_up: Duration::from_millis(1),
                prefill_per_byte: Duration::from_micros(100),
                decode: Duration::from_millis(arguments.decode_ms),
                decode_growth_permille: 0,
                ..engine::Options::default()
            },
            ..environment::Options::default()
        },
        nodes_per_domain: NODES,
        ..cluster::Options::default()
    }
}

/// Returns the requests per second with which a team uses a multiple of its share of all slots.
fn rate(arguments: &Arguments, team: &declare::Team, times: f64) -> f64 {
    let weights: u32 = declare::TEAMS.iter().map(|it| it.weight).sum();
    let share = f64::from(REPLICAS * arguments.slots * team.weight) / f64::from(weights);
    let seconds = (arguments.decode_ms * arguments.tokens) as f64 / 1000.0;
    share * times / seconds
}

fn load_options(
    arguments: &Arguments,
    cluster: &Cluster,
    team: &declare::Team,
    rate: f64,
) -> load::Options {
    let targets = cluster.callers().into_iter().map(|address| load::Target::Chat { address });
    load::Options {
        seed: arguments.seed,
        rate,
        duration: Duration::from_secs(arguments.seconds),
        timeout: Duration::from_secs(60),
        targets: targets.collect(),
        teams: vec![load::Team {
            name: team.name.to_owned(),
            key: team.key.to_owned(),
            weight: 1.0,
        }],
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: arguments.tokens,
        ..load::Options::default()
    }
}

fn print_row(name: &str, report: &load::Report) {
    let (sent, complete, refused) = (report.all.sent, report.all.complete, report.all.refused);
    let (p50, p95) = (report.all.first_token.p50_ms, report.all.first_token.p95_ms);
    println!("{name:<26} {sent:>6} {complete:>9} {refused:>8} {p50:>8.1} {p95:>8.1}");
}
