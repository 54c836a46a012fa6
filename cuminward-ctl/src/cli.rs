//! Command line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cuminward_core::id;

use crate::declaration;

/// Text after the help of `--help`: exit codes and where the token is read from.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 other failure, 2 wrong arguments, 3 invalid \
declaration or change, 4 conflict with an earlier change, 5 not applied (log or node unavailable), \
6 outcome unknown, 7 token or role refused, 8 no node reachable.

The token is read from --token-file or the environment variable CUMINWARD_TOKEN.";

/// Command line client for operators of cuminward.
#[derive(Debug, Parser)]
#[command(name = "cuminctl", version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// Options of every command.
    #[command(flatten)]
    pub global: Global,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of every command: connection, output format and change id.
#[derive(Debug, Clone, Args)]
pub struct Global {
    /// URL of a node, such as http://10.0.0.1:7003; may be given several times.
    #[arg(long, global = true, env = "CUMINWARD_ENDPOINT", value_delimiter = ',')]
    pub endpoint: Vec<String>,
    /// File that contains the operator's token.
    #[arg(long, global = true)]
    pub token_file: Option<PathBuf>,
    /// PEM file with the CA certificates that verify the nodes' certificates.
    #[arg(long, global = true)]
    pub ca_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,
    /// Reject the change if its target was modified after this revision.
    #[arg(long, global = true)]
    pub expected_revision: Option<id::Revision>,
    /// Id of the change; sending a change again with the same id has no further effect.
    #[arg(long, global = true)]
    pub change_id: Option<id::Change>,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table for reading in a terminal.
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

/// Commands of `cuminctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Apply the declarations of a YAML file.
    Apply {
        /// YAML file with declarations; `-` for standard input.
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Declare, remove and list model services.
    #[command(subcommand)]
    Model(Model),
    /// Declare, remove and list plain services.
    #[command(subcommand)]
    Plain(Plain),
    /// Declare, remove and list teams.
    #[command(subcommand)]
    Team(Team),
    /// Declare and list failure domains, take them out of service and bring them back.
    #[command(subcommand)]
    Domain(Domain),
    /// Declare traits of hosts, drain and list hosts.
    #[command(subcommand)]
    Host(Host),
    /// Show the state of each endpoint.
    Status,
    /// List the groups of hosts that each endpoint reports.
    Groups {
        /// Only groups of this service.
        #[arg(long, default_value = "")]
        service: id::Service,
    },
    /// List nodes.
    Nodes,
    /// List recent changes and their outcomes.
    History {
        /// Maximum number of changes; 0 for all retained changes.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Show the configuration in force.
    Catalog,
    /// Show the retained events of all endpoints, or follow new ones.
    Events {
        /// Keep printing new events until interrupted.
        #[arg(long)]
        follow: bool,
        /// Only events of this request.
        #[arg(long, default_value = "")]
        request: id::Request,
    },
    /// Merge the retained events of all endpoints into one time line.
    Timeline {
        /// Only events of this request.
        #[arg(long, default_value = "")]
        request: id::Request,
        /// Only events of the last LAST_SECONDS seconds.
        #[arg(long)]
        last_seconds: Option<u64>,
        /// Format of the time line.
        #[arg(long, value_enum, default_value_t = TimelineFormat::Text)]
        format: TimelineFormat,
    },
    /// Explain what happened to a request, from the log lines of gateway nodes.
    Explain {
        /// Id of the request.
        request: id::Request,
        /// Log files of one or several nodes; standard input if none is given.
        files: Vec<PathBuf>,
    },
    /// Show the build of each gateway node and which nodes have heard of it, from log lines.
    Builds {
        /// Log files of one or several nodes; standard input if none is given.
        files: Vec<PathBuf>,
    },
    /// Show where a gateway node would send a request now, and why, without sending it.
    Where {
        /// Address of the node's metrics, such as 10.0.0.1:9100.
        #[arg(long)]
        node: String,
        /// Host name that the caller would use.
        #[arg(long)]
        host: String,
        /// Path.
        #[arg(long)]
        path: String,
        /// Model that the request would name.
        #[arg(long)]
        model: Option<String>,
    },
    /// Work with keys and tokens.
    #[command(subcommand)]
    Key(Key),
    /// Print a shell completion script.
    Completion {
        /// Shell for which to generate the script.
        shell: clap_complete::Shell,
    },
}

/// Format of the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum TimelineFormat {
    /// One line per event.
    Text,
    /// A JSON array of events.
    Json,
    /// Chrome's trace event format, for trace viewers.
    Trace,
}

/// Commands of model services.
#[derive(Debug, Subcommand)]
pub enum Model {
    /// Declare a model service or replace its declaration.
    Declare(declaration::Model),
    /// Remove a model service.
    Remove(Name),
    /// List model services.
    List,
}

/// Commands of plain services.
#[derive(Debug, Subcommand)]
pub enum Plain {
    /// Declare a plain service or replace its declaration.
    Declare(declaration::Plain),
    /// Remove a plain service.
    Remove(Name),
    /// List plain services.
    List,
}

/// Commands of teams.
#[derive(Debug, Subcommand)]
pub enum Team {
    /// Declare a team or replace its declaration.
    Declare(declaration::Team),
    /// Remove a team.
    Remove(Name),
    /// List teams.
    List,
}

/// Commands of failure domains.
#[derive(Debug, Subcommand)]
pub enum Domain {
    /// Declare a failure domain or replace its declaration.
    Declare(declaration::Domain),
    /// Take a failure domain out of service.
    TakeOut(Name),
    /// Bring a failure domain back into service.
    BringBack(Name),
    /// List failure domains.
    List,
}

/// Commands of hosts.
#[derive(Debug, Subcommand)]
pub enum Host {
    /// Declare the traits of a host.
    Declare(declaration::Host),
    /// Drain a host, so that it receives no new work and leaves its group.
    Drain(Name),
    /// Stop draining a host.
    Undrain(Name),
    /// List declared traits and drained hosts.
    List,
}

/// Commands of keys.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// Print the BLAKE3 hash of the key on standard input.
    Hash,
}

/// Argument of commands that act on one named target.
#[derive(Debug, Clone, Args)]
pub struct Name {
    /// Name of the target.
    pub name: String,
}
