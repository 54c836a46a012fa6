//! Runs the daemon as separate processes under random faults and checks its guarantees.
//!
//! `cargo run --release --example soak -- --seed N --seconds S` needs the daemon, built with
//! `cargo build --release -p cuminward`, in the same target directory. Exits with 1 if a guarantee was
//! violated.
#![allow(clippy::print_stdout)]

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use cuminward_soak::{fault, soak};
use miette::{IntoDiagnostic, miette};
use tokio::signal::unix::{self, SignalKind};

/// Runs the daemon under random faults.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of the load and of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds during which faults are injected.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Number of nodes.
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Weight of pauses of hosts, against 26 for all other faults; 0 for none.
    #[arg(long, default_value_t = fault::Weights::default().pauses)]
    pauses: u32,
    /// Weight of strandings of nodes, likewise.
    #[arg(long, default_value_t = fault::Weights::default().strandings)]
    strandings: u32,
    /// Weight of hosts that refuse requests and send copies of the refusals, likewise.
    #[arg(long, default_value_t = fault::Weights::default().refusals)]
    copies: u32,
    /// Weight of hosts that name a limit, likewise.
    #[arg(long, default_value_t = fault::Weights::default().limits)]
    limits: u32,
    /// Path of the daemon's executable; by default the one built in the same target directory.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Path of another build's executable, which half of the nodes start with and which is rolled out and back.
    #[arg(long, env = "CUMINWARD_OLD")]
    old: Option<PathBuf>,
    /// Directory for the logs and settings of the nodes.
    #[arg(long, default_value = "out/soak")]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments = Arguments::parse();
    let directory = arguments.out.join(arguments.seed.to_string());
    std::fs::create_dir_all(&directory).into_diagnostic()?;
    let options = soak::Options {
        seed: arguments.seed,
        duration: Duration::from_secs_f64(arguments.seconds),
        nodes: arguments.nodes,
        callers: arguments.callers,
        weights: fault::Weights {
            pauses: arguments.pauses,
            strandings: arguments.strandings,
            refusals: arguments.copies,
            limits: arguments.limits,
        },
        daemon: find_daemon(arguments.daemon)?,
        former: arguments.old,
        directory,
    };
    // Dropping the run after an interrupt kills the nodes.
    let outcome = tokio::select! {
        outcome = soak::run(&options) => outcome.into_diagnostic()?,
        () = interrupted() => return Err(miette!("interrupted")),
    };
    let counts = outcome.counts;
    println!(
        "seed {}: {} faults, {} requests, {} of them to run once, {} answered, {} refused, \
         {} sent again, {} failed, {} violations",
        options.seed,
        outcome.faults.len(),
        counts.sent,
        counts.once,
        counts.answered,
        counts.refused,
        counts.repeated,
        counts.failed,
        outcome.violations.len(),
    );
    for stranding in &outcome.strandings {
        println!("  {stranding}");
    }
    for violation in &outcome.violations {
        println!("  {violation}");
    }
    Ok(if outcome.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let mut terminate = match unix::signal(SignalKind::terminate()) {
        Ok(it) => it,
        Err(error) => {
            log::warn!("can't install the handler for SIGTERM: {error}");
            return std::future::pending().await;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Returns the given path of the daemon's executable or the one in the same target directory.
///
/// # Errors
///
/// Fails if there is no such file.
fn find_daemon(given: Option<PathBuf>) -> miette::Result<PathBuf> {
    let own = std::env::current_exe().into_diagnostic()?;
    let default = own.parent().and_then(|it| it.parent()).map(|it| it.join("cuminward"));
    let daemon = given.or(default).filter(|it| it.is_file());
    daemon.ok_or_else(|| miette!("daemon not found: run `cargo build --release -p cuminward`"))
}
