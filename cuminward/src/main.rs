//! The cuminward daemon.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::path::PathBuf;

use clap::{Parser, Subcommand};
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
    /// Check a settings file and say everything that is wrong with it.
    Check(Source),
}

/// Where the settings come from.
#[derive(Debug, clap::Args)]
struct Source {
    /// Settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match Arguments::parse().command {
        Command::Run(source) => run(&source),
        Command::Check(source) => check(&source),
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
