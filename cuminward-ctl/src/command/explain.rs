//! `explain`: prints the events of one request, read from log lines.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::PathBuf,
};

use cuminward_event::{explain, trace};

use crate::error::Error;

/// Writes the events of a request and the events that explain them, one per line.
///
/// # Errors
///
/// Fails if a file can't be read, the output can't be written, or no log line mentions the request.
pub fn run(
    request: &str,
    files: &[PathBuf],
    input: &mut impl BufRead,
    out: &mut impl Write,
) -> Result<(), Error> {
    let lines = read_logs(files, input)?;
    let explain::Lines { records, unreadable } = explain::parse_lines(lines);
    let events = explain::request_events(records, request);
    let hidden: String = unreadable
        .iter()
        .map(|(event, count)| format!("not shown, written by another build: {count} x {event}\n"))
        .collect();
    if events.is_empty() {
        let message = format!("no log line mentions request {request}\n{hidden}");
        return Err(Error::Usage(message.trim_end().to_owned()));
    }
    let text = trace::format_text(&events) + &hidden;
    out.write_all(text.as_bytes()).map_err(Error::io("standard output"))
}

/// Returns the lines of files; those of `input` if there is no file.
///
/// # Errors
///
/// Fails if a file can't be read.
pub(crate) fn read_logs(files: &[PathBuf], input: &mut impl BufRead) -> Result<Vec<String>, Error> {
    let mut lines = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let opened_file = File::open(file).map_err(Error::io(name.clone()))?;
        lines.extend(read_lines(BufReader::new(opened_file)).map_err(Error::io(name))?);
    }
    if files.is_empty() {
        lines = read_lines(input).map_err(Error::io("standard input"))?;
    }
    Ok(lines)
}

fn read_lines(source: impl BufRead) -> io::Result<Vec<String>> {
    source.lines().collect()
}
