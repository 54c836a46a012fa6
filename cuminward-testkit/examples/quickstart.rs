//! A complete system in one process: three failure domains with two nodes each, on stand-ins.
//!
//! `cargo run --release --example quickstart` shows each feature once and exits; with `-- --stay`
//! it keeps the system running and prints commands to try.
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use clap::Parser;
use cuminward_core::change;
use cuminward_standin::{environment, load};
use cuminward_testkit::{
    caller::{self, Caller},
    cluster::{self, Cluster},
    declare,
};
use http::Method;
use miette::{IntoDiagnostic, ensure, miette};

/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["mercado", "bodega", "alcaldia"];

/// Number of engine hosts in each failure domain: two replicas of four hosts.
const HOSTS: u32 = 8;

/// Replicas of each failure domain.
const REPLICAS: u32 = 2;

/// Hosts of each replica.
const HOSTS_PER_REPLICA: u32 = 4;

/// Time within which all replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a domain that was taken out may receive no new request.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Runs a complete system in one process.
#[derive(Debug, Parser)]
struct Arguments {
    /// Keep everything running and print commands to try.
    #[arg(long)]
    stay: bool,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let arguments = Arguments::parse();
    let cluster = Cluster::start(options()).await?;
    println!("6 nodes in 3 failure domains run over 24 engine hosts");
    let start = Instant::now();
    let limits = declare::Limits::default();
    let revision = cluster.declare(REPLICAS, HOSTS_PER_REPLICA, &limits).await?;
    cluster.wait_replicas(REPLICAS as usize, FORMATION_TIMEOUT).await?;
    println!("declared revision {revision}; 6 replicas formed in {:.1?}", start.elapsed());
    chat(&cluster).await?;
    reserve(&cluster).await?;
    move_domain(&cluster).await?;
    print_summary(&cluster);
    if arguments.stay {
        stay(&cluster).await?;
    }
    ensure!(cluster.stop().await, "a shutdown cut requests off");
    println!("all nodes stopped, no request was cut off");
    Ok(())
}

fn options() -> cluster::Options {
    let domain = |name: &&str| environment::Domain {
        plains: [(declare::DESK.to_owned(), 1)].into(),
        ..environment::Domain::new(name, "sacatepequez", HOSTS)
    };
    cluster::Options {
        environment: environment::Options {
            domains: DOMAINS.iter().map(domain).collect(),
            list_lag: Duration::from_millis(500),
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        ..cluster::Options::default()
    }
}

/// Streams one chat.
async fn chat(cluster: &Cluster) -> miette::Result<()> {
    let caller = Caller::new(&declare::TEAMS[0]);
    let node = cluster.callers()[0];
    let answer = caller.chat(node, "a kite of five colours", 24).await.map_err(|it| miette!(it))?;
    ensure!(answer.is_complete_chat(), "the chat was not complete: {}", answer.body);
    println!("chat: \"{}\" ({})", answer.chat_text().trim(), answer.outcome());
    Ok(())
}

/// Makes one reservation with an idempotency key.
async fn reserve(cluster: &Cluster) -> miette::Result<()> {
    let caller = Caller::new(&declare::TEAMS[0]);
    let node = cluster.callers()[0];
    let call = caller::Call {
        method: Method::POST,
        path: format!("/services/{}/reservations", declare::DESK),
        body: r#"{"item":"china paper","quantity":3}"#.to_owned(),
        key: Some("village-17-bolts".to_owned()),
    };
    let answer = caller.send(node, &call).await.map_err(|it| miette!(it))?;
    ensure!(answer.status == 201, "the reservation failed: {}", answer.body);
    println!("reservation: {} ({})", answer.body.trim(), answer.outcome());
    Ok(())
}

/// Takes a failure domain out of service and brings it back under load.
async fn move_domain(cluster: &Cluster) -> miette::Result<()> {
    let moved = DOMAINS[2].to_owned();
    let load = tokio::spawn(run_load(load_options(cluster)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.apply([change::Action::TakeOut(moved.clone())]).await?;
    tokio::time::sleep(DRAIN_LIMIT).await;
    let drained = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let late = cluster.environment.fleet().begun_in_domain_since(&moved, drained);
    cluster.apply([change::Action::BringBack(moved.clone())]).await?;
    let report = load.await.into_diagnostic()?;
    println!(
        "{moved} was taken out and brought back: {late} requests after {DRAIN_LIMIT:?}; \
         {} sent, {} complete, {} refused, {} cut off, {} wrong",
        report.all.sent,
        report.all.complete,
        report.all.refused,
        report.all.cut_off,
        report.all.wrong
    );
    println!(
        "first token: p95 {:.1} ms; between tokens: p95 {:.1} ms",
        report.all.first_token.p95_ms, report.all.between_tokens.p95_ms
    );
    ensure!(late == 0, "the domain received requests after it was taken out");
    ensure!(report.all.complete == report.all.sent, "not every request was answered: {report:?}");
    Ok(())
}

fn load_options(cluster: &Cluster) -> load::Options {
    let targets = cluster.callers().into_iter();
    load::Options {
        rate: 30.0,
        duration: Duration::from_secs(9),
        targets: targets.map(|address| load::Target::Chat { address }).collect(),
        teams: declare::TEAMS
            .iter()
            .map(|it| load::Team {
                name: it.name.to_owned(),
                key: it.key.to_owned(),
                weight: f64::from(it.weight),
            })
            .collect(),
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: 32,
        ..load::Options::default()
    }
}

/// Prints group downtime and stranded accelerators.
fn print_summary(cluster: &Cluster) {
    let nodes = DOMAINS.map(|it| cluster.node(&format!("{it}-0")));
    let measures = nodes.map(|it| it.state().availability());
    let down: f64 = measures.iter().map(|it| it.down.as_secs_f64()).sum();
    let stranded: f64 = measures.iter().map(|it| it.stranded.as_secs_f64()).sum();
    println!("group downtime: {down:.1} replica-seconds");
    println!("stranded accelerators: {stranded:.1} host-seconds");
}

/// Prints commands to try, and waits for Ctrl-C.
async fn stay(cluster: &Cluster) -> miette::Result<()> {
    let node = cluster.node("mercado-0").addresses();
    println!("\ntry:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' \\\n    \
         -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"a \
         kite\"}}]}}'",
        node.callers,
        declare::TEAMS[0].key,
        declare::MODEL
    );
    println!(
        "  CUMINWARD_TOKEN={} cargo run --release --bin cuminctl -- --endpoint http://{} groups",
        cluster::OPERATOR_TOKEN,
        node.operators
    );
    println!("\nCtrl-C ends it");
    tokio::signal::ctrl_c().await.into_diagnostic()
}

async fn run_load(options: load::Options) -> load::Report {
    load::run(&options).await
}
