//! Sends load, prints the figures as JSON and writes them, with a plot, to the directory `out/`.

use std::{io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::Parser;
use cuminward_standin::load;

/// Sends open-loop load to chat interfaces and checks every reply.
#[derive(Debug, Parser)]
struct Arguments {
    /// Address of a chat interface; may be given several times.
    #[arg(long = "target", required_unless_present = "engines")]
    targets: Vec<SocketAddr>,
    /// Head of a replica that gets requests directly, as ADDRESS=GROUP=GENERATION=VERSION; may be
    /// given several times.
    #[arg(long = "engine", value_parser = parse_engine)]
    engines: Vec<load::Target>,
    /// Team, as NAME, NAME=KEY or NAME=KEY=WEIGHT; may be given several times.
    #[arg(long = "team", default_values = ["team"])]
    teams: Vec<String>,
    /// Model that requests ask for.
    #[arg(long, default_value = "m")]
    model: String,
    /// Version whose replies count as correct; may be given several times.
    #[arg(long = "version-served", default_values = ["v1"])]
    versions: Vec<String>,
    /// Mean rate, in requests a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Time during which requests start, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Limit of each reply, in tokens.
    #[arg(long, default_value_t = 64)]
    max_tokens: u64,
    /// Seed of the random arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for `load.json` and `load.svg`.
    #[arg(long, default_value = "out")]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let arguments = Arguments::parse();
    let report = load::run(&options(&arguments)).await;
    let json = serde_json::to_string_pretty(&report)?;
    std::fs::create_dir_all(&arguments.out)?;
    std::fs::write(arguments.out.join("load.json"), &json)?;
    let svg = load::plot::svg(&report).map_err(std::io::Error::other)?;
    std::fs::write(arguments.out.join("load.svg"), svg)?;
    writeln!(std::io::stdout(), "{json}")
}

fn options(arguments: &Arguments) -> load::Options {
    let chats = arguments.targets.iter().map(|it| load::Target::Chat { address: *it });
    load::Options {
        seed: arguments.seed,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        targets: chats.chain(arguments.engines.iter().cloned()).collect(),
        teams: arguments.teams.iter().map(|it| parse_team(it)).collect(),
        model: arguments.model.clone(),
        versions: arguments.versions.clone(),
        max_tokens: arguments.max_tokens,
        ..load::Options::default()
    }
}

fn parse_team(text: &str) -> load::Team {
    let mut parts = text.splitn(3, '=');
    load::Team {
        name: parts.next().unwrap_or_default().to_owned(),
        key: parts.next().unwrap_or_default().to_owned(),
        weight: parts.next().and_then(|it| it.parse().ok()).unwrap_or(1.0),
    }
}

fn parse_engine(text: &str) -> Result<load::Target, String> {
    let parts: Vec<&str> = text.split('=').collect();
    let [address, group, generation, version] = parts[..] else {
        return Err("not ADDRESS=GROUP=GENERATION=VERSION".to_owned());
    };
    Ok(load::Target::Engine {
        address: address.parse().map_err(|_| "not an address".to_owned())?,
        group: group.to_owned(),
        generation: generation.parse().map_err(|_| "not a generation".to_owned())?,
        version: version.to_owned(),
    })
}
