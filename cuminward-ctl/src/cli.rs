//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cuminward_core::id;

use crate::declaration;

/// What `--help` says about exit codes.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 other failure, 2 wrong arguments, 3 invalid \
declaration or change, 4 another change came first, 5 not applied (log or node away), 6 outcome \
unknown, 7 token or role refused, 8 no node reachable.

The token is read from --token-file or the environment value CUMINWARD_TOKEN.";

/// The operators' client of cuminward.
#[derive(Debug, Parser)]
#[command(name = "cuminctl", version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// Where to connect and how to print.
    #[command(flatten)]
    pub global: Global,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of every command.
#[derive(Debug, Clone, Args)]
pub struct Global {
    /// Address of a node, such as http://10.0.0.1:7003; may be repeated.
    #[arg(long, global = true, env = "CUMINWARD_ENDPOINT", value_delimiter = ',')]
    pub endpoint: Vec<String>,
    /// File with the operator's token.
    #[arg(long, global = true)]
    pub token_file: Option<PathBuf>,
    /// File with the certificates (PEM) that the nodes' certificates are checked with.
    #[arg(long, global = true)]
    pub ca_file: Option<PathBuf>,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,
    /// Refuse the change if its target changed after this revision.
    #[arg(long, global = true)]
    pub expected_revision: Option<id::Revision>,
    /// Id of the change; resending an id has no further effect.
    #[arg(long, global = true)]
    pub change_id: Option<id::Change>,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table for people.
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Apply the declarations of a YAML file.
    Apply {
        /// File with declarations; `-` for standard input.
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
    /// Declare and list failure domains, take them out and bring them back.
    #[command(subcommand)]
    Domain(Domain),
    /// Declare traits of hosts, drain hosts.
    #[command(subcommand)]
    Host(Host),
    /// Show the state of each endpoint.
    Status,
    /// List groups, as each endpoint knows them.
    Groups {
        /// Only groups of this service.
        #[arg(long, default_value = "")]
        service: id::Service,
    },
    /// List nodes.
    Nodes,
    /// List recent changes and what became of them.
    History {
        /// Largest number of changes; 0 for all that are kept.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Show the configuration in force.
    Catalog,
    /// Show the events of all endpoints.
    Events {
        /// Go on with new events until interrupted.
        #[arg(long)]
        follow: bool,
        /// Only events of this request.
        #[arg(long, default_value = "")]
        request: id::Request,
    },
    /// Merge the events that all endpoints still hold.
    Timeline {
        /// Only events of this request.
        #[arg(long, default_value = "")]
        request: id::Request,
        /// Only events of the last so many seconds.
        #[arg(long)]
        last_seconds: Option<u64>,
        /// Form of the time line.
        #[arg(long, value_enum, default_value_t = Timeline::Text)]
        format: Timeline,
    },
    /// Tell the story of a request from the log lines of gateway nodes.
    Explain {
        /// The request.
        request: id::Request,
        /// Files with log lines, of one node or of several; standard input if there are none.
        files: Vec<PathBuf>,
    },
    /// Work with keys and tokens.
    #[command(subcommand)]
    Key(Key),
    /// Print a completion script.
    Completion {
        /// Shell that the script is for.
        shell: clap_complete::Shell,
    },
}

/// Form of the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Timeline {
    /// One line an event.
    Text,
    /// A JSON array of events.
    Json,
    /// Chrome's trace event format.
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
    /// Drain a host: it receives no new work and leaves its group.
    Drain(Name),
    /// End the draining of a host.
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

/// Name of a target.
#[derive(Debug, Clone, Args)]
pub struct Name {
    /// Name of the target.
    pub name: String,
}
