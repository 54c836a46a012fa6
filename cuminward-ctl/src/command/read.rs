//! Commands that read.

use std::io::Write;

use cuminward_core::{catalog, id};
use cuminward_operator::client::{Answer, Client};

use crate::{
    cli::{Format, Global},
    connect,
    error::Error,
    output, view,
};

/// Shows the state of each endpoint.
pub async fn status(client: &Client, format: Format, out: &mut impl Write) -> Result<(), Error> {
    let (answers, failures) = split(client.status().await);
    let rows: Vec<_> = answers.into_iter().map(|(node, it)| view::status(node, it)).collect();
    output::rows(out, format, &rows)?;
    all_answered(failures)
}

/// Lists groups, as each endpoint knows them.
pub async fn groups(
    global: &Global,
    service: id::Service,
    out: &mut impl Write,
) -> Result<(), Error> {
    let (answers, failures) = split(connect::open(global)?.groups(service).await);
    let rows: Vec<_> = answers
        .into_iter()
        .flat_map(|(node, it)| it.groups.into_iter().map(move |it| view::group(node.clone(), it)))
        .collect();
    output::rows(out, global.output, &rows)?;
    all_answered(failures)
}

/// Lists nodes.
pub async fn nodes(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    let nodes = connect::open(global)?.nodes().await?;
    let rows: Vec<_> = nodes.into_iter().map(view::node).collect();
    output::rows(out, global.output, &rows)
}

/// Lists recent changes.
pub async fn history(global: &Global, limit: u32, out: &mut impl Write) -> Result<(), Error> {
    let entries = connect::open(global)?.history(limit).await?;
    let rows: Vec<_> = entries.into_iter().map(view::change).collect();
    output::rows(out, global.output, &rows)
}

/// Shows the configuration in force.
pub async fn catalog(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::value(out, global.output, &fetch(global).await?)
}

/// Lists model services.
pub async fn models(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::value(out, global.output, &fetch(global).await?.models)
}

/// Lists plain services.
pub async fn plains(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::value(out, global.output, &fetch(global).await?.plains)
}

/// Lists teams.
pub async fn teams(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::value(out, global.output, &fetch(global).await?.teams)
}

/// Lists failure domains.
pub async fn domains(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::rows(out, global.output, &view::domains(&fetch(global).await?))
}

/// Lists declared and drained hosts.
pub async fn hosts(global: &Global, out: &mut impl Write) -> Result<(), Error> {
    output::rows(out, global.output, &view::hosts(&fetch(global).await?))
}

async fn fetch(global: &Global) -> Result<catalog::Catalog, Error> {
    Ok(connect::open(global)?.catalog().await?)
}

/// Answers with their endpoints.
pub(super) type Answered<T> = Vec<(String, T)>;
/// Failures with their endpoints.
pub(super) type Failed = Vec<(String, cuminward_operator::status::Error)>;

/// Parts answers from failures.
pub(super) fn split<T>(all: Vec<Answer<T>>) -> (Answered<T>, Failed) {
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

/// Fails when an endpoint gave no answer.
pub(super) fn all_answered(failures: Failed) -> Result<(), Error> {
    if failures.is_empty() { Ok(()) } else { Err(Error::Nodes(failures)) }
}
