//! The cuminward daemon.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use cuminward_gateway::{gateway, settings as gateway_settings};
use cuminward_node::{node, settings};
use miette::IntoDiagnostic;
use tokio::signal::unix::{self, SignalKind};

/// Serving system for models whose replicas span several hosts.
#[derive(Debug, Parser)]
#[command(name = "cuminward", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a node until SIGTERM or SIGINT; requests in flight are finished first.
    Run(Source),
    /// Run a gateway node on a platform until SIGTERM or SIGINT; requests in flight are finished first.
    Gateway(Source),
    /// Validate the settings file of a gateway node and report the first error.
    CheckGateway(Source),
    /// Validate the settings file of a node and report all errors.
    Check(Source),
    /// Print the completion script for a shell.
    Completions {
        /// Shell to generate the script for.
        shell: Shell,
    },
}

/// Log filter unless `RUST_LOG` is set. Below `warn`, `tarpc` logs a line for each call.
const LOG_FILTER: &str = "info,tarpc=warn";

/// Worker threads of a gateway node, which gets only a fraction of a core.
const GATEWAY_THREADS: usize = 2;

/// Location of the settings.
#[derive(Debug, clap::Args)]
struct Source {
    /// Settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(LOG_FILTER)).init();
    match Arguments::parse().command {
        Command::Run(source) => run(&source),
        Command::Check(source) => check(&source),
        Command::Gateway(source) => run_gateway(&source),
        Command::CheckGateway(source) => check_gateway(&source),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "cuminward", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Validates the settings file of a node.
fn check(source: &Source) -> miette::Result<()> {
    let settings = settings::load::run(&source.settings)?;
    log::info!("the settings of node {} are valid", settings.node);
    Ok(())
}

/// Runs a node until a stop signal.
fn run(source: &Source) -> miette::Result<()> {
    let settings = settings::load::run(&source.settings)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

/// Starts a node and stops it gracefully on a stop signal.
async fn serve(settings: settings::Settings) -> miette::Result<()> {
    let node = node::Node::start(settings).await?;
    wait_for_stop_signal().await.into_diagnostic()?;
    node.stop().await;
    Ok(())
}

/// Validates the settings file of a gateway node.
fn check_gateway(source: &Source) -> miette::Result<()> {
    let settings = gateway_settings::load(&source.settings)?;
    log::info!("the settings of node {} are valid", settings.node.name);
    Ok(())
}

/// Runs a gateway node until a stop signal.
fn run_gateway(source: &Source) -> miette::Result<()> {
    let settings = gateway_settings::load(&source.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(GATEWAY_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(async {
        let gateway =
            gateway::Gateway::start(settings, source.settings.clone()).await.into_diagnostic()?;
        wait_for_stop_signal().await.into_diagnostic()?;
        gateway.stop().await;
        Ok(())
    })
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
