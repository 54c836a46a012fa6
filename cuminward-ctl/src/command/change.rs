//! Commands that send a single change.

use std::io::Write;

use cuminward_core::{change::Action, id};
use cuminward_operator::client::Client;

use crate::{
    cli::{self, Command, Global},
    connect,
    error::Error,
    output, view,
};

/// Sends the change of a command and prints the result.
///
/// # Errors
///
/// Fails if the command makes no change, the call fails, or the output can't be written.
pub async fn run(global: &Global, command: Command, out: &mut impl Write) -> Result<(), Error> {
    let target = describe(&command);
    let action = build_action(command)
        .ok_or_else(|| Error::Usage("the command makes no change".to_owned()))?;
    let client = connect::open(global)?;
    let change = global.change_id.clone().unwrap_or_else(generate_id);
    let applied = send(&client, change, global.expected_revision, target, action).await?;
    output::write_rows(out, global.output, &[applied])
}

/// Sends one change; `target` is the name of its target in the output.
pub(super) async fn send(
    client: &Client,
    change: id::Change,
    expected: Option<id::Revision>,
    target: String,
    action: Action,
) -> Result<view::Applied, Error> {
    match client.apply(change.clone(), expected, action).await {
        Ok(it) => {
            Ok(view::Applied { what: target, change, revision: it.revision, repeated: it.repeated })
        }
        Err(error) => Err(Error::Call { change: Some(change), error }),
    }
}

/// Generates the id of a new change.
pub(super) fn generate_id() -> id::Change {
    uuid::Uuid::now_v7().to_string()
}

/// Builds the action of a command; `None` if the command makes no change.
fn build_action(command: Command) -> Option<Action> {
    Some(match command {
        Command::Model(cli::Model::Declare(it)) => it.into_action(),
        Command::Model(cli::Model::Remove(it)) => Action::RemoveModel(it.name),
        Command::Plain(cli::Plain::Declare(it)) => it.into_action(),
        Command::Plain(cli::Plain::Remove(it)) => Action::RemovePlain(it.name),
        Command::Team(cli::Team::Declare(it)) => it.into_action(),
        Command::Team(cli::Team::Remove(it)) => Action::RemoveTeam(it.name),
        Command::Domain(cli::Domain::Declare(it)) => it.into_action(),
        Command::Domain(cli::Domain::TakeOut(it)) => Action::TakeOut(it.name),
        Command::Domain(cli::Domain::BringBack(it)) => Action::BringBack(it.name),
        Command::Host(cli::Host::Declare(it)) => it.into_action(),
        Command::Host(cli::Host::Drain(it)) => Action::Drain(it.name),
        Command::Host(cli::Host::Undrain(it)) => Action::Undrain(it.name),
        _ => return None,
    })
}

/// Names the kind of a command's target in the output.
fn describe(command: &Command) -> String {
    match command {
        Command::Model(_) => "model",
        Command::Plain(_) => "plain",
        Command::Team(_) => "team",
        Command::Domain(_) => "domain",
        _ => "host",
    }
    .to_owned()
}
