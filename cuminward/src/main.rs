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
    /// Run a node until SIGTERM or SIGINT; requests under way are finished first.
    Run(Source),
    /// Run a gateway node on a platform until SIGTERM or SIGINT; requests under way are finished first.
    Gateway(Source),
    /// Check a gateway's settings file and say what is wrong with it.
    CheckGateway(Source),
    /// Check a settings file and say everything that is wrong with it.
    Check(Source),
    /// Print the completion script of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What is logged unless `RUST_LOG` says otherwise. `tarpc` writes a line for each call.
const LOG_FILTER: &str = "info,tarpc=warn";

/// Threads of a gateway, which runs on a part of a core.
const GATEWAY_THREADS: usize = 2;

/// Where the settings come from.
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

fn check(source: &Source) -> miette::Result<()> {
    let settings = settings::load::run(&source.settings)?;
    log::info!("the settings of node {} are correct", settings.node);
    Ok(())
}

fn run(source: &Source) -> miette::Result<()> {
    let settings = settings::load::run(&source.settings)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: settings::Settings) -> miette::Result<()> {
    let node = node::Node::start(settings).await?;
    stop_signal().await.into_diagnostic()?;
    node.stop().await;
    Ok(())
}

fn check_gateway(source: &Source) -> miette::Result<()> {
    let settings = gateway_settings::load(&source.settings)?;
    log::info!("the settings of node {} are correct", settings.node.name);
    Ok(())
}

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
        stop_signal().await.into_diagnostic()?;
        gateway.stop().await;
        Ok(())
    })
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
