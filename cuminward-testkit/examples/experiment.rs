//! Runs one experiment with real nodes and stand-ins, and checks the promises.
//!
//! `cargo run --release --example experiment -- NAME --seed N [--baseline]` prints the measures and
//! the violations of every promise, writes a JSON report and a plot, and exits with 1 if there are
//! violations.
#![allow(clippy::print_stdout)]

use std::{fs, path::PathBuf, process::ExitCode};

use clap::Parser;
use cuminward_standin::load::plot;
use cuminward_testkit::experiment::{Name, runner};
use miette::{IntoDiagnostic, miette};

/// Runs one experiment and checks the promises.
#[derive(Debug, Parser)]
struct Arguments {
    /// The experiment.
    name: Name,
    /// Seed of the load and of the experiment's choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also run the same load and faults without nodes, if the experiment is comparable.
    #[arg(long)]
    baseline: bool,
    /// Directory for the JSON report and the plot.
    #[arg(long, default_value = "out")]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let arguments = Arguments::parse();
    let outcome = runner::run(arguments.name, arguments.seed, arguments.baseline).await?;
    println!("{}", outcome.report.text());
    fs::create_dir_all(&arguments.out).into_diagnostic()?;
    let name = format!("{}-{}", file_name(arguments.name)?, arguments.seed);
    let path = arguments.out.join(&name);
    let json = serde_json::to_string_pretty(&outcome.report).into_diagnostic()?;
    fs::write(path.with_extension("json"), json).into_diagnostic()?;
    let svg = plot::svg(&outcome.chats).map_err(|it| miette!("{it}"))?;
    fs::write(path.with_extension("svg"), svg).into_diagnostic()?;
    let violations = outcome.report.violations();
    println!("{violations} violations; written to {}.json and .svg", path.display());
    Ok(if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn file_name(name: Name) -> miette::Result<String> {
    let value = serde_json::to_value(name).into_diagnostic()?;
    value
        .as_str()
        .map(ToOwned::to_owned)
        .ok_or_else(|| miette!("the name of an experiment isn't serialized as a string"))
}
