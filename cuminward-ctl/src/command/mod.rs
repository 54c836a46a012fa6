//! Runs the commands; each module implements one command or a few similar ones.

use std::io::{BufRead, Write};

use clap::CommandFactory;

use crate::{
    cli::{self, Cli, Command},
    connect,
    error::Error,
};

pub mod apply;
pub mod builds;
pub mod change;
pub mod events;
pub mod explain;
pub mod key;
pub mod preview;
pub mod read;

/// Runs a command, with `input` as standard input and `out` as standard output.
///
/// # Errors
///
/// Fails if the command fails; [`Error::exit_code`] gives the exit code of the process.
pub async fn run(cli: Cli, input: &mut impl BufRead, out: &mut impl Write) -> Result<(), Error> {
    let Cli { global, command } = cli;
    match command {
        Command::Apply { file } => apply::run(&global, &file, input, out).await,
        Command::Model(cli::Model::List) => read::models(&global, out).await,
        Command::Plain(cli::Plain::List) => read::plains(&global, out).await,
        Command::Team(cli::Team::List) => read::teams(&global, out).await,
        Command::Domain(cli::Domain::List) => read::domains(&global, out).await,
        Command::Host(cli::Host::List) => read::hosts(&global, out).await,
        Command::Status => read::status(&connect::open(&global)?, global.output, out).await,
        Command::Groups { service } => read::groups(&global, service, out).await,
        Command::Nodes => read::nodes(&global, out).await,
        Command::History { limit } => read::history(&global, limit, out).await,
        Command::Catalog => read::catalog(&global, out).await,
        Command::Events { follow, request } => events::run(&global, follow, request, out).await,
        Command::Timeline { request, last_seconds, format } => {
            let request = events::timeline_request(request, last_seconds);
            events::print_timeline(&global, &request, format, out).await
        }
        Command::Explain { request, files } => explain::run(&request, &files, input, out),
        Command::Builds { files } => builds::run(&files, global.output, input, out),
        Command::Where { node, host, path, model } => {
            let question = preview::Question { host, path, model };
            preview::run(&node, &question, global.output, out).await
        }
        Command::Key(cli::Key::Hash) => key::hash(input, out),
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "cuminctl", out);
            Ok(())
        }
        other => change::run(&global, other, out).await,
    }
}
