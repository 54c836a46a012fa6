//! Runs an environment of stand-ins until a signal or a time limit stops it, and prints its
//! addresses.

use std::{collections::BTreeMap, io::Write, time::Duration};

use clap::Parser;
use cuminward_core::host;
use cuminward_standin::{engine, environment};

/// Runs stand-ins for all systems around cuminward on 127.0.0.1.
#[derive(Debug, Parser)]
struct Arguments {
    /// Failure domain, as NAME or NAME=REGION; may be given several times.
    #[arg(long = "domain", default_values = ["a=r1", "b=r1", "c=r1"])]
    domains: Vec<String>,
    /// Fabric domains in each failure domain.
    #[arg(long, default_value_t = 2)]
    fabrics: u32,
    /// Engine hosts in each fabric domain.
    #[arg(long, default_value_t = 6)]
    hosts_per_fabric: u32,
    /// Failure domain whose engines ignore fencing numbers; may be given several times.
    #[arg(long = "unfenced")]
    unfenced: Vec<String>,
    /// Plain hosts in each failure domain, as SERVICE=COUNT; may be given several times.
    #[arg(long = "plain", default_values = ["desk=1"])]
    plains: Vec<String>,
    /// Node to add to the host list, as NAME=DOMAIN=IP:PORT; may be given several times.
    #[arg(long = "node")]
    nodes: Vec<String>,
    /// Base port: log, host list, weight store, engine control and plain control listen on the 5
    /// ports after it, plain hosts from offset 100 on, engine hosts from offset 200 on; 0 chooses
    /// free ports.
    #[arg(long, default_value_t = 7100)]
    base_port: u16,
    /// Factor by which the engines' durations are multiplied.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Time until a change of the host list becomes visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    list_lag_ms: u64,
    /// Stops after this number of seconds.
    #[arg(long)]
    for_seconds: Option<u64>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let arguments = Arguments::parse();
    let environment = environment::Environment::start(options(&arguments)).await?;
    for node in &arguments.nodes {
        let mut parts = node.splitn(3, '=');
        let (name, domain, address) = (parts.next(), parts.next(), parts.next());
        let (Some(name), Some(domain), Some(address)) = (name, domain, address) else {
            return Err(std::io::Error::other(format!("not NAME=DOMAIN=IP:PORT: {node}")));
        };
        environment.add_node(environment::node_entry(name, domain, address));
    }
    print_addresses(&environment)?;
    wait_for_stop(arguments.for_seconds).await?;
    environment.stop().await;
    Ok(())
}

fn options(arguments: &Arguments) -> environment::Options {
    environment::Options {
        domains: arguments.domains.iter().map(|it| parse_domain(arguments, it)).collect(),
        engine: engine::Options::default().scale(arguments.time_scale),
        list_lag: Duration::from_millis(arguments.list_lag_ms),
        base_port: Some(arguments.base_port).filter(|it| *it != 0),
        ..environment::Options::default()
    }
}

fn parse_domain(arguments: &Arguments, text: &str) -> environment::Domain {
    let (name, region) = text.split_once('=').unwrap_or((text, "r1"));
    let plains = arguments.plains.iter().map(|it| {
        let (service, count) = it.split_once('=').unwrap_or((it, "1"));
        (service.to_owned(), count.parse().unwrap_or(1))
    });
    environment::Domain {
        name: name.to_owned(),
        region: region.to_owned(),
        fabrics: arguments.fabrics,
        hosts_per_fabric: arguments.hosts_per_fabric,
        fencing: !arguments.unfenced.iter().any(|it| it == name),
        plains: plains.collect::<BTreeMap<_, _>>(),
    }
}

fn print_addresses(environment: &environment::Environment) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "log            {}", environment.log_address())?;
    writeln!(out, "host list      {}", environment.hosts_address())?;
    writeln!(out, "weights        {}", environment.weights_address())?;
    writeln!(out, "engine control {}", environment.fleet().control_address())?;
    writeln!(out, "plain control  {}", environment.plain().control_address())?;
    let entries: Vec<host::Entry> = environment.host_list().entries();
    for entry in entries {
        let host::Entry { host, domain, address, role, .. } = entry;
        writeln!(out, "{role:?} {host} domain={domain} {address}")?;
    }
    out.flush()
}

async fn wait_for_stop(seconds: Option<u64>) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let timeout = async {
        match seconds {
            Some(it) => tokio::time::sleep(Duration::from_secs(it)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        it = tokio::signal::ctrl_c() => it,
        () = timeout => Ok(()),
    }
}
