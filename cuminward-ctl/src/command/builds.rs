//! `builds`: prints the builds that nodes run and that others have heard of, read from log lines.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, Write},
    path::PathBuf,
};

use cuminward_core::id;
use cuminward_event::{explain, kind::Kind, record::Record, trace};

use crate::{cli::Format, command::explain::read_logs, error::Error, output, view};

/// Newest build of a node.
struct Build {
    version: String,
    /// When it was first named, in milliseconds since the Unix epoch.
    since_ms: u64,
    /// Nodes that have heard of it.
    heard_by: BTreeSet<id::Node>,
}

/// Writes the newest build of each node.
///
/// # Errors
///
/// Fails if a file can't be read, or the output can't be written.
pub fn run(
    files: &[PathBuf],
    format: Format,
    input: &mut impl BufRead,
    out: &mut impl Write,
) -> Result<(), Error> {
    let parsed = explain::parse_lines(read_logs(files, input)?);
    let row = |(node, it): (id::Node, Build)| view::Build {
        node,
        build: it.version,
        since_ms: it.since_ms,
        heard_by: it.heard_by.into_iter().collect(),
    };
    let rows: Vec<view::Build> = newest_builds(parsed.records).into_iter().map(row).collect();
    output::write_rows(out, format, &rows)
}

/// Returns the newest build of each node.
fn newest_builds(records: Vec<Record>) -> BTreeMap<id::Node, Build> {
    let mut builds: BTreeMap<id::Node, Build> = BTreeMap::new();
    for record in trace::merge([records]) {
        let since_ms = record.since_epoch().as_millis() as u64;
        let (node, version, heard_by) = match record.kind {
            Kind::NodeStarted { version, .. } => (record.node, version, None),
            Kind::BuildHeard { from, build, .. } => (from, build, Some(record.node)),
            _ => continue,
        };
        let new = || Build { version: version.clone(), since_ms, heard_by: BTreeSet::new() };
        let known = builds.entry(node).or_insert_with(new);
        if known.version != version {
            *known = new();
        }
        known.heard_by.extend(heard_by);
    }
    builds
}
