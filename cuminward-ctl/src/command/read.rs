//! Commands that only read: the state of nodes, groups and the configuration.

use std::io::Write;

use cuminward_core::{catalog, id};
use cuminward_operator::client::{Answer, Client};

use crate::{
    cli::{Format, Global},
    connect,
    error::Error,
    output, view,
};

/// Prints the state of each endpoint.
pub async fn status(client: &Client, format: Format, out: &mut impl Write) -> Result<(), Error> {
    let (answers, failures) = split(client.status().await);
    let rows: Vec<_> = answers.into_iter().map(|(node, it)| view::status_row(node, it)).collect();
    output::write_rows(out, format, &rows)?;
    ensure_all_answered(failures)
}

/// Prints the groups that each endpoint reports; all services if `service` is empty.
pub async fn groups(
    global: &Global,
    service: id::Service,
    out: &mut impl Write,
) -> Result<(), Error> {
    let (answers, failures) = split(connect::open(global)?.groups(service).await);
    let rows: Vec<_> = answers
        .into_iter()
        .flat_map(|(node, it)| {
            it.groups.into_iter().map(move |it| view::group_row(node.clone(), it))
        })
        .collect();
    output::write_rows(out, global.output, &rows)?;
    ensure_all_answered(failures)
}

/// Prints the nodes.
pub async fn nodes(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    let nodes = connect::open(global)?.nodes().await?;
    let rows: Vec<_> = nodes.into_iter().map(view::node_row).collect();
    output::write_rows(out, global.output, &rows)
}

/// Prints the most recent changes, at most `limit`; all retained ones if `limit` is 0.
pub async fn history(global: &Global, limit: u32, out: &mut impl Write) -> Result<(), Error> {
    let entries = connect::open(global)?.history(limit).await?;
    let rows: Vec<_> = entries.into_iter().map(view::change_row).collect();
    output::write_rows(out, global.output, &rows)
}

/// Prints the configuration in force.
pub async fn catalog(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_value(out, global.output, &fetch_catalog(global).await?)
}

/// Prints the model services.
pub async fn models(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_value(out, global.output, &fetch_catalog(global).await?.models)
}

/// Prints the plain services.
pub async fn plains(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_value(out, global.output, &fetch_catalog(global).await?.plains)
}

/// Prints the teams.
pub async fn teams(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_value(out, global.output, &fetch_catalog(global).await?.teams)
}

/// Prints the failure domains.
pub async fn domains(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_rows(out, global.output, &view::domain_rows(&fetch_catalog(global).await?))
}

/// Prints the hosts that have declared traits or are drained.
pub async fn hosts(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::write_rows(out, global.output, &view::host_rows(&fetch_catalog(global).await?))
}

async fn fetch_catalog(global: &Global) -> Result<catalog::Catalog, Error> {
    Ok(connect::open(global)?.catalog().await?)
}

/// Answers with their endpoints.
pub(super) type Answers<T> = Vec<(String, T)>;
/// Failures with their endpoints.
pub(super) type Failures = Vec<(String, cuminward_operator::status::Error)>;

/// Splits the results of all endpoints into answers and failures.
pub(super) fn split<T>(all: Vec<Answer<T>>) -> (Answers<T>, Failures) {
    let mut answered = Vec::new();
    let mut failed = Vec::new();
    for Answer { endpoint, result } in all {
        match result {
            Ok(answer) => answered.push((endpoint, answer)),
            Err(error) => failed.push((endpoint, error)),
        }
    }
    (answered, failed)
}

/// Returns an error that lists the failures, if there are any.
pub(super) fn ensure_all_answered(failures: Failures) -> Result<(), Error> {
    if failures.is_empty() { Ok(()) } else { Err(Error::Nodes(failures)) }
}
